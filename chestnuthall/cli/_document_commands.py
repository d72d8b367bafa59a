"""Commands on environment documents."""

import asyncio
from collections.abc import Coroutine
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any, Literal

from cyclopts import App, Parameter

from chestnuthall.adapters.commentedjson import describe_problems
from chestnuthall.adapters.documents import (
    check_environment,
    document_digest,
    read_environment,
)
from chestnuthall.adapters.settings import read_profile, read_settings
from chestnuthall.cli._commands import add_command
from chestnuthall.cli._exit_codes import ExitCode
from chestnuthall.cli._output import Output, format_time
from chestnuthall.cli._promotion import promote, show_evidence
from chestnuthall.cli._session import (
    CommandError,
    CommonOptions,
    Session,
    open_session,
    read_file,
)
from chestnuthall.cli._write_report import report_write_result
from chestnuthall.core.configuration import RevisionRecord, StoredRevision, differences
from chestnuthall.core.model import EnvironmentDocument
from chestnuthall.core.results import Failure

Reason = Annotated[str, Parameter(help="Reason for the change; the history shows it.")]
Environment = Annotated[
    str | None, Parameter(name="--env", help="Environment; trial by default.")
]
DEFAULT_OPTIONS = CommonOptions()


def register(app: App) -> None:
    """Add the commands to the command line."""
    for command in (check, diff, trial, evidence, history, show):
        add_command(app, command)
    add_command(app, promote_command, "promote")


def run(command: Coroutine[Any, Any, ExitCode]) -> ExitCode:
    """Run a command on a new event loop."""
    return asyncio.run(command)


def _check_file(
    path: Path, output: Output
) -> tuple[str, EnvironmentDocument] | ExitCode:
    text = read_file(path)
    checked = check_environment(text, str(path))
    if isinstance(checked, EnvironmentDocument):
        return text, checked
    problems = [asdict(problem) for problem in checked]
    return output.report_error(
        ExitCode.INVALID, describe_problems(checked), problems=problems
    )


