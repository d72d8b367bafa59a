"""Tests how the instances of a zone follow a kind that is usually empty.

Guards against changes that reach an instance late because it spares calls to the
store, and against calls that cost more than they are worth.
"""

import asyncio
import math

import pytest

from chestnuthall.core.configuration import (
    FeedTiming,
    LeaderSelector,
    safe_watch_timeout_ms,
)
from chestnuthall.services import InstanceEntry, SharedObjectStore, SparseObjectStore
from chestnuthall.services._kind_follower import KindFollower
from chestnuthall.services.tests._harness import LoopTimeClock
from chestnuthall.services.tests.test_shared_store import (
    IN_FORCE_MS,
    KIND,
    RECOVERY_MS,
    WATCH_MS,
    Feeds,
    Store,
)
from chestnuthall.standins.virtual_time import run_virtual

SPARSE = "sparse"
PEERS_KNOWN_S = 3.0
WATCH_TIMEOUT_MS = safe_watch_timeout_ms(RECOVERY_MS)


def n_watches(duration_s):
    """Return how many watches one instance needs for some time without changes.

    A longer watch would leave it without news after an outage that only its watch
    has met.
    """
    return math.ceil(1000.0 * duration_s / WATCH_TIMEOUT_MS)


class Instance:
    """One instance that follows a shared kind and a sparse one."""

    def __init__(self, fleet, name):
        self.name = name
        self.seen = set()
        self.n_lists = 0
        self.feed_of = {}
        client = fleet.store.client_of(name)
        loop = asyncio.get_running_loop()
        known_s = loop.time() + PEERS_KNOWN_S
        timing = FeedTiming(IN_FORCE_MS)
        self.shared = SharedObjectStore(
            client,
            fleet.clock,
            fleet.feeds,
            (KIND,),
            timing,
            LeaderSelector(name),
            lambda: self._peers(fleet) if loop.time() >= known_s else [],
            [item for item in fleet.all_names[:2] if item != name],
        )
        self.sparse = SparseObjectStore(
            SPARSE,
            client,
            fleet.clock,
            fleet.feeds,
            self.shared,
            lambda: loop.time() >= known_s,
            timing,
        )
        followers = (
            KindFollower(KIND, self.shared, fleet.clock, _Ignored(), WATCH_MS),
            KindFollower(SPARSE, self.sparse, fleet.clock, self, WATCH_TIMEOUT_MS),
        )
        self.tasks = [loop.create_task(item.run()) for item in followers]

    def _peers(self, fleet):
        return [
            InstanceEntry(name, name, "z")
            for name in fleet.all_names
            if name != self.name
        ]

    def store_feed(self, kind):
        return self.sparse.feed if kind == SPARSE else self.shared.store_feed(kind)

    def any_feed(self, kind):
        return self.sparse.feed if kind == SPARSE else self.shared.any_feed(kind)

    def on_listed(self, listing):
        self.n_lists += 1
        self.seen |= {item.name for item in listing}
        return True

    def on_changed(self, stored):
        self.seen.add(stored.name)

    def on_deleted(self, name):
        self.seen.discard(name)

    def on_list_failed(self, failure):
        pass

    on_watch_failed = on_list_failed


class _Ignored:
    def on_listed(self, listing):
        return True

    def ignore(self, argument):
        pass

    on_changed = on_deleted = on_list_failed = on_watch_failed = ignore


class Fleet:
    def __init__(self, n_instances):
        self.clock = LoopTimeClock()
        self.store = Store()
        self.store.put("a", "1")
        self.feeds = Feeds(FeedTiming(IN_FORCE_MS))
        self.all_names = [f"entry-{number}" for number in range(n_instances)]
        self.instances = {name: self.start(name) for name in self.all_names}
        selector = LeaderSelector("")
        positions = {}
        for name in self.all_names:
            selector = LeaderSelector(name)
            selector.leader(self.all_names, 0.0)
            positions[name] = selector.position
        self.names = sorted(self.all_names, key=positions.get)

    def start(self, name):
        self.feeds.stores[name] = instance = Instance(self, name)
        return instance

    def restart(self, name):
        for task in self.instances[name].tasks:
            task.cancel()
        self.instances[name] = self.start(name)

    async def time_until_seen(self, names, object_name, timeout_s=30.0):
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while any(object_name not in self.instances[x].seen for x in names):
            if loop.time() - started_s > timeout_s:
                return None
            await asyncio.sleep(0.01)
        return 1000.0 * (loop.time() - started_s)


async def no_fault(fleet):
    return fleet.names


async def leader_ends(fleet):
    for task in fleet.instances[fleet.names[0]].tasks:
        task.cancel()
    fleet.feeds.unreachable.add(fleet.names[0])
    return fleet.names[1:]


async def leader_refused(fleet):
    fleet.store.refused.add(fleet.names[0])
    return fleet.names[1:]


async def follower_refused(fleet):
    fleet.store.refused.add(fleet.names[-1])
    return fleet.names


async def follower_restarts(fleet):
    fleet.restart(fleet.names[-1])
    return fleet.names


async def leader_restarts(fleet):
    fleet.restart(fleet.names[0])
    return fleet.names


