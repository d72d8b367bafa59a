"""One entry instance on the platform, assembled from services and adapters."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace
from random import Random

from chestnuthall.adapters.clock import LoopClock
from chestnuthall.adapters.feeds import FeedHandler, HttpFeedClient
from chestnuthall.adapters.http import (
    RESPONSES,
    Handler,
    HttpRequest,
    HttpResponse,
    HttpServer,
    PoolSettings,
    ReceptionBudget,
    ServerLimits,
    TcpKeepAlive,
)
from chestnuthall.adapters.logs import RateLimitFilter
from chestnuthall.adapters.metrics import CONTENT_TYPE, PrometheusMetrics
from chestnuthall.adapters.objectapi import HttpObjectStore
from chestnuthall.adapters.upstreams import HttpShardCaller
from chestnuthall.core.configuration import (
    FeedTiming,
    LeaderSelector,
    safe_watch_timeout_ms,
    watch_margin_ms,
)
from chestnuthall.core.intake import plan_intake
from chestnuthall.core.model import Configuration
from chestnuthall.core.overload import LagSettings, OverloadDetector
from chestnuthall.core.quarantine import (
    QuarantineRegistry,
    QuarantineSettings,
    turn_ms,
)
from chestnuthall.core.registry import ReplicaRegistry
from chestnuthall.core.routing import (
    RouterSettings,
    ServiceExtraLoadBudget,
    ServiceExtraLoadLimits,
)
from chestnuthall.platform._configuration import read_configuration, read_limits
from chestnuthall.platform._dialect import SINGLETON_NAME, PlatformDialect
from chestnuthall.platform._frontend import (
    ReadinessFrontend,
    RelayFrontend,
    encode_http_error,
)
from chestnuthall.platform._instances import encode_instance, read_instance
from chestnuthall.platform._peer_calls import PeerCodec, PeerFrontend
from chestnuthall.platform._quarantines import encode_quarantine, read_quarantine
from chestnuthall.platform._registrations import read_registration
from chestnuthall.platform._relayed_calls import RelayCodec
from chestnuthall.platform._settings import PlatformSettings
from chestnuthall.services import (
    Admissions,
    ConfigurationManager,
    ConnectionBudgets,
    CountingObjectStore,
    DecisionLog,
    EqualQuotas,
    InForceFeed,
    InForceFetcher,
    InstanceEntry,
    InstanceIdentity,
    InstancePresence,
    LeaveExchange,
    Lifecycle,
    PeerAwareCaller,
    PeerShardSets,
    QuarantineLog,
    QuarantineRecords,
    QueryService,
    RelayService,
    ServiceDirectory,
    SharedObjectStore,
    SparseObjectStore,
    keep_running,
)
from chestnuthall.services._configuration import ENVIRONMENT_KIND
from chestnuthall.services._configuration_feed import IN_FORCE_KIND
from chestnuthall.services._presence import PRESENCE_KIND
from chestnuthall.services._quarantine_records import QUARANTINE_KIND
from chestnuthall.services._service_directory import REGISTRATION_KIND

_log = logging.getLogger(__name__)

# The platform's names for the kinds of objects that the product stores.
DIALECT = PlatformDialect(
    kinds={
        ENVIRONMENT_KIND: "config",
        REGISTRATION_KIND: "servers",
        PRESENCE_KIND: "chestnuthall-instances",
        QUARANTINE_KIND: "chestnuthall-quarantines",
    },
    singleton_names={ENVIRONMENT_KIND: "main"},
    stale_kinds=frozenset({PRESENCE_KIND}),
)
# Detect an unresponsive connection to the store within 3 s, well before the deadline
# for a new configuration to be in force.
STORE_PROBES = TcpKeepAlive(idle_s=1, interval_s=1, n_probes=2)
# Registrations that lapsed while the store was unavailable are renewed within about
# 2 s of its return.
REGISTRATION_RETENTION_MS = 2_200.0
# The balancer checks readiness every second and removes an instance after two failed
# checks. Until then a caller that reconnects may arrive here again, so keep-alive
# connections stay open.
BALANCER_REMOVAL_MS = 2_200.0
LEAVE_NOTICE_MS = 3_400.0
# Reserved within the platform's grace time for the process to exit.
STOP_MARGIN_MS = 500.0
CONNECT_TIMEOUT_MS = 400.0
# Short, so that a harmless request, which the first retest clears, is not refused for
# long.
QUARANTINE_MS = 30_000.0
N_WARM_CONNECTIONS = 2
# Exceeds the interval between the calls of a busy instance to one replica, so that
# connections in use stay open.
IDLE_CLOSE_MS = 1_000.0
LOG_REPORT_INTERVAL_MS = 10_000.0
# Limit of connections to one peer; a search that finds none idle opens another one.
N_PEER_CONNECTIONS = 16
# A peer in the same region accepts a connection within a few ms, unless it is
# unreachable.
PEER_CONNECT_TIMEOUT_MS = 20.0
# Detect unresponsive peers, whose connections are then closed.
PEER_PROBES = TcpKeepAlive(idle_s=1, interval_s=1, n_probes=1)
# Bytes by which a peer may extend the headers of the caller's request.
N_PEER_HEADER_BYTES = 512
# Checks of the balancer and scrapes of the metrics have no bodies.
N_SERVICE_BODY_BYTES_MAX = 16 * 1024
# Time for the head of a request until a configuration sets it for callers.
HEADER_TIMEOUT_MS = 3_000.0
BYTES_PER_MB = 1024 * 1024
METRICS_PATH = "/metrics"
LAG_INTERVAL_MS = 250.0


def _router_settings(zone: str) -> RouterSettings:
    """Return the settings of replica selection.

    Traffic between zones is priced, so a replica in another zone is chosen only if
    it is four times faster. Objectives are a few times the usual latency, so hedges
    start at the 90th percentile of latency; while latencies are unknown, hedges
    start at about twice the usual latency.
    """
    return RouterSettings(
        zone=zone,
        other_zone_cost_ms=1.0,
        other_zone_factor=4.0,
        unknown_latency_ms=20.0,
        hedge_quantile=0.9,
        hedge_delay_unknown_ms=60.0,
        hedge_delay_min_ms=8.0,
    )


def _call_soon(function: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_soon(function)


class PlatformInstance:
    """One entry instance with its servers and background tasks."""

    def __init__(
        self, settings: PlatformSettings, log_limit: RateLimitFilter | None = None
    ) -> None:
        self.settings = settings
        self._log_limit = log_limit
        self._clock = clock = LoopClock()
        random = Random()
        self._metrics = metrics = PrometheusMetrics()
        self._decisions = DecisionLog(clock, metrics, _call_soon)
        store = CountingObjectStore(
            HttpObjectStore(
                settings.store_address,
                DIALECT,
                STORE_PROBES,
                lambda era: metrics.count("store_returns"),
                watch_margin_ms(settings.store_settle_ms),
            ),
            metrics,
            clock,
        )
        feed_timing = FeedTiming(
            min(settings.configuration_deadline_ms, settings.drain_ms),
            settings.store_settle_ms,
        )
        self._feed_client = HttpFeedClient(feed_timing.leader_margin_ms, PEER_PROBES)
        seed_addresses = [
            item for item in settings.seed_addresses if item != settings.peer_address
        ]
        shared = SharedObjectStore(
            store,
            clock,
            self._feed_client,
            (ENVIRONMENT_KIND, REGISTRATION_KIND),
            feed_timing,
            LeaderSelector(settings.name),
            lambda: self.presence.same_zone_peers,
            seed_addresses,
        )
        self._extra_load_budget = ServiceExtraLoadBudget(
            ServiceExtraLoadLimits(
                ratio=settings.repeat_ratio,
                window_ms=1000.0 * settings.repeat_window_s,
                n_floor=settings.n_repeats_floor,
            )
        )
        self._caller = HttpShardCaller(
            clock,
            RelayCodec(),
            PoolSettings(
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                n_connections_warm=N_WARM_CONNECTIONS,
                idle_close_ms=IDLE_CLOSE_MS,
            ),
            settings.name,
            settings.zone,
        )
        self.lifecycle = Lifecycle(
            clock,
            LEAVE_NOTICE_MS,
            reconnect_grace_ms=BALANCER_REMOVAL_MS,
            stop_timeout_ms=1000.0 * settings.grace_s - STOP_MARGIN_MS,
        )
        # Each store call is priced, so watches are as long as is safe.
        watch_timeout_ms = safe_watch_timeout_ms(settings.store_settle_ms)
        self.configuration = ConfigurationManager(
            SINGLETON_NAME,
            shared,
            clock,
            read_configuration,
            InForceFetcher(self._feed_client, seed_addresses).fetch,
            watch_timeout_ms=watch_timeout_ms,
        )
        self.directory = ServiceDirectory(
            shared,
            self._caller,
            clock,
            read_registration,
            ReplicaRegistry(
                REGISTRATION_RETENTION_MS, settings.drain_ms, settings.store_settle_ms
            ),
            _router_settings(settings.zone),
            random,
            watch_timeout_ms,
            feed_timing.burst_delay_ms,
            lambda: shared.made_after_ms(REGISTRATION_KIND),
        )
        self.presence = InstancePresence(
            InstanceEntry(settings.name, settings.peer_address, settings.zone),
            store,
            clock,
            self._extra_load_budget.set_n_instances,
            read_instance,
            encode_instance,
        )
        self._connections = ConnectionBudgets(
            self._caller,
            clock,
            self.configuration,
            lambda: self.presence.n_instances,
            n_instances_assumed=1,
            n_instances_in_zone=self.presence.n_instances_in_zone,
        )
        self._admissions = admissions = Admissions(clock)
        self._quotas = EqualQuotas(
            clock, admissions, lambda: self.presence.n_instances or 1
        )
        self._leaves = LeaveExchange(
            self.directory, clock, metrics, settings.drain_ms, settings.name
        )
        self._caller.add_leave_listener(self._leaves.on_answer)
        self._peer_caller = self._make_peer_caller()
        self._peer_caller.add_leave_listener(self._leaves.on_peer)
        peer_shard_sets = PeerShardSets(
            settings.name, settings.zone, lambda: self.presence.peers
        )
        quarantine = QuarantineRegistry(
            QuarantineSettings(quarantine_ms=QUARANTINE_MS),
            lambda: self.presence.n_instances or 1,
        )
        sparse = SparseObjectStore(
            QUARANTINE_KIND,
            store,
            clock,
            self._feed_client,
            shared,
            lambda: self.presence.n_instances is not None,
            feed_timing,
        )
        self._quarantine_records = QuarantineRecords(
            quarantine,
            sparse,
            clock,
            random,
            read_quarantine,
            encode_quarantine,
            watch_timeout_ms,
            lambda: shared.is_store_answering,
            self._turn_ms,
        )
        feeds = {QUARANTINE_KIND: sparse.feed}
        snapshots = {**feeds, IN_FORCE_KIND: InForceFeed(self.configuration)}
        query = QueryService(
            identity=InstanceIdentity(
                settings.name, settings.caller_address, settings.zone
            ),
            clock=clock,
            metrics=metrics,
            caller=PeerAwareCaller(self._caller, self._peer_caller),
            directory=self.directory,
            configuration=self.configuration,
            ledger=None,
            quarantine=quarantine,
            retests=self._quarantine_records,
            admissions=admissions,
            shared_budget=self._extra_load_budget,
            decision_log=self._decisions,
            combine_shards=peer_shard_sets.combine_shards,
            ends_at_ms=lambda: self.lifecycle.ends_at_ms,
            reachability=self._caller,
            knows_quarantines=self._quarantine_records.may_serve,
        )
        QuarantineLog(quarantine, clock, metrics)
        plan = plan_intake(
            int(settings.memory_mb * BYTES_PER_MB), settings.n_descriptors
        )
        self._relay = RelayService(
            query, self.configuration, self.directory, plan.n_connections_max
        )
        frontend = RelayFrontend(self._relay, self.lifecycle, clock)
        RESPONSES.set_limit(plan.n_response_bytes_max)
        self._client_memory = ReceptionBudget(plan.n_client_bytes_max)
        limits = ServerLimits(
            n_connections_max=plan.n_connections_max,
            header_timeout_ms=HEADER_TIMEOUT_MS,
            limits_kernel_buffers=True,
        )
        service_limits = replace(
            limits,
            n_connections_max=plan.n_service_connections_max,
            n_body_bytes_max=N_SERVICE_BODY_BYTES_MAX,
        )
        limits = replace(limits, cancels_at_eof=True)
        self.caller_server = self._make_server(frontend.handle, limits)
        self.peer_server = self._make_server(
            PeerFrontend(
                frontend,
                FeedHandler(
                    lambda kind: feeds.get(kind) or shared.store_feed(kind),
                    lambda kind: snapshots.get(kind) or shared.any_feed(kind),
                ).handle,
                self.is_ready,
                lambda: self.configuration.revision,
                self._leaves.recent,
                self._leaves.on_peer,
            ).handle,
            limits,
        )
        self.readiness_server = self._make_server(
            ReadinessFrontend(self.is_ready).handle, service_limits
        )
        self.metrics_server = self._make_server(self._serve_metrics, service_limits)
        self.configuration.add_listener(self._apply_limits)
        self._overload = OverloadDetector(LagSettings())
        self._tasks: list[asyncio.Task[None]] = []

    def _turn_ms(self, fingerprint: str) -> float:
        """Return when this instance writes a quarantine record that was lost."""
        peer_names = [item.name for item in self.presence.peers]
        return turn_ms(self.settings.name, peer_names, fingerprint)

    def _make_server(self, handler: Handler, limits: ServerLimits) -> HttpServer:
        return HttpServer(
            handler, limits, encode_http_error, reception=self._client_memory
        )

    def _make_peer_caller(self) -> HttpShardCaller:
        caller = HttpShardCaller(
            self._clock,
            PeerCodec(lambda: self.configuration.revision, self._leaves.recent),
            PoolSettings(
                n_connections_max=N_PEER_CONNECTIONS,
                connect_timeout_ms=PEER_CONNECT_TIMEOUT_MS,
                n_connections_warm=1,
                probes=PEER_PROBES,
            ),
            self.settings.name,
        )
        caller.set_default_budget(N_PEER_CONNECTIONS)
        return caller

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers to this instance."""
        return self._can_serve() and not self.lifecycle.is_leaving

    def _can_serve(self) -> bool:
        """Return whether this instance can serve the routes of its configuration."""
        is_responsive = not self._overload.is_overloaded
        return (
            is_responsive
            and self._is_initialised()
            and self._relay.can_reach_coverage_floors()
        )

    def _is_initialised(self) -> bool:
        return (
            self.configuration.is_ready
            and self.directory.is_ready
            and self._quarantine_records.may_serve()
        )

    async def _serve_metrics(self, request: HttpRequest) -> HttpResponse:
        if request.path != METRICS_PATH:
            return HttpResponse(404)
        self._set_gauges()
        headers = {b"content-type": CONTENT_TYPE}
        return HttpResponse(200, headers, self._metrics.render())

    def _set_gauges(self) -> None:
        metrics = self._metrics
        metrics.gauge("configuration_revision", self.configuration.revision)
        confirmed_ms = self.configuration.confirmation_age_ms
        metrics.gauge("configuration_confirmed_ago_ms", confirmed_ms)
        metrics.gauge("replicas", self.directory.n_replicas)
        metrics.gauge("instances", self.presence.n_instances or 0)
        metrics.gauge("requests_in_flight", self.lifecycle.n_in_flight)
        metrics.gauge("ready", float(self.is_ready()))
        metrics.gauge("client_bytes", self._client_memory.n_bytes)
        for name, server in self._servers().items():
            metrics.gauge(f"connections.{name}", server.n_connections)
            metrics.gauge(f"connections_replaced.{name}", server.n_connections_replaced)
            metrics.gauge(f"requests_refused.{name}", server.n_requests_refused)

    def _servers(self) -> dict[str, HttpServer]:
        return {
            "callers": self.caller_server,
            "peers": self.peer_server,
            "readiness": self.readiness_server,
            "metrics": self.metrics_server,
        }

    def _apply_limits(self, configuration: Configuration) -> None:
        limits = read_limits(configuration.text)
        self.caller_server.limits = replace(
            self.caller_server.limits,
            n_header_bytes_max=limits.n_header_bytes_max,
            n_body_bytes_max=limits.n_body_bytes_max,
            header_timeout_ms=limits.header_timeout_ms,
            idle_timeout_ms=limits.idle_timeout_ms,
        )
        self.peer_server.limits = replace(
            self.peer_server.limits,
            n_header_bytes_max=limits.n_header_bytes_max + N_PEER_HEADER_BYTES,
            n_body_bytes_max=limits.n_body_bytes_max,
        )

    async def start(self) -> None:
        """Start the servers and the background tasks."""
        await _listen(self.caller_server, self.settings.caller_address)
        await _listen(self.peer_server, self.settings.peer_address)
        await _listen(self.readiness_server, self.settings.ready_address)
        await _listen(self.metrics_server, self.settings.metrics_address)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(keep_running(name, run, self._clock))
            for name, run in (
                ("configuration", self.configuration.run),
                ("directory", self.directory.run),
                ("presence", self.presence.run),
                ("quarantine_records", self._quarantine_records.run),
                ("connections", self._connections.run),
                ("caller", self._caller.run),
                ("quotas", self._quotas.run),
                ("log_report", self._report_dropped_lines),
                ("loop_lag", self._measure_loop_lag),
            )
        ]
        _log.info(
            "instance started",
            extra={
                "zone": self.settings.zone,
                "memory_mb": self.settings.memory_mb,
                "n_descriptors": self.settings.n_descriptors,
            },
        )

    async def _report_dropped_lines(self) -> None:
        while True:
            await self._clock.sleep_ms(LOG_REPORT_INTERVAL_MS)
            self._decisions.report()
            if self._log_limit is not None:
                self._log_limit.report_dropped()

    async def _measure_loop_lag(self) -> None:
        """Measure the lag of the event loop, which is how late its timers fire.

        While the lag shows an overload, this instance reports that it is not ready
        and closes callers' connections.
        """
        while True:
            due_ms = self._clock.now_ms() + LAG_INTERVAL_MS
            await self._clock.sleep_ms(LAG_INTERVAL_MS)
            lag_ms = self._clock.now_ms() - due_ms
            self._metrics.timing("loop_lag_ms", lag_ms)
            self._overload.observe(lag_ms)
            self._admissions.observe_lag(lag_ms)
            self._update_connection_closing(lag_ms)

    def _update_connection_closing(self, lag_ms: float) -> None:
        """Close callers' keep-alive connections while this instance cannot serve.

        Callers then reconnect through the balancer, to another instance.
        """
        is_able = self._can_serve()
        if self.caller_server.closes_connections == (not is_able):
            return
        self.caller_server.closes_connections = not is_able
        _log.warning(
            "ability to serve changed",
            extra={
                "is_able": is_able,
                "is_overloaded": self._overload.is_overloaded,
                "lag_ms": round(lag_ms, 1),
                "knows_enough": self._is_initialised(),
            },
        )

    async def run(self) -> None:
        """Serve until a stop is announced, then complete the requests in flight."""
        try:
            await self.start()
            await self.lifecycle.wait_leave()
            _log.info("instance is leaving")
            await self.lifecycle.drain(self.caller_server, self._is_initialised())
        finally:
            await self.close()
        _log.info("instance stopped")

    async def close(self) -> None:
        """Stop the background tasks and close all servers and connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.caller_server.close()
        await self.peer_server.close()
        await self.readiness_server.close()
        await self.metrics_server.close()
        self._caller.close()
        self._peer_caller.close()
        self._feed_client.close()


async def _listen(server: HttpServer, address: str) -> None:
    host, _, port = address.rpartition(":")
    await server.start(host, int(port))
