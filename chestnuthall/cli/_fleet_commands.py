"""Commands on instances, upstreams and quarantines."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import asdict
from typing import Annotated, Literal

from cyclopts import App, Parameter
from rich.console import Group, RenderableType
from rich.live import Live

from chestnuthall.cli._commands import add_command
from chestnuthall.cli._exit_codes import ExitCode
from chestnuthall.cli._output import Output, format_duration, format_time, make_table
from chestnuthall.cli._session import CommandError, CommonOptions, Session, open_session
from chestnuthall.core.results import Failure
from chestnuthall.ports import InstanceStatus
from chestnuthall.services import InstanceObservation, ReplicaObservation

DEFAULT_OPTIONS = CommonOptions()
# A drain notice expires on an instance after 30 s, so it is renewed earlier.
DRAIN_RENEWAL_INTERVAL_S = 10.0
INSTANCE_COLUMNS = (
    "instance",
    "environment",
    "zone",
    "state",
    "rev.",
    "in force since",
    "busy",
    "requests",
    "refused",
)
UPSTREAM_COLUMNS = ("upstream", "group", "shard", "zone", "address", "state")

Upstreams = Annotated[
    bool, Parameter(negative="", help="Query every upstream replica as well.")
]


def register(app: App) -> None:
    """Add the commands to the command line."""
    for command in (status, watch, drain):
        add_command(app, command)
    quarantine = App(name="quarantine", help="List and lift quarantines of requests.")
    add_command(quarantine, quarantine_list, "list")
    add_command(quarantine, quarantine_lift, "lift")
    app.command(quarantine)


def status(
    *, upstreams: Upstreams = False, common: CommonOptions = DEFAULT_OPTIONS
) -> ExitCode:
    """Show the instances, and with `--upstreams` the upstream replicas.

    Examples
    --------
        chestnuthall status
        chestnuthall status --upstreams --json
    """
    return asyncio.run(_status(open_session(common), upstreams))


async def _status(session: Session, upstreams: bool) -> ExitCode:
    result = await _query_status(session, upstreams)
    if isinstance(result, Failure):
        return session.output.report_failure(result)
    instances, replicas = result
    session.output.print_json(_status_data(instances, replicas))
    if not session.output.is_json:
        session.output.console.print(_status_tables(instances, replicas))
    return ExitCode.OK


async def _query_status(
    session: Session, upstreams: bool
) -> tuple[tuple[InstanceObservation, ...], tuple[ReplicaObservation, ...]] | Failure:
    listed = await session.fleet.list_instances()
    if isinstance(listed, Failure):
        return listed
    entries = tuple(item for item in listed if item.role == "entry")
    observations = await session.fleet.query_status(entries)
    if not upstreams:
        return observations, ()
    replicas = await session.fleet.upstreams()
    return replicas if isinstance(replicas, Failure) else (observations, replicas)


def _status_data(
    instances: Sequence[InstanceObservation], replicas: Sequence[ReplicaObservation]
) -> dict[str, object]:
    return {
        "instances": [
            {
                "name": item.listed.name,
                "address": item.listed.address,
                "listed": item.listed.state,
                "status": _status_fields(item.status),
            }
            for item in instances
        ],
        "upstreams": [
            {
                "name": item.replica.name,
                "group": item.group,
                "shard_id": item.shard_id,
                "zone": item.replica.zone,
                "address": item.replica.address,
                "state": _format_state(item.state),
            }
            for item in replicas
        ],
    }


def _status_fields(found: InstanceStatus | Failure) -> object:
    if isinstance(found, Failure):
        return {"error": found.kind.name, "reason": found.reason}
    return asdict(found)


def _format_state(state: str | Failure) -> str:
    return f"no answer: {state.reason}" if isinstance(state, Failure) else state


def _status_tables(
    instances: Sequence[InstanceObservation], replicas: Sequence[ReplicaObservation]
) -> RenderableType:
    rows = [_instance_row(item) for item in instances]
    tables: list[RenderableType] = [make_table("instances", INSTANCE_COLUMNS, rows)]
    if replicas:
        upstream_rows = [
            (
                item.replica.name,
                item.group,
                item.shard_id,
                item.replica.zone,
                item.replica.address,
                _format_state(item.state),
            )
            for item in replicas
        ]
        tables.append(make_table("upstreams", UPSTREAM_COLUMNS, upstream_rows))
    return Group(*tables)


def _instance_row(observation: InstanceObservation) -> tuple[object, ...]:
    found = observation.status
    if isinstance(found, Failure):
        state = f"no answer, listed as {observation.listed.state}"
        return (
            observation.listed.name,
            "-",
            observation.listed.zone,
            state,
            *["-"] * 5,
        )
    counts = dict(found.n_by_result)
    n_good = counts.get("OK", 0) + counts.get("OK_PARTIAL", 0)
    n_all = sum(counts.values())
    return (
        found.name,
        found.environment,
        found.zone,
        _describe_readiness(found),
        found.revision,
        format_time(found.since_wall_ms),
        found.n_in_flight,
        n_all,
        n_all - n_good,
    )


def _describe_readiness(found: InstanceStatus) -> str:
    if found.is_leaving:
        return "leaving"
    return "ready" if found.is_ready else "not ready"


def watch(
    *,
    upstreams: Upstreams = False,
    interval_s: float = 2.0,
    n_rounds: int = 0,
    common: CommonOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Show the status repeatedly until Ctrl-C.

    Examples
    --------
        chestnuthall watch
        chestnuthall watch --json --n-rounds 10

    Parameters
    ----------
    interval_s
        Seconds between two polls, at least 0.5.
    n_rounds
        Number of polls; 0 continues until Ctrl-C.
    """
    session = open_session(common)
    interval_s = max(0.5, interval_s)
    return asyncio.run(
        _watch_until_interrupted(session, upstreams, interval_s, n_rounds)
    )


