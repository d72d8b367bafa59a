"""Simulated upstream replicas in virtual time: slots, queue and connections."""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from random import Random

from benchmarks._deployments import N_DOCUMENTS_PER_SHARD, Deployment, GroupSize
from chestnuthall.core.model import Hit, PartitionMap, Replica, ShardAnswer, ShardCall
from chestnuthall.core.results import (
    CALL_TIMED_OUT,
    CONNECTION_LOST,
    NO_REPLICA,
    SHED_BY_UPSTREAM,
    SNAPSHOT_GONE,
    Failure,
)
from chestnuthall.ports import Clock

SERVICE_MEDIAN_MS = 16.0
SERVICE_SIGMA = 0.4
N_QUEUED_MAX = 12
# Time until a connection attempt to an unresponsive replica fails.
CONNECT_TIMEOUT_MS = 1_000.0


@dataclass(slots=True)
class ReplicaModel:
    """Simulated replica, shared by all instances of the virtual fleet."""

    name: str
    zone: str
    size: GroupSize
    random: Random
    slow_factor: float = 1.0
    is_alive: bool = True
    is_hanging: bool = False
    is_draining: bool = False
    held_snapshots: set[int] = field(default_factory=lambda: {1})
    n_started: int = 0
    n_shed: int = 0
    n_cancelled: int = 0
    n_running: int = 0
    n_connections: int = 0
    n_connections_peak: int = 0
    busy_ms: float = 0.0
    waiting: deque["asyncio.Future[None]"] = field(default_factory=deque)

    def service_ms(self) -> float:
        """Sample the service time of the next call."""
        sampled_ms = SERVICE_MEDIAN_MS * self.random.lognormvariate(0.0, SERVICE_SIGMA)
        return sampled_ms * self.slow_factor

    async def run(self, clock: Clock) -> bool:
        """Run one call in a slot; return False if the queue is full."""
        if self.n_running >= self.size.n_slots:
            if len(self.waiting) >= N_QUEUED_MAX:
                self.n_shed += 1
                return False
            slot = asyncio.get_running_loop().create_future()
            self.waiting.append(slot)
            try:
                await slot
            except asyncio.CancelledError:
                self._leave_queue(slot)
                raise
        else:
            self.n_running += 1
        started_ms = clock.now_ms()
        self.n_started += 1
        try:
            await clock.sleep_ms(self.service_ms())
        finally:
            self.busy_ms += clock.now_ms() - started_ms
            self._free_slot()
        return True

    def _leave_queue(self, slot: "asyncio.Future[None]") -> None:
        self.n_cancelled += 1
        if slot.done() and not slot.cancelled():
            self._free_slot()
        elif slot in self.waiting:
            self.waiting.remove(slot)

    def _free_slot(self) -> None:
        while self.waiting:
            slot = self.waiting.popleft()
            if not slot.done():
                slot.set_result(None)
                return
        self.n_running -= 1


