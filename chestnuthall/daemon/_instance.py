"""Composition of one entry instance from services and adapters."""

import asyncio
import logging
from random import Random
from secrets import token_hex

from chestnuthall.adapters.callers import (
    AdminRoutes,
    CallerFrontend,
    encode_http_error,
)
from chestnuthall.adapters.clock import LoopClock
from chestnuthall.adapters.documents import (
    JsonBurnCodec,
    JsonPartitionCodec,
    encode_probe_claim,
    encode_status,
    mark_leaving,
    read_configuration,
    read_instance,
    read_partition_map,
    read_probe_claim,
)
from chestnuthall.adapters.http import HttpServer, ServerLimits
from chestnuthall.adapters.logs import RateLimitFilter
from chestnuthall.adapters.metrics import NullMetrics, StatsdMetrics
from chestnuthall.adapters.objectapi import HttpObjectStore
from chestnuthall.adapters.peers import GrpcPeerServer, GrpcPeerTransport
from chestnuthall.adapters.searchapi import SearchCaller
from chestnuthall.adapters.settings import InstanceSettings
from chestnuthall.core.claims import LedgerSettings
from chestnuthall.core.configuration import is_watcher
from chestnuthall.core.model import Configuration
from chestnuthall.core.quarantine import QuarantineRegistry, QuarantineSettings
from chestnuthall.core.results import Failure
from chestnuthall.ports import InstanceListEntry, Metrics
from chestnuthall.services import (
    Administration,
    Admissions,
    BurnRecorder,
    ClaimLedger,
    ConfigurationManager,
    ConfigurationStatus,
    ConnectionBudgets,
    CountingObjectStore,
    Directory,
    DrainDetectingCaller,
    DrainExchange,
    FleetStatus,
    FleetUsageExchange,
    HealthChecks,
    InstanceIdentity,
    InstanceList,
    Lifecycle,
    Membership,
    NoticesStatus,
    OutcomeRecorder,
    OwnerRetests,
    PeerConfigurations,
    ProbeClaims,
    QuarantineExchange,
    QuarantineLog,
    QueryService,
    StatusReporter,
    TwoLevelFanOut,
)

# Limits how long an unavailable store can delay the exit of the process.
LEAVE_REPORT_TIMEOUT_MS = 3_000.0

_log = logging.getLogger(__name__)

DROPPED_LINES_INTERVAL_MS = 10_000.0
# Number of peers that an instance notifies of a new revision immediately. With
# three, a revision reaches 1,900 instances in seven rounds.
N_PEERS_PER_REVISION_UPDATE = 3
# Number of peers that are notified immediately of a request that lost a replica.
# This covers all of a small fleet; in a larger one the other instances receive the
# notice with the periodic probes.
N_PEERS_PER_LOSS_NOTICE = 16


def _make_metrics(settings: InstanceSettings) -> Metrics:
    statsd = settings.statsd
    if statsd is None:
        return NullMetrics()
    return StatsdMetrics(statsd.host, statsd.port, statsd.prefix)


def _read_list_entry(text: str) -> InstanceListEntry | None:
    """Parse an entry of the platform's instance list; None if it is invalid."""
    model = read_instance(text)
    return None if isinstance(model, Failure) else model.to_core()


