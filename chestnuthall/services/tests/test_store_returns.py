"""Tests what instances know after the store has come back from a copy.

Guards against changes that are dropped since the store gave out their revisions
before, at the leaders of a zone, their followers and instances without a leader.
"""

import asyncio
from dataclasses import replace
from random import Random

import pytest

from chestnuthall.core.configuration import (
    FeedTiming,
    LeaderSelector,
    safe_watch_timeout_ms,
)
from chestnuthall.core.model import UpstreamGroup
from chestnuthall.core.registry import ReplicaRegistry
from chestnuthall.core.results import HISTORY_TRIMMED, STORE_UNAVAILABLE
from chestnuthall.core.routing import RouterSettings
from chestnuthall.core.versions import is_of_earlier_era, make_version, revision_of
from chestnuthall.ports import ObjectListing, StoredObject, WatchBatch
from chestnuthall.services import (
    InstanceEntry,
    ServiceDirectory,
    SharedObjectStore,
    SparseObjectStore,
)
from chestnuthall.services._kind_follower import KindFollower
from chestnuthall.services._service_directory import REGISTRATION_KIND
from chestnuthall.services.tests._harness import LoopTimeClock
from chestnuthall.services.tests.test_drain_news import Connections, read_registration
from chestnuthall.services.tests.test_shared_store import Feeds
from chestnuthall.standins.virtual_time import run_virtual

KIND = "k"
SPARSE = "sparse"
IN_FORCE_MS = 3_000.0
SETTLE_MS = 4_000.0
N_REVISIONS_LOST = 3
GROUP = UpstreamGroup(
    name="g",
    n_slots=3,
    n_connections_max=31,
    connect_cost_ms=0.0,
    shard_ids=("s",),
)