class UpstreamModel:
    """All simulated replicas of a deployment and their partition maps."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.seed = seed
        self.replicas: dict[str, ReplicaModel] = {}
        self.published_maps: dict[str, PartitionMap] = {}
        self.n_sent = 0
        self.n_repeated = 0
        self._sent: set[tuple[str, str]] = set()

    def record_call(self, call: ShardCall) -> None:
        """Count a call sent to a replica; a second one for a shard is a repeat."""
        key = (call.request.request_id, call.shard_id)
        self.n_sent += 1
        self.n_repeated += key in self._sent
        self._sent.add(key)

    def publish(self, partition_map: PartitionMap) -> None:
        """Publish a partition map and create its replicas that do not exist yet."""
        self.published_maps[partition_map.group] = partition_map
        size = self.deployment.group(partition_map.group)
        for shard in partition_map.shards:
            for replica in shard.replicas:
                if replica.name not in self.replicas:
                    self.replicas[replica.name] = ReplicaModel(
                        replica.name,
                        replica.zone,
                        size,
                        Random(f"{self.seed}/{replica.name}"),
                    )

    @property
    def n_started(self) -> int:
        """Number of calls that replicas started, cancelled ones included."""
        return sum(item.n_started for item in self.replicas.values())


class ModelCaller:
    """Shard caller port of one instance, in virtual time.

    It keeps the connections within the instance's budget, adds the time to open
    a new connection and delays messages between zones.
    """

    def __init__(self, upstreams: UpstreamModel, zone: str, clock: Clock) -> None:
        self._upstreams = upstreams
        self._zone = zone
        self._clock = clock
        self._budgets: dict[str, int] = {}
        self._idle: dict[str, int] = {}
        self._open: dict[str, int] = {}
        self._waiting: dict[str, deque[asyncio.Future[None]]] = {}
        self.n_calls = 0

    def set_connection_budget(
        self, group: str, n_connections: int, connected_ratio: float = 1.0
    ) -> None:
        """Set how many connections may be open to each replica of a group."""
        self._budgets[group] = n_connections

    async def fetch_partition_map(
        self, replica: Replica, timeout_ms: float
    ) -> PartitionMap | Failure:
        """Return the latest published map."""
        await self._clock.sleep_ms(1.0)
        group = self._upstreams.replicas[replica.name].size.name
        return self._upstreams.published_maps[group]

    async def call(self, call: ShardCall) -> ShardAnswer | Failure:
        """Run one call; return its complete answer or the reason for the failure."""
        remaining_ms = call.deadline_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, remaining_ms) / 1000.0):
                return await self._call(call)
        except TimeoutError:
            return CALL_TIMED_OUT.with_reason("the deadline passed")

    async def _call(self, call: ShardCall) -> ShardAnswer | Failure:
        model = self._upstreams.replicas[call.replica.name]
        if not model.is_alive:
            await self._clock.sleep_ms(CONNECT_TIMEOUT_MS if model.is_hanging else 1.0)
            return NO_REPLICA.with_reason("cannot connect to the replica")
        await self._acquire(model, call.request.group)
        try:
            return await self._run(call, model)
        finally:
            self._release(model.name)

    async def _acquire(self, model: ReplicaModel, group: str) -> None:
        name = model.name
        if self._idle.get(name, 0) > 0:
            self._idle[name] -= 1
            return
        if self._open.get(name, 0) < self._budgets.get(group, 3):
            self._open[name] = self._open.get(name, 0) + 1
            model.n_connections += 1
            model.n_connections_peak = max(
                model.n_connections_peak, model.n_connections
            )
            await self._clock.sleep_ms(model.size.connect_cost_ms)
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(name, deque()).append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._release(name)
            raise

    def _release(self, name: str) -> None:
        waiting = self._waiting.get(name)
        while waiting:
            waiter = waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self._idle[name] = self._idle.get(name, 0) + 1

    async def _run(self, call: ShardCall, model: ReplicaModel) -> ShardAnswer | Failure:
        delay_ms = 0.0
        if model.zone != self._zone:
            delay_ms = self._upstreams.deployment.zone_delay_ms
        self.n_calls += 1
        self._upstreams.record_call(call)
        await self._clock.sleep_ms(delay_ms)
        if call.snapshot_id not in model.held_snapshots:
            await self._clock.sleep_ms(delay_ms)
            return SNAPSHOT_GONE.with_reason("the replica does not have the snapshot")
        was_executed = await model.run(self._clock)
        await self._clock.sleep_ms(delay_ms)
        if not was_executed:
            return SHED_BY_UPSTREAM.with_reason("the queue of the replica is full")
        if not model.is_alive:
            return CONNECTION_LOST.with_reason("the replica failed during the call")
        return ShardAnswer(
            call_id=call.call_id,
            shard_id=call.shard_id,
            snapshot_id=call.snapshot_id,
            hits=(Hit(call.shard_id, 0.5, "record"),),
            n_documents_searched=N_DOCUMENTS_PER_SHARD,
            held_snapshots=tuple(sorted(model.held_snapshots)),
            is_draining=model.is_draining,
        )