async def _watch_until_interrupted(
    session: Session, upstreams: bool, interval_s: float, n_rounds: int
) -> ExitCode:
    try:
        return await _watch(session, upstreams, interval_s, n_rounds)
    except asyncio.CancelledError:
        # Ctrl-C is the usual way to end this command.
        return ExitCode.OK


async def _watch(
    session: Session, upstreams: bool, interval_s: float, n_rounds: int
) -> ExitCode:
    output = session.output
    with Live(console=output.console, auto_refresh=False, screen=False) as live:
        n_done = 0
        while True:
            result = await _query_status(session, upstreams)
            if isinstance(result, Failure):
                output.error_console.print(f"store: {result.reason}", markup=False)
            elif output.is_json:
                output.print_json(_status_data(*result))
            else:
                live.update(_status_tables(*result), refresh=True)
            n_done += 1
            if n_rounds and n_done >= n_rounds:
                return ExitCode.OK
            await asyncio.sleep(interval_s)


def drain(
    what: Literal["instance", "upstream"],
    name: str,
    *,
    for_s: float = 60.0,
    common: CommonOptions = DEFAULT_OPTIONS,
) -> ExitCode:
    """Drain an instance, which then leaves, or an upstream replica for a while.

    An instance finishes what is in flight and ends. An upstream gets no new
    calls from any instance for as long as this command runs, and up to 30 s
    longer.

    Examples
    --------
        chestnuthall drain instance entry-2
        chestnuthall drain upstream planner-desk-00-0 --for-s 600

    Parameters
    ----------
    what
        instance or upstream.
    name
        Name of the instance, or of the upstream replica.
    for_s
        Seconds for which an upstream stays drained.
    """
    if for_s <= 0.0:
        raise CommandError("--for-s must be greater than 0")
    session = open_session(common)
    if what == "instance":
        return asyncio.run(_drain_instance(session, name))
    return asyncio.run(_drain_upstream(session, name, for_s))


