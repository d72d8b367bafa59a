"""Guards against changes that reach the instances of a zone late or cost many calls.

The instances watch a leader in their zone instead of the store. A fault of the leader
or the store must not delay a change, nor make all instances turn to the store.
"""

import asyncio
from collections import Counter

import pytest

from chestnuthall.core.configuration import FeedTiming, LeaderSelector
from chestnuthall.core.results import (
    HISTORY_TRIMMED,
    NOT_READY,
    STORE_UNAVAILABLE,
    Failure,
)
from chestnuthall.ports import ObjectListing, StoredObject, WatchBatch
from chestnuthall.services import InstanceEntry, ObjectFeed, SharedObjectStore
from chestnuthall.services.tests._harness import LoopTimeClock
from chestnuthall.standins.virtual_time import run_virtual

KIND = "k"
IN_FORCE_MS = 5_000.0
WATCH_MS = 5_000.0
# Time after an outage from which the store counts as stable and bounds hold again.
RECOVERY_MS = 5_000.0
N_INSTANCES = 6


class Store:
    """A store with one version for all objects; faults are set per instance name."""

    def __init__(self):
        self.objects = {}
        self.deleted = {}
        self.version = 1
        self.n_calls = 0
        self.n_calls_by_kind = Counter()
        self.n_lists = 0
        self.watched_ms = {}
        self.refused = set()
        self.unresponsive = set()
        self.unanswered_watches = set()
        # Time for which the client awaits a watch beyond its time-out.
        self.watch_margin_ms = 1_000.0
        self._changed = asyncio.Event()

    def put(self, name, value, kind=KIND):
        self.version += 1
        self.objects[name] = StoredObject(kind, name, self.version, value)
        self.wake()

    def remove(self, name):
        self.version += 1
        del self.objects[name]
        self.deleted[name] = self.version
        self.wake()

    def objects_of(self, kind):
        return [item for item in self.objects.values() if item.kind == kind]

    def wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def client_of(self, name):
        return StoreClient(self, name)


class StoreClient:
    def __init__(self, store, name):
        self._store = store
        self._name = name

    async def _failure_of_call(self, kind, timeout_ms):
        self._store.n_calls += kind == KIND
        self._store.n_calls_by_kind[kind] += 1
        if self._name in self._store.unresponsive:
            await asyncio.sleep(timeout_ms / 1000.0)
            return STORE_UNAVAILABLE.with_reason("unresponsive")
        await asyncio.sleep(0.004)
        if self._name in self._store.refused:
            return STORE_UNAVAILABLE.with_reason("refused")
        return None

    async def list_kind(self, kind, timeout_ms):
        store = self._store
        store.n_lists += kind == KIND
        return await self._failure_of_call(kind, timeout_ms) or ObjectListing(
            tuple(
                StoredObject(kind, item.name, item.version, item.value, store.version)
                for item in store.objects_of(kind)
            ),
            store.version,
        )

    async def watch(self, kind, after_version, timeout_ms):
        store = self._store
        if kind == KIND:
            store.watched_ms.setdefault(self._name, []).append(timeout_ms)
        failure = await self._failure_of_call(kind, timeout_ms + store.watch_margin_ms)
        if failure is not None:
            return failure
        # The mark applies only to watches in progress when the outage starts.
        store.unanswered_watches.discard((self._name, kind))
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + timeout_ms / 1000.0
        while True:
            if (self._name, kind) in store.unanswered_watches:
                # Such a watch does not notice the end of the outage either.
                margin_s = store.watch_margin_ms / 1000.0
                await asyncio.sleep(max(0.0, ends_at_s + margin_s - loop.time()))
                return STORE_UNAVAILABLE.with_reason("unresponsive")
            changed = tuple(
                item for item in store.objects_of(kind) if item.version > after_version
            )
            deleted = tuple(
                name
                for name, version in store.deleted.items()
                if version > after_version and name not in store.objects
            )
            if changed or deleted or loop.time() >= ends_at_s:
                return WatchBatch(store.version, changed, deleted)
            try:
                async with asyncio.timeout_at(ends_at_s):
                    await store._changed.wait()
            except TimeoutError:
                continue


