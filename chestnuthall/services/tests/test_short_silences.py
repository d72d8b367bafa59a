"""Tests what instances know after the store was silent for a short time.

Guards against watches that were sent during the silence and outlast the time after
which the store counts as stable: changes and leaves became known too late.
"""

import asyncio

import pytest

from chestnuthall.core.configuration import (
    FeedTiming,
    LeaderSelector,
    safe_watch_timeout_ms,
    watch_margin_ms,
)
from chestnuthall.services import InstanceEntry, SharedObjectStore, SparseObjectStore
from chestnuthall.services._kind_follower import KindFollower
from chestnuthall.services.tests._harness import LoopTimeClock
from chestnuthall.services.tests.test_drain_news import (
    LEAVER,
    REGISTRATION_KIND,
    SETTLE_MS,
    WATCH_TIMEOUT_MS,
    start_zone,
)
from chestnuthall.services.tests.test_shared_store import KIND, Feeds, Store
from chestnuthall.standins.virtual_time import run_virtual

SPARSE = "sparse"
SHARED_KINDS = (KIND, "other")


class Seen:
    """Listener that keeps the names of all objects of a kind."""

    def __init__(self):
        self.names = set()

    def on_listed(self, listing):
        self.names = {item.name for item in listing}
        return True

    def on_changed(self, stored):
        self.names.add(stored.name)

    def on_deleted(self, name):
        self.names.discard(name)

    def on_list_failed(self, failure):
        pass

    on_watch_failed = on_list_failed


class Instance:
    """One instance that follows two shared kinds and a sparse one."""

    def __init__(self, name, names, store, feeds, clock, timing):
        peers = [InstanceEntry(item, item, "z") for item in names if item != name]
        client = store.client_of(name)
        self.shared = SharedObjectStore(
            client,
            clock,
            feeds,
            SHARED_KINDS,
            timing,
            LeaderSelector(name),
            lambda: peers,
        )
        self.sparse = SparseObjectStore(
            SPARSE, client, clock, feeds, self.shared, lambda: True, timing
        )
        self.seen = {}
        watch_timeout_ms = safe_watch_timeout_ms(timing.store_settle_ms)
        for kind in (*SHARED_KINDS, SPARSE):
            source = self.sparse if kind == SPARSE else self.shared
            listener = self.seen[kind] = Seen()
            follower = KindFollower(kind, source, clock, listener, watch_timeout_ms)
            self.task = asyncio.ensure_future(follower.run())

    def store_feed(self, kind):
        return self.sparse.feed if kind == SPARSE else self.shared.store_feed(kind)

    def any_feed(self, kind):
        return self.sparse.feed if kind == SPARSE else self.shared.any_feed(kind)


def start_instances(n_instances, in_force_ms):
    clock, store = LoopTimeClock(), Store()
    store.watch_margin_ms = watch_margin_ms(SETTLE_MS)
    timing = FeedTiming(in_force_ms, SETTLE_MS)
    feeds = Feeds(timing)
    names = [f"entry-{i}" for i in range(n_instances)]
    for kind in (*SHARED_KINDS, SPARSE):
        store.put(f"{kind}-first", "1", kind)
    for name in names:
        feeds.stores[name] = Instance(name, names, store, feeds, clock, timing)
    return store, feeds.stores


async def be_silent(store, names, silence_s):
    """Let the store lose all calls that begin in some time."""
    store.unresponsive.update(names)
    await asyncio.sleep(silence_s)
    store.unresponsive.clear()


@pytest.mark.parametrize("silence_s", [0.3, 1.0, 2.4])
@pytest.mark.parametrize("delay_s", [0.0, 0.15, 0.3])
@pytest.mark.parametrize("in_force_ms", [3_000.0, 12_000.0])
@pytest.mark.parametrize("n_instances", [1, 5, 16])
@pytest.mark.parametrize("kind", [KIND, SPARSE])
def test_change_after_a_silence_is_known_once_the_store_is_stable(
    kind, n_instances, in_force_ms, delay_s, silence_s
):
    """All instances start a watch during the silence, as they have seen a change."""

    async def scenario():
        store, instances = start_instances(n_instances, in_force_ms)
        await asyncio.sleep(12.0)
        store.put(f"{kind}-second", "1", kind)
        await asyncio.sleep(delay_s)
        await be_silent(store, instances, silence_s)
        await asyncio.sleep(0.1)
        store.put(f"{kind}-third", "1", kind)
        await asyncio.sleep(SETTLE_MS / 1000.0 - 0.1)
        return [
            name
            for name, instance in instances.items()
            if f"{kind}-third" not in instance.seen[kind].names
        ]

    assert not run_virtual(scenario())


@pytest.mark.parametrize("leave_after_s", [0.0, 0.3, 1.0])
# Longer watches than the product has must not prolong the use of the replica either.
@pytest.mark.parametrize("watch_timeout_ms", [WATCH_TIMEOUT_MS, 4_000.0, 5_000.0])
@pytest.mark.parametrize("silence_s", [0.5, 2.5])
@pytest.mark.parametrize("n_started", [1, 6])
@pytest.mark.parametrize("drain_ms", [3_000.0, 6_000.0])
@pytest.mark.parametrize("n_instances", [2, 6])
def test_leave_after_a_silence_is_known_within_the_drain_time(
    n_instances, drain_ms, n_started, silence_s, watch_timeout_ms, leave_after_s
):
    """The end of a wait is not the end of an outage, after which entries are kept."""

    async def scenario():
        zone = await start_zone(
            drain_ms, n_instances, 0.3, watch_timeout_ms=watch_timeout_ms
        )
        for index in range(n_started):
            zone.store.put(f"new-{index}", "ready", REGISTRATION_KIND)
        await asyncio.sleep(0.3)
        await be_silent(zone.store, zone.names, silence_s)
        await asyncio.sleep(SETTLE_MS / 1000.0 + leave_after_s)
        zone.store.remove(LEAVER)
        return await zone.wait_until_unused(zone.names)

    assert run_virtual(scenario()) <= drain_ms