class EntryInstance:
    """One entry instance with its listeners and background tasks."""

    def __init__(
        self, settings: InstanceSettings, log_limit: RateLimitFilter | None = None
    ) -> None:
        self._log_limit = log_limit
        self._clock = LoopClock()
        self.settings = settings
        clock = LoopClock()
        random = Random()
        identity = InstanceIdentity(settings.name, settings.peer_address, settings.zone)
        metrics = _make_metrics(settings)
        store = CountingObjectStore(
            HttpObjectStore(settings.store_address), metrics, clock
        )
        self.store = store
        self.caller = SearchCaller(clock)
        self.transport = GrpcPeerTransport()
        self.lifecycle = Lifecycle(clock, settings.leave_notice_ms)
        self.configuration = ConfigurationManager(
            settings.environment,
            store,
            clock,
            read_configuration,
            PeerConfigurations(
                self.transport, lambda: self.membership.members(), clock, random
            ).fetch,
            self._is_watcher,
        )
        self.directory = Directory(
            store, self.caller, clock, read_partition_map, settings.zone, random
        )
        self.instances = InstanceList(store, clock, _read_list_entry)
        admissions = Admissions(clock)
        self.fleet_usage = FleetUsageExchange(
            self.settings.name, clock, admissions, lambda: self.membership.members()
        )
        self.membership = Membership(
            identity,
            self.transport,
            clock,
            self.configuration,
            self.instances,
            random,
            sections=(self.fleet_usage,),
        )
        self.drain_exchange = DrainExchange(
            self.directory,
            clock,
            self.instances,
            self.membership.disseminate_now,
            settings.name,
        )
        self.caller.add_leave_listener(self.drain_exchange.on_leave_notice)
        quarantine_registry = QuarantineRegistry(
            QuarantineSettings(), lambda: self.membership.n_instances
        )
        QuarantineLog(quarantine_registry, clock, metrics)
        self.quarantine_exchange = QuarantineExchange(
            quarantine_registry,
            clock,
            self.membership.disseminate_now,
            self.directory.zone_of,
            self.directory.shard_of,
            self._has_peers,
        )
        self.membership.add_section(self.drain_exchange)
        self.membership.add_section(self.quarantine_exchange)
        self.health_checks = HealthChecks(
            self.caller,
            self.directory,
            self.drain_exchange,
            self.membership,
            clock,
            random,
        )
        self.burn = BurnRecorder(
            # Each run of the process numbers its ledger changes from 1, so it
            # needs a writer name of its own.
            writer=f"{settings.name}.{token_hex(4)}",
            environment=settings.environment,
            store=store,
            clock=clock,
            metrics=metrics,
            codec=JsonBurnCodec(),
            configuration=self.configuration,
            count_instances=lambda: self.membership.n_instances,
            random=random,
        )
        self.ledger = ClaimLedger(
            store,
            clock,
            JsonPartitionCodec(),
            LedgerSettings(),
            lambda: self.membership.n_instances,
        )
        self.query = QueryService(
            identity=identity,
            clock=clock,
            metrics=metrics,
            caller=DrainDetectingCaller(self.caller, self.drain_exchange.on_signal),
            reachability=self.caller,
            directory=self.directory,
            configuration=self.configuration,
            ledger=self.ledger,
            quarantine=quarantine_registry,
            retests=OwnerRetests(
                quarantine_registry,
                clock,
                settings.name,
                lambda: (member.name for member in self.membership.members()),
                ProbeClaims(store, clock, read_probe_claim, encode_probe_claim),
            ),
            admissions=admissions,
            record_outcome=OutcomeRecorder(
                self.burn, metrics, self.configuration
            ).record,
            disseminate=lambda: self.membership.disseminate_now(
                N_PEERS_PER_LOSS_NOTICE
            ),
            n_instances=lambda: self.membership.n_instances,
            knows_quarantines=self.quarantine_exchange.may_serve,
        )
        self.connections = ConnectionBudgets(
            self.caller,
            clock,
            self.configuration,
            lambda: self.membership.counts.n_connection_holders,
        )
        self.configuration.add_listener(self._disseminate_revision)
        if settings.two_level_fan_out:
            self._enable_two_level_fan_out(clock)
        self.administration = Administration(
            identity,
            self.lifecycle,
            self.directory,
            self.drain_exchange,
            self.quarantine_exchange,
            clock,
        )
        self.status = StatusReporter(
            self.membership,
            store,
            clock,
            encode_status,
            random,
            (
                ConfigurationStatus(self.configuration, clock),
                FleetStatus(self.lifecycle, self.membership),
                NoticesStatus(self.drain_exchange, self.quarantine_exchange),
            ),
        )
        self.membership.on_superseded(self.lifecycle.announce_leave)
        self.frontend = CallerFrontend(
            query=self.query,
            configuration=self.configuration,
            lifecycle=self.lifecycle,
            clock=clock,
            is_ready=self.is_ready,
            read_status=self.read_status,
            admin_routes=AdminRoutes(self.administration).routes(),
        )
        self.http_server = HttpServer(
            self.frontend.handle, _make_server_limits(settings), encode_http_error
        )
        self.peer_server = GrpcPeerServer(self.membership)
        self._tasks: list[asyncio.Task[None]] = []
        self._dissemination_tasks: set[asyncio.Task[None]] = set()

    def _is_watcher(self) -> bool:
        """Return whether this instance watches the store on behalf of its zone."""
        zone = self.settings.zone
        members = self.membership.members()
        names = [member.name for member in members if member.zone == zone]
        return is_watcher(self.settings.name, names)

    def _has_peers(self) -> bool | None:
        """Return whether the fleet has other instances; None if that is unknown."""
        if not self.instances.entries():
            return None
        return self.membership.n_instances > 1

    def is_ready(self) -> bool:
        """Return whether a configuration, all partition maps and quarantines are known.

        The quarantines are those of the peers that can be reached.
        """
        return (
            self.configuration.is_ready
            and self.directory.has_maps()
            and self.quarantine_exchange.may_serve()
        )

    def read_status(self) -> dict[str, object]:
        """Return the response body of ``GET /v1/admin/status``."""
        in_force = self.configuration.in_force
        return {
            "instance": self.settings.name,
            "zone": self.settings.zone,
            "environment": self.settings.environment,
            "ready": self.is_ready(),
            "leaving": self.lifecycle.is_leaving,
            "n_in_flight": self.lifecycle.n_in_flight,
            "configuration_revision": self.configuration.revision,
            "configuration_digest": "" if in_force is None else in_force.digest,
            "configuration_since_wall_ms": self.burn.since_wall_ms,
            "n_by_result": self.burn.n_by_result,
            "store_calls_in_last_minute": self.store.calls_in_last_minute(),
            "status": self.status.read(),
            "peers": [member.name for member in self.membership.members()],
        }

    def _disseminate_revision(self, configuration: Configuration) -> None:
        """Notify some peers of a new revision without waiting for the next probe."""
        task = asyncio.get_running_loop().create_task(
            self.membership.disseminate_now(N_PEERS_PER_REVISION_UPDATE)
        )
        self._dissemination_tasks.add(task)
        task.add_done_callback(self._dissemination_tasks.discard)

    def _enable_two_level_fan_out(self, clock: LoopClock) -> None:
        two_level = TwoLevelFanOut(
            self.membership,
            self.transport,
            clock,
            self.directory,
            self.query.run_shards,
            self.query.fan_out_context,
        )
        self.query.set_divided_search(two_level.complete)
        self.membership.set_shard_set_handler(two_level.answer)

    async def start(self) -> None:
        """Listen for callers and peers and start the background tasks."""
        await self.peer_server.start(self.settings.peer_address)
        host, _, port = self.settings.caller_address.rpartition(":")
        await self.http_server.start(host, int(port))
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self.configuration.run()),
            loop.create_task(self.directory.run()),
            loop.create_task(self.connections.run()),
            loop.create_task(self.instances.run()),
            loop.create_task(self.membership.run()),
            loop.create_task(self.fleet_usage.run()),
            loop.create_task(self.health_checks.run()),
            loop.create_task(self.quarantine_exchange.run()),
            loop.create_task(self.status.run()),
            loop.create_task(self.burn.run()),
            loop.create_task(self._report_dropped_lines()),
        ]
        _log.info("instance started", extra={"zone": self.settings.zone})

    async def _report_dropped_lines(self) -> None:
        while self._log_limit is not None:
            await self._clock.sleep_ms(DROPPED_LINES_INTERVAL_MS)
            self._log_limit.report_dropped()

    async def run(self) -> None:
        """Serve until a leave is announced, then complete requests in flight."""
        try:
            await self.start()
            await self.lifecycle.wait_leave()
            _log.info("instance is leaving")
            await asyncio.gather(
                self.lifecycle.drain(self.http_server, self.is_ready()),
                self._report_leave(),
            )
            await self.membership.finish_leave()
            await self.burn.flush()
        finally:
            await self.close()
        if self._log_limit is not None:
            self._log_limit.report_dropped()
        _log.info("instance stopped")

    async def _report_leave(self) -> None:
        """Report the leave to peers, operators and the platform.

        A report that fails or times out does not prevent the exit.
        """
        reports = asyncio.gather(
            self.membership.announce_leave(),
            self.status.write(),
            self.instances.report_leaving(self.settings.name, mark_leaving),
        )
        try:
            async with asyncio.timeout(LEAVE_REPORT_TIMEOUT_MS / 1000.0):
                await reports
        except TimeoutError:
            _log.warning("the store did not take the leave report in time")

    async def close(self) -> None:
        """Cancel the background tasks and close listeners and clients."""
        for task in (*self._tasks, *self._dissemination_tasks):
            task.cancel()
        await self.ledger.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.http_server.close()
        await self.peer_server.close()
        await self.transport.close()
        self.caller.close()


def _make_server_limits(settings: InstanceSettings) -> ServerLimits:
    limits = settings.limits
    return ServerLimits(
        n_header_bytes_max=limits.n_header_bytes_max,
        n_body_bytes_max=limits.n_body_bytes_max,
        n_connections_max=limits.n_connections_max,
        idle_timeout_ms=limits.idle_timeout_ms,
    )