class Feeds:
    """Feeds of the instances; unreachable ones refuse, unresponsive ones hang.

    An instance that becomes unresponsive answers no watch in progress either.
    """

    def __init__(self, timing):
        self.margin_ms = timing.leader_margin_ms
        self.stores = {}
        self.unreachable = set()
        self.unresponsive = set()

    async def _failure_of_call(self, address, timeout_ms):
        if address in self.unresponsive:
            await asyncio.sleep((timeout_ms + self.margin_ms) / 1000.0)
            return STORE_UNAVAILABLE.with_reason("unresponsive")
        await asyncio.sleep(0.001)
        if address in self.unreachable:
            return STORE_UNAVAILABLE.with_reason("refused")
        return None

    async def watch(self, address, kind, after_version, timeout_ms):
        failure = await self._failure_of_call(address, timeout_ms)
        if failure is not None:
            return failure
        feed = self.stores[address].store_feed(kind)
        if feed is None:
            return NOT_READY.with_reason("no feed")
        loop = asyncio.get_running_loop()
        gives_up_s = loop.time() + (timeout_ms + self.margin_ms) / 1000.0
        answer = await feed.watch(after_version, timeout_ms)
        while address in self.unresponsive:
            if loop.time() >= gives_up_s:
                return STORE_UNAVAILABLE.with_reason("unresponsive")
            await asyncio.sleep(0.001)
        return answer

    async def snapshot(self, address, kind, timeout_ms):
        failure = await self._failure_of_call(address, timeout_ms)
        return failure or self.stores[address].any_feed(kind).snapshot()


class Fleet:
    """Instances of one zone, each of which follows one kind as a directory does."""

    def __init__(self):
        self.clock = LoopTimeClock()
        self.store = Store()
        self.feeds = Feeds(FeedTiming(IN_FORCE_MS))
        self.store.put("a", "1")
        self.seen = {}
        self.tasks = []
        names = [f"entry-{i}" for i in range(N_INSTANCES)]
        entries = [InstanceEntry(name, name, "z") for name in names]
        self.entries = entries
        positions = {}
        for name in names:
            selector = LeaderSelector(name)
            selector.leader(names, 0.0)
            positions[name] = selector.position
            self.feeds.stores[name] = self.make_store(name)
        self.names = sorted(names, key=positions.get)

    def make_store(self, name):
        return SharedObjectStore(
            self.store.client_of(name),
            self.clock,
            self.feeds,
            (KIND,),
            FeedTiming(IN_FORCE_MS),
            LeaderSelector(name),
            lambda: [item for item in self.entries if item.name != name],
        )

    def start(self, name):
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(self._follow(name)))

    async def _follow(self, name):
        shared = self.feeds.stores[name]
        while True:
            listed = await shared.list_kind(KIND, 1_000.0)
            if isinstance(listed, Failure):
                await asyncio.sleep(0.25)
                continue
            self.seen[name] = {item.name: item.value for item in listed}
            version = max(item.seen_version or item.version for item in listed)
            while True:
                batch = await shared.watch(KIND, version, WATCH_MS)
                if isinstance(batch, Failure):
                    # The shortest delay of an instance whose calls keep failing.
                    await asyncio.sleep(0.5)
                    break
                version = max(version, batch.version)
                self.seen[name] |= {item.name: item.value for item in batch.changed}

    async def wait_until_all_see(self, names, value, timeout_s):
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while any(self.seen.get(name, {}).get("a") != value for name in names):
            if loop.time() - started_s > timeout_s:
                return None
            await asyncio.sleep(0.01)
        return 1000.0 * (loop.time() - started_s)


def no_fault(fleet):
    """Inject no fault."""


def leader_unreachable(fleet):
    fleet.feeds.unreachable.add(fleet.names[0])


def leader_unresponsive(fleet):
    fleet.feeds.unresponsive.add(fleet.names[0])


def store_refuses_leader(fleet):
    fleet.store.refused.add(fleet.names[0])


def store_unresponsive_to_leader(fleet):
    fleet.store.unresponsive.add(fleet.names[0])


def first_two_unreachable(fleet):
    fleet.feeds.unreachable.update(fleet.names[:2])


def store_unresponsive_to_follower(fleet):
    fleet.store.unresponsive.add(fleet.names[-1])


