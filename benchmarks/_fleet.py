"""Fleet of real services over in-memory ports, in virtual time."""

import asyncio
import logging
from random import Random

from benchmarks._deployments import Deployment, make_document, make_partition_map
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

# Log lines of the services would bury the printed results.
logging.getLogger("chestnuthall").setLevel(logging.CRITICAL)

# Time for the instances to discover each other before any load is sent.
DISCOVERY_MS = 4_000.0


class VirtualInstance:
    """One entry instance: the services of the daemon over in-memory ports."""

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
            lambda text: CONFIGURATION_REJECTED.with_reason(
                "not available from the in-memory store"
            ),
        )
        self.directory = Directory(
            store,
            self.caller,
            clock,
            lambda text: INVALID_REQUEST.with_reason(
                "not available from the in-memory store"
            ),
            self.zone,
            random,
            fleet.router_settings,
        )
        admissions = Admissions(clock)
        self.fleet_usage = FleetUsageExchange(
            self.name, clock, admissions, lambda: self.membership.members()
        )
        self.instances = InstanceList(store, clock, _make_entry)
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
        """Put a configuration in force at this instance."""
        self.configuration.offer(configuration, "benchmark")

    def set_connection_budgets(self, n_instances: int) -> None:
        """Divide the connections of each group among instances, as the daemon does."""
        in_force = self.configuration.in_force
        assert in_force is not None
        for group in in_force.document.groups:
            budget = max(1, group.n_connections_max // (n_instances + 1))
            self.caller.set_connection_budget(group.name, budget)


def _make_entry(text: str) -> InstanceListEntry:
    return InstanceListEntry(text, InstanceRole.ENTRY, "", text, text, False)


class VirtualFleet:
    """All instances of a deployment over one simulation of its upstreams.

    Create it inside a virtual-time loop. ``start`` starts the background tasks of
    the instances, such as their exchange of digests, and ``stop`` cancels them.
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
        self.document = document or make_document(deployment)
        for size in deployment.groups:
            self.upstreams.publish(make_partition_map(deployment, size))
        self.instances = [
            VirtualInstance(self, index) for index in range(deployment.n_instances)
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Put the document in force at every instance and start their tasks."""
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
            for partition_map in self.upstreams.published_maps.values():
                instance.directory.add_map(partition_map)
            instance.put_in_force(configuration)
            instance.set_connection_budgets(len(self.instances))
        for instance in self.instances:
            self._tasks.append(loop.create_task(instance.instances.run()))
            self._tasks.append(loop.create_task(instance.membership.run()))
            self._tasks.append(loop.create_task(instance.fleet_usage.run()))
        await self.clock.sleep_ms(DISCOVERY_MS)

    async def stop(self) -> None:
        """Cancel the background tasks."""
        await cancel_all(self._tasks)