class ReturningStore:
    """A store that can be away and come back from a copy of its state."""

    def __init__(self):
        self.era = 1
        self.revision = 100
        self.objects = {}
        self.history = []
        self.is_away = False
        self._changed = asyncio.Event()

    def put(self, kind, name, value):
        self.revision += 1
        self.objects[kind, name] = StoredObject(kind, name, self.revision, value)
        self._record(kind, name)

    def remove(self, kind, name):
        self.revision += 1
        del self.objects[kind, name]
        self._record(kind, name)

    def _record(self, kind, name):
        self.history.append((self.revision, kind, name, self.objects.get((kind, name))))
        self.wake()

    def wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self):
        return dict(self.objects), list(self.history), self.revision

    async def leave_and_return(self, copy, away_s):
        self.is_away = True
        self.wake()
        await asyncio.sleep(away_s)
        objects, history, self.revision = copy
        self.objects, self.history = dict(objects), list(history)
        self.era += 1
        self.is_away = False

    def in_era(self, stored):
        return replace(stored, version=make_version(self.era, stored.version))

    async def list_kind(self, kind, timeout_ms):
        await asyncio.sleep(0.004)
        if self.is_away:
            return STORE_UNAVAILABLE.with_reason("away")
        items = tuple(
            self.in_era(item) for (k, _), item in self.objects.items() if k == kind
        )
        return ObjectListing(items, make_version(self.era, self.revision))

    async def watch(self, kind, after_version, timeout_ms):
        await asyncio.sleep(0.004)
        after = revision_of(after_version)
        if not self.is_away and after > self.revision:
            return HISTORY_TRIMMED.with_reason("unknown revision")
        ends_at_s = asyncio.get_running_loop().time() + timeout_ms / 1000.0
        while not self.is_away:
            changes = {
                name: item
                for revision, changed_kind, name, item in self.history
                if revision > after and changed_kind == kind
            }
            if changes or asyncio.get_running_loop().time() >= ends_at_s:
                return self._batch(after_version, changes)
            try:
                async with asyncio.timeout_at(ends_at_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
        return STORE_UNAVAILABLE.with_reason("away")

    def _batch(self, after_version, changes):
        version = make_version(self.era, self.revision)
        if is_of_earlier_era(after_version, version):
            return HISTORY_TRIMMED.with_reason("another era")
        changed = tuple(self.in_era(item) for item in changes.values() if item)
        deleted = tuple(name for name, item in changes.items() if item is None)
        return WatchBatch(version, changed, deleted)


class Contents:
    """Listener that keeps all objects of a kind."""

    def __init__(self):
        self.values = {}

    def on_listed(self, listing):
        self.values = {item.name: item.value for item in listing}
        return True

    def on_changed(self, stored):
        self.values[stored.name] = stored.value

    def on_deleted(self, name):
        self.values.pop(name, None)

    def on_list_failed(self, failure):
        pass

    on_watch_failed = on_list_failed


class Instance:
    """One instance that follows a shared kind and a sparse one."""

    def __init__(self, name, names, store, feeds, clock):
        timing = FeedTiming(IN_FORCE_MS, SETTLE_MS)
        peers = [InstanceEntry(item, item, "z") for item in names if item != name]
        selector = LeaderSelector(name)
        self.shared = SharedObjectStore(
            store, clock, feeds, (KIND,), timing, selector, lambda: peers
        )
        self.sparse = SparseObjectStore(
            SPARSE, store, clock, feeds, self.shared, lambda: True, timing
        )
        self.contents = {}
        watch_timeout_ms = safe_watch_timeout_ms(SETTLE_MS)
        for kind, source in ((KIND, self.shared), (SPARSE, self.sparse)):
            listener = self.contents[kind] = Contents()
            follower = KindFollower(kind, source, clock, listener, watch_timeout_ms)
            self.task = asyncio.ensure_future(follower.run())

    def store_feed(self, kind):
        return self.sparse.feed if kind == SPARSE else self.shared.store_feed(kind)

    def any_feed(self, kind):
        return self.sparse.feed if kind == SPARSE else self.shared.any_feed(kind)


def start_instances(store, n_instances):
    clock = LoopTimeClock()
    feeds = Feeds(FeedTiming(IN_FORCE_MS, SETTLE_MS))
    names = [f"entry-{i}" for i in range(n_instances)]
    for name in names:
        feeds.stores[name] = Instance(name, names, store, feeds, clock)
    return feeds.stores


def contents_of(instances, kind):
    return [dict(item.contents[kind].values) for item in instances.values()]


@pytest.mark.parametrize("kind", [KIND, SPARSE])
@pytest.mark.parametrize("n_instances", [1, 3, 6, 16])
@pytest.mark.parametrize("n_returns", [1, 2])
# The store is away between two watches, or while instances wait in one.
@pytest.mark.parametrize("away_s", [0.1, 1.0, 4.0])
@pytest.mark.parametrize("n_written_again", [0, 1, N_REVISIONS_LOST, 5])
def test_instances_know_what_the_restored_store_has(
    n_written_again, away_s, n_returns, n_instances, kind
):
    """Objects that are lost, back, or written under revisions used before."""

    async def scenario():
        store = ReturningStore()
        store.put(kind, "kept", "1")
        store.put(kind, "removed", "1")
        instances = start_instances(store, n_instances)
        await asyncio.sleep(12.0)
        copy = store.copy()
        store.remove(kind, "removed")
        for index in range(N_REVISIONS_LOST - 1):
            store.put(kind, f"lost-{index}", "1")
        await asyncio.sleep(0.1)
        for _ in range(n_returns):
            await store.leave_and_return(copy, away_s)
            for index in range(n_written_again):
                store.put(kind, f"new-{index}", "1")
        await asyncio.sleep(SETTLE_MS / 1000.0)
        known_at_once = contents_of(instances, kind)
        expected = {name: item.value for (_, name), item in store.objects.items()}
        store.put(kind, "kept", "2")
        await asyncio.sleep(IN_FORCE_MS / 1000.0)
        return known_at_once, expected, contents_of(instances, kind)

    known_at_once, expected, known_later = run_virtual(scenario())
    assert known_at_once == [expected] * n_instances
    assert known_later == [{**expected, "kept": "2"}] * n_instances


def test_drain_is_not_ended_by_the_entry_of_a_restored_store():
    """Calls reached a replica that had reported its drain after the copy was made."""

    async def scenario():
        directory = ServiceDirectory(
            ReturningStore(),
            Connections(),
            LoopTimeClock(),
            read_registration,
            ReplicaRegistry(2_200.0, 3_000.0),
            RouterSettings(zone="z"),
            Random(1),
        )
        directory.add_group(GROUP)
        used = []
        for era, value in ((1, "ready"), (1, "draining"), (2, "ready")):
            objects = [
                StoredObject(REGISTRATION_KIND, name, make_version(era, 7), state)
                for name, state in (("r0", value), ("r1", "ready"))
            ]
            listing = ObjectListing(tuple(objects), make_version(era, 7))
            directory.on_listed(listing)
            (shard,) = directory.pin("g").shards
            used.append({item.name for item in shard.replicas})
        return used

    assert run_virtual(scenario()) == [{"r0", "r1"}, {"r1"}, {"r1"}]