# (case, fault right before a change, instances that see the change)
FAULTS = [
    ("none", no_fault, slice(None)),
    ("leader unreachable", leader_unreachable, slice(1, None)),
    ("leader unresponsive", leader_unresponsive, slice(1, None)),
    ("store refuses the leader", store_refuses_leader, slice(1, None)),
    ("store unresponsive to the leader", store_unresponsive_to_leader, slice(1, None)),
    ("two leaders unreachable", first_two_unreachable, slice(2, None)),
    ("store unresponsive to a follower", store_unresponsive_to_follower, slice(None)),
]


@pytest.mark.parametrize("offset_s", [0.0, 0.4, 1.1])
@pytest.mark.parametrize(
    ("fault", "observers"),
    [case[1:] for case in FAULTS],
    ids=[case[0] for case in FAULTS],
)
def test_change_arrives_in_time(fault, observers, offset_s):
    """A faulty leader must not delay changes for the healthy instances."""

    async def scenario():
        fleet = Fleet()
        for name in fleet.names:
            fleet.start(name)
        await asyncio.sleep(7.0 + offset_s)
        fault(fleet)
        # Watches in progress are not affected by an unresponsive store.
        if fleet.store.unresponsive:
            for task in fleet.tasks:
                task.cancel()
            for name in fleet.names:
                fleet.start(name)
        await asyncio.sleep(0.05)
        fleet.store.put("a", "2")
        return await fleet.wait_until_all_see(fleet.names[observers], "2", 20.0)

    elapsed_ms = run_virtual(scenario())
    assert elapsed_ms is not None
    assert elapsed_ms < IN_FORCE_MS - 1_000.0


@pytest.mark.parametrize("offset_s", [0.0, 0.6, 1.2, 1.8, 2.2, 2.8, 3.6, 4.4])
@pytest.mark.parametrize("outage_s", [0.5, 1.5, 2.0, 2.5, 3.0, 4.5, 9.0])
def test_change_after_an_unresponsive_store_arrives_once_the_store_is_stable(
    outage_s, offset_s
):
    """Guards against a follower that starts a long watch during the outage.

    It did so if its leaders had no recent feed.
    """

    async def scenario():
        fleet = Fleet()
        for name in fleet.names:
            fleet.start(name)
        await asyncio.sleep(7.0 + offset_s)
        fleet.store.unresponsive.update(fleet.names)
        fleet.store.unanswered_watches.update((name, KIND) for name in fleet.names)
        fleet.store.wake()
        await asyncio.sleep(outage_s)
        fleet.store.unresponsive.clear()
        fleet.store.put("a", "2")
        return await fleet.wait_until_all_see(fleet.names, "2", 20.0)

    elapsed_ms = run_virtual(scenario())
    assert elapsed_ms is not None
    assert elapsed_ms <= RECOVERY_MS


def test_zone_without_changes_costs_the_calls_of_its_leader():
    """Followers must not call the store while nothing changes."""

    async def scenario():
        fleet = Fleet()
        for name in fleet.names:
            fleet.start(name)
        await asyncio.sleep(6.0)
        n_before = fleet.store.n_calls
        await asyncio.sleep(30.0)
        return fleet.store.n_calls - n_before

    n_calls = run_virtual(scenario())
    assert n_calls <= 30_000.0 / FeedTiming(IN_FORCE_MS).watch_timeout_ms + 1


def test_new_leader_confirms_its_feed_soon_and_watches_often():
    """Followers turned to the store while the first watch of a new leader waited."""

    async def scenario():
        fleet = Fleet()
        for name in fleet.names:
            fleet.start(name)
        await asyncio.sleep(10.0)
        return fleet.store.watched_ms[fleet.names[0]], list(fleet.store.watched_ms)

    watched_ms, watchers = run_virtual(scenario())
    assert watched_ms[0] < 100.0
    assert set(watched_ms[1:]) == {FeedTiming(IN_FORCE_MS).watch_timeout_ms}
    assert len(watchers) < N_INSTANCES


def test_restart_of_the_leader_makes_no_follower_list_the_store():
    """Followers listed the store because a restarted leader has no older changes."""

    async def scenario():
        fleet = Fleet()
        for name in fleet.names:
            fleet.start(name)
        await asyncio.sleep(6.0)
        leader = fleet.names[0]
        fleet.feeds.unreachable.add(leader)
        fleet.tasks[0].cancel()
        await asyncio.sleep(2.0)
        fleet.store.put("b", "1")
        fleet.store.n_lists = 0
        fleet.feeds.stores[leader] = fleet.make_store(leader)
        fleet.start(leader)
        fleet.feeds.unreachable.clear()
        await asyncio.sleep(12.0)
        return fleet.store.n_lists, [fleet.seen[name].get("b") for name in fleet.names]

    n_lists, seen = run_virtual(scenario())
    assert n_lists == 1
    assert seen == ["1"] * N_INSTANCES