async def silent_outage(fleet):
    """The watches in progress hear nothing more, also after the outage."""
    fleet.store.unresponsive.update(fleet.names)
    for kind in (KIND, SPARSE):
        fleet.store.unanswered_watches.update((name, kind) for name in fleet.names)
    fleet.store.wake()
    await asyncio.sleep(6.0)
    fleet.store.unresponsive.clear()
    return fleet.names


async def refusing_outage(fleet):
    fleet.store.refused.update(fleet.names)
    await asyncio.sleep(20.0)
    fleet.store.refused.clear()
    return fleet.names


FAULTS = (
    no_fault,
    leader_ends,
    leader_refused,
    follower_refused,
    follower_restarts,
    leader_restarts,
    silent_outage,
    refusing_outage,
)


@pytest.mark.parametrize("offset_s", [0.0, 3.7, 9.1])
@pytest.mark.parametrize("n_instances", [3, 6])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda item: item.__name__)
def test_change_arrives_in_time(fault, n_instances, offset_s):
    """An instance that misses a quarantine runs the request again."""
    if n_instances == 3 and fault in (leader_refused, follower_refused):
        observers = slice(1, -1)
    else:
        observers = slice(None)

    async def scenario():
        fleet = Fleet(n_instances)
        await asyncio.sleep(12.0 + offset_s)
        names = await fault(fleet)
        await asyncio.sleep(0.05)
        fleet.store.put("q", "1", SPARSE)
        return await fleet.time_until_seen(names[observers], "q")

    elapsed_ms = run_virtual(scenario())
    assert elapsed_ms is not None
    assert elapsed_ms <= RECOVERY_MS


def test_start_costs_few_calls():
    """Each call is priced: a list, and a watch until the leader is known."""

    async def scenario():
        fleet = Fleet(6)
        await asyncio.sleep(10.0)
        return fleet.store.n_calls_by_kind[SPARSE]

    # The leader goes on watching.
    assert run_virtual(scenario()) <= 2 * 6 + n_watches(10.0)


@pytest.mark.parametrize(
    ("n_instances", "n_calls_max"),
    [
        pytest.param(3, 3 * n_watches(60.0), id="without leaders"),
        pytest.param(6, n_watches(60.0), id="with a leader"),
    ],
)
def test_calm_minute_costs_few_calls(n_instances, n_calls_max):
    """Each call to the store is priced, and the kind is empty."""

    async def scenario():
        fleet = Fleet(n_instances)
        await asyncio.sleep(12.0)
        n_before = fleet.store.n_calls_by_kind[SPARSE]
        await asyncio.sleep(60.0)
        return fleet.store.n_calls_by_kind[SPARSE] - n_before

    assert run_virtual(scenario()) <= n_calls_max


@pytest.mark.parametrize("offset_s", [0.0, 3.7, 9.1])
def test_outage_costs_few_calls(offset_s):
    """Refused calls are priced as well, and the other kinds are retried anyway."""

    async def scenario():
        fleet = Fleet(6)
        await asyncio.sleep(12.0 + offset_s)
        n_before = fleet.store.n_calls_by_kind[SPARSE]
        loop = asyncio.get_running_loop()
        outage = loop.create_task(refusing_outage(fleet))
        await asyncio.sleep(19.9)
        n_at_end = fleet.store.n_calls_by_kind[SPARSE]
        await outage
        await asyncio.sleep(5.0)
        return n_at_end - n_before, fleet.store.n_calls_by_kind[SPARSE] - n_at_end

    n_during, n_after = run_virtual(scenario())
    # An instance whose leader has lost the store finds out for itself.
    assert n_during <= 6
    # Once it is over, each instance lists the objects and starts a watch.
    assert n_after <= 2 * 6 + n_watches(5.0) - 1


def test_first_listing_does_not_wait_for_the_peers():
    """An instance must not serve for seconds without knowledge of the quarantines."""

    async def scenario():
        fleet = Fleet(6)
        await asyncio.sleep(12.0)
        fleet.store.put("q", "1", SPARSE)
        await asyncio.sleep(1.0)
        fleet.feeds.unreachable.update(fleet.names[:3])
        fleet.restart(fleet.names[-1])
        return await fleet.time_until_seen(fleet.names[-1:], "q", 5.0)

    assert run_virtual(scenario()) <= 100.0


def test_start_without_the_store_takes_the_newest_objects_of_the_peers():
    """A peer that has been out of touch answers first, with what it knew then."""

    async def scenario():
        fleet = Fleet(6)
        await asyncio.sleep(12.0)
        stale, starting = fleet.all_names[0], fleet.all_names[-1]
        for task in fleet.instances[stale].tasks:
            task.cancel()
        fleet.store.put("q", "1", SPARSE)
        await asyncio.sleep(1.0)
        fleet.store.refused.update(fleet.names)
        fleet.restart(starting)
        return await fleet.time_until_seen([starting], "q", 0.2)

    assert run_virtual(scenario()) is not None


def test_start_without_the_store_reads_the_objects_of_a_peer():
    """A restart in an outage must not forget what the fleet knows."""

    async def scenario():
        fleet = Fleet(6)
        await asyncio.sleep(12.0)
        fleet.store.put("q", "1", SPARSE)
        await asyncio.sleep(1.0)
        fleet.store.refused.update(fleet.names)
        await asyncio.sleep(2.0)
        fleet.restart(fleet.names[-1])
        return await fleet.time_until_seen(fleet.names[-1:], "q", 5.0)

    assert run_virtual(scenario()) is not None
