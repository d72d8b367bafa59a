"""A query service over fakes of its ports, which record each shard call."""

import asyncio
from dataclasses import dataclass, field, replace
from random import Random

from chestnuthall.core.claims import LedgerSettings
from chestnuthall.core.model import (
    CallerClass,
    Configuration,
    EnvironmentDocument,
    Hit,
    KeyRange,
    LookupRequest,
    MutationRequest,
    PartitionMap,
    Replica,
    SearchRequest,
    Shard,
    ShardAnswer,
    UpstreamGroup,
)
from chestnuthall.core.quarantine import QuarantineRegistry, QuarantineSettings
from chestnuthall.core.results import (
    CALL_TIMED_OUT,
    CONNECTION_LOST,
    DEADLINE_PASSED,
    INVALID_REQUEST,
    NO_REPLICA,
    OBJECT_CONFLICT,
    OBJECT_NOT_FOUND,
    SHED_BY_UPSTREAM,
    SNAPSHOT_GONE,
    STORE_UNAVAILABLE,
)
from chestnuthall.ports import StoredObject
from chestnuthall.services import (
    Admissions,
    ClaimLedger,
    ConfigurationManager,
    Directory,
    InstanceIdentity,
    QueryService,
)

DEADLINE_MS = 500.0
FLOOR_RATIO = 0.5


def make_map(snapshot_id=1, n_shards=3, n_replicas=3):
    """Return a map in which the replicas of a shard are in different zones."""
    shards = []
    for i in range(n_shards):
        start, end = f"{i}" if i else "", f"{i + 1}" if i < n_shards - 1 else ""
        names = [f"r{i}{j}" for j in range(n_replicas)]
        replicas = tuple(Replica(n, n, f"z{j}") for j, n in enumerate(names))
        shards.append(Shard(f"s{i}", KeyRange(start, end), 100 + i, replicas))
    return PartitionMap("g", snapshot_id, tuple(shards))


class LoopTimeClock:
    def now_ms(self):
        return asyncio.get_running_loop().time() * 1000.0

    wall_ms = now_ms

    async def sleep_ms(self, duration_ms):
        await asyncio.sleep(max(0.0, duration_ms) / 1000.0)


class FakeStore:
    """Object store in memory; fails every operation if ``is_unavailable`` is set."""

    def __init__(self):
        self.objects = {}
        self.is_unavailable = False

    async def get(self, kind, name, timeout_ms):
        await asyncio.sleep(0.001)
        if self.is_unavailable:
            return STORE_UNAVAILABLE.with_reason("the store is unavailable")
        return self.objects.get((kind, name)) or OBJECT_NOT_FOUND.with_reason(name)

    async def update(self, kind, name, value, version, timeout_ms):
        await asyncio.sleep(0.001)
        if self.is_unavailable:
            return STORE_UNAVAILABLE.with_reason("the store is unavailable")
        stored = self.objects.get((kind, name))
        if (stored.version if stored else 0) != version:
            return OBJECT_CONFLICT.with_reason(name)
        self.objects[kind, name] = StoredObject(kind, name, version + 1, value)
        return self.objects[kind, name]

    async def create(self, kind, name, value, timeout_ms):
        return await self.update(kind, name, value, 0, timeout_ms)

    # The ledger's partitions are stored without encoding.
    encode = decode = staticmethod(lambda value: value)


