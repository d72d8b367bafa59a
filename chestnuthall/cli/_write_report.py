"""Reports the result of a write and waits until the document is in force."""

from dataclasses import asdict

from chestnuthall.cli._exit_codes import ExitCode
from chestnuthall.cli._output import Output, format_time
from chestnuthall.cli._session import Session
from chestnuthall.core.configuration import RevisionRecord
from chestnuthall.core.results import Failure
from chestnuthall.services import InstanceObservation, RaceLost, RevisionAccepted


async def report_write_result(
    session: Session, outcome: RevisionAccepted | RaceLost | Failure
) -> ExitCode:
    """Print the outcome of a write; if accepted, wait until it is in force."""
    output = session.output
    if isinstance(outcome, Failure):
        return output.report_failure(outcome)
    if isinstance(outcome, RaceLost):
        return _report_race_lost(output, outcome)
    record = outcome.record
    output.print_text(
        f"accepted: {record.environment} revision {record.revision},"
        f" digest {record.digest[:12]}"
    )
    if outcome.replaced_by is not None:
        return _report_replaced(output, record, outcome.replaced_by)
    return await _wait_in_force(session, outcome)


def _report_race_lost(output: Output, lost: RaceLost) -> ExitCode:
    winner = lost.winner
    lines = [
        f"{winner.author or 'another writer'} was first: {winner.environment} revision"
        f" {winner.revision}, accepted {format_time(winner.accepted_wall_ms)},"
        f" reason: {winner.reason or '-'}",
        "nothing was changed; your document differs from the winner's in:",
        *(f"  {item}" for item in lost.differences),
    ]
    if not lost.differences:
        lines[-1] = "nothing was changed; the two documents mean the same"
    return output.report_error(
        ExitCode.RACE_LOST,
        "\n".join(lines),
        winner={"author": winner.author, "revision": winner.revision},
        differences=[asdict(item) for item in lost.differences],
    )


def _report_replaced(
    output: Output, record: RevisionRecord, successor: RevisionRecord
) -> ExitCode:
    output.print_json({"accepted": True, "revision": record.revision, "replaced": True})
    output.print_text(
        f"replaced meanwhile by revision {successor.revision} of {successor.author}"
    )
    return ExitCode.OK


async def _wait_in_force(session: Session, accepted: RevisionAccepted) -> ExitCode:
    output = session.output
    record = accepted.record
    instances = accepted.instances or await session.fleet.list_entry_instances()
    if isinstance(instances, Failure):
        message = f"accepted, but cannot list the instances: {instances.reason}"
        return output.report_error(
            ExitCode.NOT_IN_FORCE, message, revision=record.revision
        )
    n_instances = 0
    with output.progress(
        "waiting until the document is in force on all instances"
    ) as status:

        def show_progress(n_done: int, n_all: int) -> None:
            nonlocal n_instances
            n_instances = n_all
            status.update(f"in force on {n_done} of {n_all} instances")

        behind = await session.fleet.wait_in_force(
            instances, record, session.profile.in_force_timeout_ms, show_progress
        )
    output.print_json(
        {
            "accepted": True,
            "environment": record.environment,
            "revision": record.revision,
            "digest": record.digest,
            "n_in_force": n_instances - len(behind),
            "behind": [item.listed.name for item in behind],
        }
    )
    if not behind:
        output.print_text(f"in force on all {n_instances} instances that follow it")
        return ExitCode.OK
    reasons = "; ".join(
        f"{item.listed.name}: {_describe_state(item)}" for item in behind
    )
    seconds = session.profile.in_force_timeout_ms / 1000.0
    message = f"not in force everywhere after {seconds:g} s: {reasons}"
    output.error_console.print(message, style="yellow", markup=False)
    return ExitCode.NOT_IN_FORCE


def _describe_state(observation: InstanceObservation) -> str:
    if isinstance(observation.status, Failure):
        return observation.status.reason
    return f"has revision {observation.status.revision}"
