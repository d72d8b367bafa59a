"""Command that tells the story of a request from log files."""

from collections.abc import Iterator
from pathlib import Path

from cyclopts import App

from chestnuthall.cli._commands import add_command
from chestnuthall.cli._exits import ExitCode
from chestnuthall.cli._output import Output
from chestnuthall.cli._session import Common, UsageError
from chestnuthall.cli._story import Story, read_story, rows_of

COMMON = Common()


def register(app: App) -> None:
    """Add the command to the command line."""
    add_command(app, why)


def why(request_id: str, *logs: Path, common: Common = COMMON) -> ExitCode:
    """Tell what was decided on one request, from the logs of any instances.

    Prints the decisions in order of time and names the one that settled the
    request. docs/OPERATIONS.md shows how to go on from there.

    Examples
    --------
        chestnuthall why 9c41d07be2a35f68 entry-1.log entry-2.log

    Parameters
    ----------
    request_id
        Id of the request, as the caller sent it.
    logs
        Log files of the instances.
    """
    output = Output(common.json)
    if not logs:
        raise UsageError("name at least one log file")
    story = read_story(request_id, _lines_of(logs))
    if not story.n_lines_read:
        return output.fail(
            ExitCode.INVALID, "the files hold no line in the format of docs/logs.md"
        )
    if not story.lines:
        return output.fail(
            ExitCode.NOT_FOUND,
            f"no line of request {request_id} in {story.n_lines_read} lines;"
            f" {story.n_torn} of them name it but cannot be read",
        )
    _show(output, story)
    return ExitCode.OK


def _lines_of(logs: tuple[Path, ...]) -> Iterator[str]:
    for path in logs:
        try:
            with path.open(errors="replace") as lines:
                yield from lines
        except OSError as error:
            raise UsageError(f"cannot read {path}: {error.strerror}") from error


def _show(output: Output, story: Story) -> None:
    rows = rows_of(story)
    settled = story.settled_by
    verdict = "no decision settled the request in these logs"
    if settled is not None:
        fields = " ".join(f"{name}={value}" for name, value in settled.fields.items())
        verdict = f"settled by {settled.event}: {fields}"
    if output.is_json:
        output.data({"lines": rows, "settled": verdict, "n_torn": story.n_torn})
        return
    for row in rows:
        output.say("  ".join(row))
    if story.n_torn:
        output.say(f"{story.n_torn} lines of the request cannot be read")
    output.say(verdict)