async def _drain_instance(session: Session, name: str) -> ExitCode:
    failure = await session.fleet.drain_instance(name)
    if failure is not None:
        return session.output.report_failure(failure)
    session.output.print_json({"drained": name})
    session.output.print_text(f"{name} is leaving; it finishes what is in flight")
    return ExitCode.OK


async def _drain_upstream(session: Session, name: str, for_s: float) -> ExitCode:
    output = session.output
    loop = asyncio.get_running_loop()
    end_s = loop.time() + for_s
    with output.progress(f"keeping {name} drained"):
        while True:
            results = await session.fleet.drain_upstream(name)
            if isinstance(results, Failure):
                return output.report_failure(results)
            failed = {x: r for x, r in results.items() if isinstance(r, Failure)}
            if failed and len(failed) == len(results):
                return output.report_failure(next(iter(failed.values())))
            remaining_s = end_s - loop.time()
            if remaining_s <= DRAIN_RENEWAL_INTERVAL_S:
                break
            await asyncio.sleep(DRAIN_RENEWAL_INTERVAL_S)
    n_notified = len(results) - len(failed)
    output.print_json(
        {"drained": name, "n_instances": n_notified, "failed": sorted(failed)}
    )
    output.print_text(
        f"{name} is drained on {n_notified} of {len(results)} instances;"
        " the last notice lapses after 30 s"
    )
    return ExitCode.OK


def quarantine_list(*, common: CommonOptions = DEFAULT_OPTIONS) -> ExitCode:
    """List the request fingerprints that instances suspect or refuse.

    Examples
    --------
        chestnuthall quarantine list
    """
    return asyncio.run(_quarantine_list(open_session(common)))


async def _quarantine_list(session: Session) -> ExitCode:
    output = session.output
    found = await session.fleet.quarantines()
    if isinstance(found, Failure):
        return output.report_failure(found)
    rows = []
    data = []
    for name, entries in found.items():
        if isinstance(entries, Failure):
            output.error_console.print(f"{name}: {entries.reason}", markup=False)
            continue
        for entry in entries:
            data.append({"instance": name, **asdict(entry)})
            rows.append(
                (
                    entry.fingerprint,
                    name,
                    "refused" if entry.is_refused else "suspected",
                    ", ".join(entry.replica_names),
                    format_duration(entry.expires_in_ms),
                )
            )
    output.print_json(data)
    columns = ("fingerprint", "instance", "state", "replicas lost", "lapses in")
    output.print_table("quarantines", columns, sorted(rows))
    return ExitCode.OK


def quarantine_lift(
    fingerprint: str, *, common: CommonOptions = DEFAULT_OPTIONS
) -> ExitCode:
    """Lift the quarantine of a request on every instance.

    Examples
    --------
        chestnuthall quarantine lift 3f2a9c0d11aa22bb

    Parameters
    ----------
    fingerprint
        Fingerprint as `quarantine list` shows it.
    """
    return asyncio.run(_quarantine_lift(open_session(common), fingerprint))


async def _quarantine_lift(session: Session, fingerprint: str) -> ExitCode:
    output = session.output
    found = await session.fleet.lift_quarantine(fingerprint)
    if isinstance(found, Failure):
        return output.report_failure(found)
    _report_unreachable(output, found)
    lifted = sorted(name for name, result in found.items() if result is True)
    if not lifted:
        message = f"no instance knows the fingerprint {fingerprint}"
        return output.report_error(ExitCode.NOT_FOUND, message)
    output.print_json({"lifted_on": lifted})
    output.print_text(f"lifted on {', '.join(lifted)}")
    return ExitCode.OK


def _report_unreachable(output: Output, found: Mapping[str, bool | Failure]) -> None:
    for name, result in found.items():
        if isinstance(result, Failure):
            output.error_console.print(f"{name}: {result.reason}", markup=False)