@dataclass
class FakeUpstreams:
    """Fake of the shard caller port.

    ``next_fault`` maps a shard to the fault of its next call, and ``runs`` lists the
    calls that reached an upstream.
    """

    clock: LoopTimeClock
    random: Random
    snapshots: set = field(default_factory=lambda: {1})
    newest: PartitionMap = field(default_factory=make_map)
    dead: set = field(default_factory=set)
    crashing: set = field(default_factory=set)
    crash_shards: set = field(default_factory=lambda: {"s0", "s1", "s2"})
    crash_ms: float = 1.0
    # Time after which a crashed replica is back; None means never.
    restart_s: float | None = None
    # Whether a crash leaves the connection open, as the loss of power does.
    is_crash_silent: bool = False
    next_fault: dict = field(default_factory=dict)
    slow_ms: dict = field(default_factory=dict)
    runs: list = field(default_factory=list)
    running: dict = field(default_factory=dict)
    last_answer: ShardAnswer | None = None
    answered_ms: dict = field(default_factory=dict)
    on_event: object = lambda name: None
    on_crash: object = lambda replica_name: None

    async def call(self, call):
        self.running[call.call_id] = call
        try:
            remaining_ms = call.deadline_ms - self.clock.now_ms()
            async with asyncio.timeout(max(0.0, remaining_ms) / 1000.0):
                return await self._call(call)
        except TimeoutError:
            return CALL_TIMED_OUT.with_reason("the deadline passed")
        finally:
            del self.running[call.call_id]

    async def _call(self, call):
        name, shard_id = call.replica.name, call.shard_id
        await asyncio.sleep(0.001)
        fault = self.next_fault.pop(shard_id, "")
        if name in self.dead or fault == "cut-before":
            return NO_REPLICA.with_reason("connection refused")
        if self.clock.now_ms() >= call.deadline_ms:
            return DEADLINE_PASSED.with_reason(
                "the deadline passed before the call was sent"
            )
        if fault == "shed":
            return SHED_BY_UPSTREAM.with_reason("overloaded")
        if call.snapshot_id not in self.snapshots:
            return SNAPSHOT_GONE.with_reason("the snapshot was replaced")
        call.trace.is_written = True
        self.runs.append((call.request.request_id, shard_id, name))
        self.on_event("written")
        if sum(item.shard_id == shard_id for item in self.running.values()) > 1:
            self.on_event("hedged")
        fault = fault or self.next_fault.pop(shard_id, "")
        if call.request.fingerprint in self.crashing and shard_id in self.crash_shards:
            await asyncio.sleep(self.crash_ms / 1000.0)
            self._crash(name)
        if name not in self.dead:
            slow_ms = self.slow_ms.pop(shard_id, 0.0)
            await asyncio.sleep((slow_ms + self.random.uniform(4, 8)) / 1000.0)
        # A fault that was injected while the call ran also affects it.
        fault = fault or self.next_fault.pop(shard_id, "")
        if name in self.dead and self.is_crash_silent:
            # Ends with the time-out of the call.
            await asyncio.sleep(float("inf"))
        if name in self.dead or fault in ("cut-after", "cut-before", "shed"):
            return CONNECTION_LOST.with_reason("connection reset")
        return self._answer(call, fault)

    def _crash(self, name):
        self.dead.add(name)
        self.on_crash(name)
        if self.restart_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self.restart_s, self.dead.discard, name)

    def _answer(self, call, fault):
        n = 100 + int(call.shard_id[1:])
        n //= 2 if fault == "truncated" else 1
        key = f"{call.snapshot_id}/{call.shard_id}/{call.request.request_id}"
        answer = ShardAnswer(
            call_id=call.call_id,
            shard_id=call.shard_id,
            snapshot_id=call.snapshot_id,
            hits=(Hit(key, 0.5, str(n)),),
            n_documents_searched=n,
            held_snapshots=tuple(self.snapshots),
        )
        previous, self.last_answer = self.last_answer, answer
        self.answered_ms[call.replica.name] = self.clock.now_ms()
        self.on_event("answered")
        if fault == "duplicate" and previous is not None:
            return previous
        if fault == "crossed":
            return replace(answer, call_id="other.1", hits=(Hit("x/x/x", 1.0, "0"),))
        return answer

    async def accepts_connections(self, replica, timeout_ms):
        if replica.name in self.dead:
            await asyncio.sleep(timeout_ms / 1000.0)
            return False
        await asyncio.sleep(0.001)
        return True

    def last_answer_ms(self, replica):
        return self.answered_ms.get(replica.name, float("-inf"))

    async def fetch_partition_map(self, replica, timeout_ms):
        await asyncio.sleep(0.001)
        return self.newest

    def set_connection_budget(
        self, group, n_connections, connected_ratio=1.0, n_connections_in_zone=None
    ):
        pass


class QueryHarness:
    """The query services of one instance; to be created in a virtual-time loop."""

    def __init__(self, seed, upstreams=None, disseminate=None, share=None):
        self.clock = LoopTimeClock()
        self.store = FakeStore()
        self.random = Random(seed)
        self.upstreams = upstreams or FakeUpstreams(self.clock, self.random)
        self.registry = QuarantineRegistry(QuarantineSettings())
        retests = None if share is None else share(self.registry, self.clock)
        manager = ConfigurationManager("t", self.store, self.clock, lambda text: None)
        self.directory = Directory(
            self.store,
            self.upstreams,
            self.clock,
            lambda text: INVALID_REQUEST.with_reason("unused"),
            "z0",
            self.random,
        )
        self.query = QueryService(
            identity=InstanceIdentity("e", "e", "z0"),
            clock=self.clock,
            metrics=_NoMetrics(),
            caller=self.upstreams,
            directory=self.directory,
            configuration=manager,
            admissions=Admissions(self.clock),
            ledger=ClaimLedger(self.store, self.clock, self.store, LedgerSettings()),
            quarantine=self.registry,
            retests=retests,
            disseminate=disseminate,
            reachability=self.upstreams,
        )
        document = EnvironmentDocument(
            classes=(
                CallerClass(
                    name="c",
                    share=1.0,
                    urgency=0,
                    coverage_floor_ratio=FLOOR_RATIO,
                    deadline_ms=DEADLINE_MS,
                ),
            ),
            groups=(
                UpstreamGroup(
                    name="g", n_slots=3, n_connections_max=30, connect_cost_ms=1.0
                ),
            ),
        )
        manager.offer(
            Configuration(
                environment="t", revision=1, digest="", text="", document=document
            ),
            "test",
        )
        self.directory.add_map(make_map())

    def request(self, kind, number=1, fingerprint=None, key="key-1"):
        """Return a request that arrives at the current time."""
        now_ms = self.clock.now_ms()
        shared = {
            "request_id": f"q{number}",
            "class_name": "c",
            "group": "g",
            "arrived_ms": now_ms,
            "deadline_ms": now_ms + DEADLINE_MS,
            "fingerprint": fingerprint or f"f{number}",
        }
        if kind == "search":
            return SearchRequest(**shared, query="x", n_hits_max=10)
        if kind == "lookup":
            return LookupRequest(**shared, key="1x")
        return MutationRequest(
            **shared, key="1x", payload="", idempotency_key=key, issued_at_ms=1.0
        )


class _NoMetrics:
    def count(self, name, n=1):
        pass

    def timing(self, name, duration_ms):
        pass
