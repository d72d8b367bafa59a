"""Composition of one entry instance from services and adapters."""

import asyncio
import logging
from random import Random

from chestnuthall.adapters.callers import CallerFrontend, respond_to_http_error
from chestnuthall.adapters.clock import LoopClock
from chestnuthall.adapters.documents import (
    JsonPartitionCodec,
    read_configuration,
    read_instance,
    read_partition_map,
)
from chestnuthall.adapters.http import HttpServer, ServerLimits
from chestnuthall.adapters.metrics import NullMetrics, StatsdMetrics
from chestnuthall.adapters.objectapi import HttpObjectStore
from chestnuthall.adapters.peers import GrpcPeerServer, GrpcPeerTransport
from chestnuthall.adapters.settings import InstanceSettings
from chestnuthall.adapters.upstreams import HttpShardCaller
from chestnuthall.core.claims import LedgerSettings
from chestnuthall.core.model import Configuration
from chestnuthall.core.quarantine import QuarantineRegister, QuarantineSettings
from chestnuthall.core.results import Failure
from chestnuthall.ports import MemberUpdate, Metrics
from chestnuthall.services import (
    Admissions,
    ClaimLedger,
    ConfigurationKeeper,
    Directory,
    FleetUse,
    Identity,
    Lifecycle,
    Membership,
    QueryService,
)

_log = logging.getLogger(__name__)


def _metrics(settings: InstanceSettings) -> Metrics:
    statsd = settings.statsd
    if statsd is None:
        return NullMetrics()
    return StatsdMetrics(statsd.host, statsd.port, statsd.prefix)


def _read_entry_instance(text: str) -> MemberUpdate | None:
    """Return a live entry instance of the platform's list, or None."""
    model = read_instance(text)
    if isinstance(model, Failure) or model.role != "entry" or model.state != "live":
        return None
    return MemberUpdate(model.name, model.peer_address, model.zone, "alive", 0)


class EntryInstance:
    """One entry instance with its listeners and background work."""

    def __init__(self, settings: InstanceSettings) -> None:
        self.settings = settings
        clock = LoopClock()
        random = Random()
        identity = Identity(settings.name, settings.peer_address, settings.zone)
        store = HttpObjectStore(settings.store_address)
        self.caller = HttpShardCaller(clock)
        self.transport = GrpcPeerTransport()
        self.lifecycle = Lifecycle(clock, settings.leave_notice_ms)
        self.configuration = ConfigurationKeeper(
            settings.environment, store, clock, read_configuration
        )
        self.directory = Directory(
            store, self.caller, clock, read_partition_map, settings.zone, random
        )
        admissions = Admissions(clock)
        self.fleet_use = FleetUse(
            self.settings.name, clock, admissions, lambda: self.membership.members()
        )
        self.membership = Membership(
            identity,
            store,
            self.transport,
            clock,
            self.configuration,
            _read_entry_instance,
            random,
            parts=(self.fleet_use,),
        )
        self.query = QueryService(
            identity=identity,
            clock=clock,
            metrics=_metrics(settings),
            caller=self.caller,
            directory=self.directory,
            configuration=self.configuration,
            ledger=ClaimLedger(store, clock, JsonPartitionCodec(), LedgerSettings()),
            quarantine=QuarantineRegister(QuarantineSettings()),
            admissions=admissions,
        )
        self.configuration.on_change(self._divide_connections)
        self.frontend = CallerFrontend(
            query=self.query,
            configuration=self.configuration,
            lifecycle=self.lifecycle,
            clock=clock,
            is_ready=self.is_ready,
            read_status=self.read_status,
        )
        self.http_server = HttpServer(
            self.frontend.handle, _server_limits(settings), respond_to_http_error
        )
        self._tasks: list[asyncio.Task[None]] = []

    def is_ready(self) -> bool:
        """Return whether a configuration and all partition maps are known."""
        return self.configuration.in_force is not None and self.directory.has_maps()

    def read_status(self) -> dict[str, object]:
        """Return what ``GET /v1/admin/status`` shows."""
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
            "peers": [member.name for member in self.membership.members()],
        }

    def _divide_connections(self, configuration: Configuration) -> None:
        # One more instance than there are leaves room for a rolling restart.
        n_instances = self.membership.n_instances + 1
        for group in configuration.document.groups:
            budget = max(1, group.n_connections_max // n_instances)
            self.caller.set_connection_budget(group.name, budget)

    async def start(self) -> None:
        """Listen for callers and peers and start the background work."""
        self.peer_server = GrpcPeerServer(self.membership)
        await self.peer_server.start(self.settings.peer_address)
        host, _, port = self.settings.caller_address.rpartition(":")
        await self.http_server.start(host, int(port))
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self.configuration.run()),
            loop.create_task(self.directory.run()),
            loop.create_task(self.membership.run()),
            loop.create_task(self.fleet_use.run()),
        ]
        _log.info("instance started", extra={"zone": self.settings.zone})

    async def run(self) -> None:
        """Serve until a stop is announced, then finish what is in flight."""
        await self.start()
        await self.lifecycle.wait_leave()
        _log.info("instance is leaving")
        await self.lifecycle.drain(self.http_server.stop_listening)
        await self.close()
        _log.info("instance stopped")

    async def close(self) -> None:
        """Stop the background work and close everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.http_server.close()
        await self.peer_server.close()
        await self.transport.close()
        self.caller.close()


def _server_limits(settings: InstanceSettings) -> ServerLimits:
    limits = settings.limits
    return ServerLimits(
        n_header_bytes_max=limits.n_header_bytes_max,
        n_body_bytes_max=limits.n_body_bytes_max,
        n_connections_max=limits.n_connections_max,
        idle_timeout_ms=limits.idle_timeout_ms,
    )
