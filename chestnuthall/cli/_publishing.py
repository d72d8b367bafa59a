"""What the tool says about a write, and its wait until it is in force."""

from dataclasses import asdict

from chestnuthall.cli._exits import ExitCode
from chestnuthall.cli._output import Output, shown_time
from chestnuthall.cli._session import Session
from chestnuthall.core.configuration import RevisionRecord
from chestnuthall.core.results import Failure
from chestnuthall.services import Accepted, InstanceObservation, RaceLost


async def report_outcome(
    session: Session, outcome: Accepted | RaceLost | Failure
) -> ExitCode:
    """Print the outcome of a write; after an acceptance, wait for the fleet."""
    output = session.output
    if isinstance(outcome, Failure):
        return output.fail_with(outcome)
    if isinstance(outcome, RaceLost):
        return _report_race(output, outcome)
    record = outcome.record
    output.say(
        f"accepted: {record.environment} revision {record.revision},"
        f" digest {record.digest[:12]}"
    )
    if outcome.replaced_by is not None:
        return _report_replaced(output, record, outcome.replaced_by)
    return await _wait_in_force(session, outcome)


def _report_race(output: Output, lost: RaceLost) -> ExitCode:
    winner = lost.winner
    lines = [
        f"{winner.author or 'another writer'} was first: {winner.environment} revision"
        f" {winner.revision}, accepted {shown_time(winner.accepted_wall_ms)},"
        f" reason: {winner.reason or '-'}",
        "nothing was changed; your document differs from the winner's in:",
        *(f"  {item}" for item in lost.differences),
    ]
    if not lost.differences:
        lines[-1] = "nothing was changed; the two documents mean the same"
    return output.fail(
        ExitCode.RACE_LOST,
        "\n".join(lines),
        winner={"author": winner.author, "revision": winner.revision},
        differences=[asdict(item) for item in lost.differences],
    )


def _report_replaced(
    output: Output, record: RevisionRecord, by: RevisionRecord
) -> ExitCode:
    output.data({"accepted": True, "revision": record.revision, "replaced": True})
    output.say(f"replaced meanwhile by revision {by.revision} of {by.author}")
    return ExitCode.OK


async def _wait_in_force(session: Session, accepted: Accepted) -> ExitCode:
    output = session.output
    record = accepted.record
    instances = accepted.instances or await session.fleet.entries()
    if isinstance(instances, Failure):
        message = f"accepted, but the list of instances: {instances.reason}"
        return output.fail(ExitCode.NOT_IN_FORCE, message, revision=record.revision)
    n_known = 0
    with output.progress("waiting until it is in force everywhere") as status:

        def show(n_done: int, n_all: int) -> None:
            nonlocal n_known
            n_known = n_all
            status.update(f"in force on {n_done} of {n_all} instances")

        behind = await session.fleet.wait_in_force(
            instances, record, session.profile.in_force_timeout_ms, show
        )
    output.data(
        {
            "accepted": True,
            "environment": record.environment,
            "revision": record.revision,
            "digest": record.digest,
            "n_in_force": n_known - len(behind),
            "behind": [item.listed.name for item in behind],
        }
    )
    if not behind:
        output.say(f"in force on all {n_known} instances that follow it")
        return ExitCode.OK
    reasons = "; ".join(f"{item.listed.name}: {_state(item)}" for item in behind)
    seconds = session.profile.in_force_timeout_ms / 1000.0
    message = f"not in force everywhere after {seconds:g} s: {reasons}"
    output.errors.print(message, style="yellow", markup=False)
    return ExitCode.NOT_IN_FORCE


def _state(seen: InstanceObservation) -> str:
    if isinstance(seen.status, Failure):
        return seen.status.reason
    return f"has revision {seen.status.revision}"
