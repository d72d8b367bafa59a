"""A fleet of real services over the fakes, in virtual time."""

import asyncio
import logging
from random import Random

from benchmarks._deployments import Deployment, document_of, partition_map_of
from benchmarks._fakes import DirectPeers, FixedStore, cancel_all
from benchmarks._upstreams import ModelCaller, UpstreamModel
from chestnuthall.adapters.clock import LoopClock
from chestnuthall.adapters.documents import JsonPartitionCodec
from chestnuthall.adapters.metrics import NullMetrics
from chestnuthall.core.claims import LedgerSettings
from chestnuthall.core.model import Configuration, EnvironmentDocument
from chestnuthall.core.quarantine import QuarantineRegistry, QuarantineSettings
from chestnuthall.core.results import CONFIGURATION_REJECTED, INVALID_REQUEST
from chestnuthall.core.routing import RouterSettings
from chestnuthall.ports import InstanceListEntry, InstanceRole, PeerService
from chestnuthall.services import (
    Admissions,
    ClaimLedger,
    ConfigurationManager,
    Directory,
    FleetUsageExchange,
    InstanceIdentity,
    InstanceList,
    Membership,
    QueryService,
)

# Information logs of a virtual fleet would hide its report.
logging.getLogger("chestnuthall").setLevel(logging.CRITICAL)

# Time for the instances to find each other before any load is sent.
SETTLE_MS = 4_000.0


class VirtualInstance:
    """One entry instance: the services of the daemon over fake ports."""

    def __init__(self, fleet: "VirtualFleet", index: int) -> None:
        deployment = fleet.deployment
        self.name = f"entry-{index}"
        self.zone = deployment.zones[index % len(deployment.zones)]
        clock = fleet.clock
        random = Random(f"{fleet.seed}/{self.name}")
        identity = InstanceIdentity(self.name, self.name, self.zone)
        store = FixedStore(clock, lambda: tuple(sorted(fleet.alive)))
        peers = DirectPeers(
            fleet.peer_services, fleet.alive, clock, deployment.zone_delay_ms
        )
        self.caller = ModelCaller(fleet.upstreams, self.zone, clock)
        self.configuration = ConfigurationManager(
            "trial",
            store,
            clock,
            lambda text: CONFIGURATION_REJECTED.with_reason("the fake store has none"),
        )
        self.directory = Directory(
            store,
            self.caller,
            clock,
            lambda text: INVALID_REQUEST.with_reason("the fake store has none"),
            self.zone,
            random,
            fleet.router_settings,
        )
        admissions = Admissions(clock)
        self.fleet_usage = FleetUsageExchange(
            self.name, clock, admissions, lambda: self.membership.members()
        )
        self.instances = InstanceList(store, clock, _read_entry)
        self.membership = Membership(
            identity,
            peers,
            clock,
            self.configuration,
            self.instances,
            random,
            sections=(self.fleet_usage,),
        )
        self.query = QueryService(
            identity=identity,
            clock=clock,
            metrics=NullMetrics(),
            caller=self.caller,
            directory=self.directory,
            configuration=self.configuration,
            ledger=ClaimLedger(store, clock, JsonPartitionCodec(), LedgerSettings()),
            quarantine=QuarantineRegistry(QuarantineSettings()),
            disseminate=lambda: self.membership.disseminate_now(deployment.n_instances),
            n_instances=lambda: self.membership.n_instances,
            admissions=admissions,
        )
        fleet.peer_services[self.name] = self.membership

    def put_in_force(self, configuration: Configuration) -> None:
        """Apply a configuration and divide the connections."""
        self.configuration.offer(configuration, "benchmark")

    def divide_connections(self, n_instances: int) -> None:
        """Set the connection budgets as the daemon does."""
        in_force = self.configuration.in_force
        assert in_force is not None
        for group in in_force.document.groups:
            budget = max(1, group.n_connections_max // (n_instances + 1))
            self.caller.set_connection_budget(group.name, budget)


def _read_entry(text: str) -> InstanceListEntry:
    return InstanceListEntry(text, InstanceRole.ENTRY, "", text, text, False)


class VirtualFleet:
    """All instances of a deployment over one model of its upstreams.

    Create it inside a virtual-time loop; ``start`` begins the exchange between
    instances and ``stop`` ends it.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        document: EnvironmentDocument | None = None,
        router_settings: RouterSettings | None = None,
    ) -> None:
        self.router_settings = router_settings or RouterSettings()
        self.deployment = deployment
        self.seed = seed
        self.clock = LoopClock(wall_from_loop=True)
        self.upstreams = UpstreamModel(deployment, seed)
        self.peer_services: dict[str, PeerService] = {}
        self.alive: set[str] = set()
        self.document = document or document_of(deployment)
        for size in deployment.groups:
            self.upstreams.publish(partition_map_of(deployment, size))
        self.instances = [
            VirtualInstance(self, index) for index in range(deployment.n_instances)
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Put the document in force everywhere and start the exchange."""
        configuration = Configuration(
            environment="trial",
            revision=1,
            digest="benchmark",
            text="",
            document=self.document,
        )
        loop = asyncio.get_running_loop()
        for instance in self.instances:
            self.alive.add(instance.name)
            for partition_map in self.upstreams.published.values():
                instance.directory.add_map(partition_map)
            instance.put_in_force(configuration)
            instance.divide_connections(len(self.instances))
        for instance in self.instances:
            self._tasks.append(loop.create_task(instance.instances.run()))
            self._tasks.append(loop.create_task(instance.membership.run()))
            self._tasks.append(loop.create_task(instance.fleet_usage.run()))
        await self.clock.sleep_ms(SETTLE_MS)

    async def stop(self) -> None:
        """End the background work."""
        await cancel_all(self._tasks)