# (case, positions of the refused instances, maximum of calls in 20 s)
REFUSED = [
    ("leader", [0], 40),
    ("two leaders", [0, 1], 60),
    ("a follower", [5], 20),
]


@pytest.mark.parametrize(
    ("positions", "n_calls_max"), [c[1:] for c in REFUSED], ids=[c[0] for c in REFUSED]
)
def test_store_that_refuses_some_instances_costs_few_calls(positions, n_calls_max):
    """A refused leader and all its followers turned to the store."""

    async def scenario():
        fleet = Fleet()
        for name in fleet.names:
            fleet.start(name)
        await asyncio.sleep(6.0)
        fleet.store.refused.update(fleet.names[position] for position in positions)
        n_before = fleet.store.n_calls
        await asyncio.sleep(10.0)
        fleet.store.put("a", "2")
        elapsed_ms = await fleet.wait_until_all_see(fleet.names, "2", 10.0)
        await asyncio.sleep(10.0)
        return elapsed_ms, fleet.store.n_calls - n_before

    elapsed_ms, n_calls = run_virtual(scenario())
    assert elapsed_ms is not None
    assert elapsed_ms < IN_FORCE_MS - 1_000.0
    assert n_calls <= n_calls_max


def test_start_without_the_store_reads_the_objects_of_a_peer():
    """An instance killed in a store outage served nothing until its end (inc-7a0f)."""

    async def scenario():
        fleet = Fleet()
        for name in fleet.names[:-1]:
            fleet.start(name)
        await asyncio.sleep(1.0)
        fleet.store.refused.update(fleet.names)
        fleet.start(fleet.names[-1])
        return await fleet.wait_until_all_see(fleet.names[-1:], "1", 3.0)

    assert run_virtual(scenario()) is not None


# (case, batches after the load at version 10, watch after, changed, deleted or None)
CHANGES = [
    ("nothing new", [], 10, [], []),
    ("one batch", [(12, ["a"], [])], 10, ["a"], []),
    ("received already", [(12, ["a"], [])], 12, [], []),
    ("deleted later", [(12, ["a"], []), (13, [], ["a"])], 10, [], ["a"]),
    ("created again", [(12, [], ["a"]), (13, ["a"], [])], 11, ["a"], []),
    ("older than the kept batches", [(12, ["a"], [])], 9, None, None),
]


@pytest.mark.parametrize(
    ("batches", "after", "changed", "deleted"),
    [case[1:] for case in CHANGES],
    ids=[case[0] for case in CHANGES],
)
def test_changes_after_a_version(batches, after, changed, deleted):
    """A follower that misses a deletion calls a replica that has left."""

    async def scenario():
        feed = ObjectFeed(LoopTimeClock(), 1_000.0)
        feed.replace_all((StoredObject(KIND, "z", 5, "0"),), 10)
        for version, names, deleted_names in batches:
            objects = tuple(StoredObject(KIND, name, version, "1") for name in names)
            feed.apply(WatchBatch(version, objects, tuple(deleted_names)))
        feed.confirm()
        return await feed.watch(after, 10.0)

    answer = run_virtual(scenario())
    if changed is None:
        assert answer.kind is HISTORY_TRIMMED
        return
    batch = answer.batch
    assert [item.name for item in batch.changed] == changed
    assert list(batch.deleted_names) == deleted
    assert batch.version >= after


def test_feed_that_the_store_no_longer_confirms_is_refused():
    """A follower must not rely on a leader that does not reach the store."""

    async def scenario():
        feed = ObjectFeed(LoopTimeClock(), 1_000.0)
        feed.replace_all((StoredObject(KIND, "z", 5, "0"),), 10)
        feed.confirm()
        started_s = asyncio.get_running_loop().time()
        result = await feed.watch(10, 5_000.0)
        return result, asyncio.get_running_loop().time() - started_s

    result, duration_s = run_virtual(scenario())
    assert isinstance(result, Failure)
    assert duration_s < 1.5