def check(
    file: Path,
    *,
    kind: Literal["environment", "settings", "profile"] = "environment",
    common: CommonOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Check a document, or a settings or profile file, without the store.

    Each error names the file, line, column, path, the rule and what would be
    right; all errors are shown at once.

    Examples
    --------
        chestnuthall check environment.jsonc
        chestnuthall check entry-0.jsonc --kind settings

    Parameters
    ----------
    file
        File to check, JSON with comments.
    kind
        What the file is: an environment document, the settings of an instance,
        or a profile of this tool.
    """
    output = Output(common.json)
    if kind != "environment":
        return _check_settings(file, kind, output)
    checked = _check_file(file, output)
    if isinstance(checked, ExitCode):
        return checked
    text, document = checked
    output.print_json({"digest": document_digest(text), "problems": []})
    output.print_text(
        f"{file} is valid: {len(document.classes)} classes,"
        f" {len(document.groups)} groups, digest {document_digest(text)[:12]}"
    )
    return ExitCode.OK


def _check_settings(file: Path, kind: str, output: Output) -> ExitCode:
    read = read_settings if kind == "settings" else read_profile
    checked = read(read_file(file), str(file))
    if isinstance(checked, Failure):
        return output.report_error(ExitCode.INVALID, checked.reason)
    output.print_json({"problems": []})
    output.print_text(f"{file} is valid")
    return ExitCode.OK


def diff(
    file: Path, *, env: Environment = None, common: CommonOptions = DEFAULT_OPTIONS
) -> ExitCode:
    """Show what a document would change against the one in force.

    Examples
    --------
        chestnuthall diff environment.jsonc
        chestnuthall diff environment.jsonc --env production

    Parameters
    ----------
    file
        Environment document, JSON with comments.
    """
    session = open_session(common)
    checked = _check_file(file, session.output)
    if isinstance(checked, ExitCode):
        return checked
    return run(_diff(session, env or session.profile.trial_environment, *checked))


async def _diff(
    session: Session, environment: str, text: str, document: EnvironmentDocument
) -> ExitCode:
    output = session.output
    in_force = await session.revision_repository.in_force(environment)
    if isinstance(in_force, Failure):
        return output.report_failure(in_force)
    old = None if in_force is None else read_environment(in_force.record.text)
    if isinstance(old, Failure):
        return output.report_failure(old)
    revision = 0 if in_force is None else in_force.record.revision
    same_bytes = in_force is not None and in_force.record.digest == document_digest(
        text
    )
    found = differences(old, document)
    output.print_json(
        {
            "environment": environment,
            "revision": revision,
            "same_bytes": same_bytes,
            "differences": [asdict(item) for item in found],
        }
    )
    if not found:
        explanation = (
            "the same bytes" if same_bytes else "only comments and layout differ"
        )
        output.print_text(
            f"no change against {environment} revision {revision}: {explanation}"
        )
        return ExitCode.OK
    rows = [(x.path, x.old or "(none)", x.new or "(none)") for x in found]
    title = f"changes against {environment} revision {revision}"
    output.print_table(title, ("field", "in force", "new"), rows)
    output.print_text(f"to apply only if this stays so: --expect-revision {revision}")
    return ExitCode.OK


def trial(
    file: Path,
    *,
    reason: Reason,
    expect_revision: int | None = None,
    common: CommonOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Put a document in force in trial.

    The write is conditional on the revision that was read; if another operator
    was first, nothing changes, and the tool shows who won and what differs.

    Examples
    --------
        chestnuthall trial environment.jsonc --reason "more for the crews"
        chestnuthall trial environment.jsonc --reason "as agreed" --expect-revision 7

    Parameters
    ----------
    file
        Environment document, JSON with comments.
    expect_revision
        Refuse unless this revision is in force; `diff` shows it.
    """
    session = open_session(common)
    checked = _check_file(file, session.output)
    if isinstance(checked, ExitCode):
        return checked
    return run(_trial(session, checked[0], _require_reason(reason), expect_revision))


def _require_reason(reason: str) -> str:
    if not reason.strip():
        raise CommandError("the reason is empty; say why, for the history")
    return reason.strip()


async def _trial(
    session: Session, text: str, reason: str, expect_revision: int | None
) -> ExitCode:
    environment = session.profile.trial_environment
    base = await session.revision_repository.in_force(environment)
    if isinstance(base, Failure):
        return session.output.report_failure(base)
    if _has_same_digest(base, text) and expect_revision is None:
        return _report_already_in_force(session, base)
    draft = session.publisher.draft(
        environment, text, document_digest(text), session.profile.operator, reason
    )
    with session.output.progress("writing to the store"):
        outcome = await session.publisher.publish(draft, base, expect_revision)
    return await report_write_result(session, outcome)


def _has_same_digest(base: StoredRevision | None, text: str) -> bool:
    return base is not None and base.record.digest == document_digest(text)


def _report_already_in_force(session: Session, base: StoredRevision | None) -> ExitCode:
    assert base is not None
    record = base.record
    session.output.print_json({"accepted": False, "revision": record.revision})
    session.output.print_text(
        f"{record.environment} has exactly this document in force already, as"
        f" revision {record.revision} by {record.author}"
    )
    return ExitCode.OK


def evidence(*, common: CommonOptions = DEFAULT_OPTIONS) -> ExitCode:
    """Show what trial proves about its document: instances, burn, refusals.

    Examples
    --------
        chestnuthall evidence
        chestnuthall evidence --json
    """
    session = open_session(common)
    return run(show_evidence(session))


def promote_command(
    *,
    reason: Reason,
    file: Path | None = None,
    override: str = "",
    common: CommonOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Promote the document in force in trial, byte by byte, to production.

    Refused while trial does not prove the document, unless you give a reason
    to override that, which the history records.

    Examples
    --------
        chestnuthall promote --reason "proven over the weekend"
        chestnuthall promote --reason "closure" --override "trial has no traffic"

    Parameters
    ----------
    file
        Refuse unless trial has exactly the bytes of this file.
    override
        Reason to promote without proof.
    """
    session = open_session(common)
    wanted_digest = "" if file is None else document_digest(read_file(file))
    return run(promote(session, _require_reason(reason), wanted_digest, override))


def history(
    *, env: Environment = None, last: int = 20, common: CommonOptions = DEFAULT_OPTIONS
) -> ExitCode:
    """Show the revisions of an environment: who, when and why.

    Examples
    --------
        chestnuthall history
        chestnuthall history --env production --last 5

    Parameters
    ----------
    last
        Number of revisions to show.
    """
    session = open_session(common)
    return run(_history(session, env or session.profile.trial_environment, last))


async def _history(session: Session, environment: str, last: int) -> ExitCode:
    found = await session.revision_repository.history(environment)
    if isinstance(found, Failure):
        return session.output.report_failure(found)
    records = found.records[-max(1, last) :]
    session.output.print_json([_without_text(record) for record in records])
    rows = [
        (
            record.revision,
            format_time(record.accepted_wall_ms),
            record.author or "-",
            record.digest[:12],
            _format_reason(record),
        )
        for record in records
    ]
    title = f"history of {environment}"
    session.output.print_table(
        title, ("revision", "accepted", "by", "digest", "why"), rows
    )
    return ExitCode.OK


def _without_text(record: RevisionRecord) -> dict[str, object]:
    return {name: value for name, value in asdict(record).items() if name != "text"}


def _format_reason(record: RevisionRecord) -> str:
    parts = [record.reason or "-"]
    if record.source_environment:
        source = f"{record.source_environment} revision {record.source_revision}"
        parts.append(f"promoted from {source}: {record.evidence}")
    if record.override_reason:
        parts.append(f"without proof: {record.override_reason}")
    return "; ".join(parts)


def show(
    *,
    env: Environment = None,
    revision: int | None = None,
    common: CommonOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Print a document as it was accepted, by default the one in force.

    Examples
    --------
        chestnuthall show --env production > environment.jsonc
        chestnuthall show --revision 7

    Parameters
    ----------
    revision
        Revision to print; the oldest ones are kept without their text.
    """
    session = open_session(common)
    environment = env or session.profile.trial_environment
    return run(_show(session, environment, revision))


async def _show(session: Session, environment: str, revision: int | None) -> ExitCode:
    output = session.output
    found = await session.revision_repository.history(environment)
    if isinstance(found, Failure):
        return output.report_failure(found)
    record = found.find(found.last_revision if revision is None else revision)
    if record is None or not record.text:
        return output.report_error(
            ExitCode.NOT_FOUND, f"{environment} has no text of that revision"
        )
    output.print_json(asdict(record))
    if not output.is_json:
        print(record.text, end="")
    return ExitCode.OK
