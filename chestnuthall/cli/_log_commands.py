"""Command ``why``, which shows the decisions on a request from log files."""

from collections.abc import Iterator
from pathlib import Path

from cyclopts import App

from chestnuthall.cli._commands import add_command
from chestnuthall.cli._exit_codes import ExitCode
from chestnuthall.cli._output import Output
from chestnuthall.cli._request_trace import (
    RequestTrace,
    describe_rejection,
    format_rows,
    read_trace,
)
from chestnuthall.cli._session import CommandError, CommonOptions

DEFAULT_OPTIONS = CommonOptions()


def register(app: App) -> None:
    """Add the command to the command line."""
    add_command(app, why)


def why(
    request_id: str, *logs: Path, common: CommonOptions = DEFAULT_OPTIONS
) -> ExitCode:
    """Show the decisions on one request, from the logs of any instances.

    Prints the decisions in order of time and names the one that settled the
    request. docs/OPERATIONS.md describes the next steps.

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
        raise CommandError("name at least one log file")
    trace = read_trace(request_id, _read_lines(logs))
    if not trace.n_lines_read:
        return output.report_error(
            ExitCode.INVALID, "the files hold no line in the format of docs/logs.md"
        )
    if not trace.lines:
        return output.report_error(
            ExitCode.NOT_FOUND,
            f"no line of request {request_id} in {trace.n_lines_read} lines;"
            f" {trace.n_torn} of them name it but cannot be read",
        )
    _print_trace(output, trace)
    return ExitCode.OK


def _read_lines(logs: tuple[Path, ...]) -> Iterator[str]:
    for path in logs:
        try:
            with path.open(errors="replace") as lines:
                yield from lines
        except OSError as error:
            raise CommandError(f"cannot read {path}: {error.strerror}") from error


def _print_trace(output: Output, trace: RequestTrace) -> None:
    rows = format_rows(trace)
    settled = trace.settled_by
    verdict = "no decision settled the request in these logs"
    if settled is not None:
        fields = " ".join(f"{name}={value}" for name, value in settled.fields.items())
        verdict = f"settled by {settled.event}: {fields}"
        rejection = describe_rejection(settled.fields)
        if rejection:
            verdict = f"{verdict}\n{rejection}"
    if output.is_json:
        output.print_json({"lines": rows, "settled": verdict, "n_torn": trace.n_torn})
        return
    for row in rows:
        output.print_text("  ".join(row))
    if trace.n_torn:
        output.print_text(f"{trace.n_torn} lines of the request cannot be read")
    output.print_text(verdict)
