"""Tests that no instance uses a replica for longer than ``drain_ms`` after its leave.

Guards against news that reach the instances of a zone late because their leader stands
still or is cut off from the store: replicas that had left silently were called until
they exited.
"""

import asyncio
from random import Random

import pytest

from chestnuthall.core.configuration import (
    FeedTiming,
    LeaderSelector,
    safe_watch_timeout_ms,
    watch_margin_ms,
)
from chestnuthall.core.model import Replica, UpstreamGroup
from chestnuthall.core.registry import Registration, ReplicaRegistry
from chestnuthall.core.routing import RouterSettings
from chestnuthall.services import InstanceEntry, ServiceDirectory, SharedObjectStore
from chestnuthall.services._service_directory import REGISTRATION_KIND
from chestnuthall.services.tests._harness import LoopTimeClock
from chestnuthall.services.tests.test_shared_store import Feeds, Store
from chestnuthall.standins.virtual_time import run_virtual

GRACE_PERIOD_MS = 2_200.0
SETTLE_MS = 4_000.0
WATCH_TIMEOUT_MS = safe_watch_timeout_ms(SETTLE_MS)
LEAVER = "r0"
N_BURST = 6


class Connections:
    """Connections to replicas, which are not opened here."""

    def open_connections(self, replica, shard_id):
        pass

    def close_connections(self, address):
        pass

    def reject_waiting(self, address):
        pass


def read_registration(stored):
    replica = Replica(stored.name, f"{stored.name}:1", "z", 1, 3)
    return Registration(replica, "s", is_draining=stored.value == "draining")


class Zone:
    """Instances of one zone with their directories, in the order of the leaders."""

    def __init__(self, drain_ms, n_instances, n_replicas, watch_timeout_ms):
        self.drain_ms = drain_ms
        self.watch_timeout_ms = watch_timeout_ms
        self.timing = FeedTiming(drain_ms, SETTLE_MS)
        self.clock = LoopTimeClock()
        self.store = Store()
        self.store.watch_margin_ms = watch_margin_ms(SETTLE_MS)
        self.feeds = Feeds(self.timing)
        names = [f"entry-{i}" for i in range(n_instances)]
        selectors = {name: LeaderSelector(name) for name in names}
        for selector in selectors.values():
            selector.leader(names, 0.0)
        self.names = sorted(names, key=lambda name: selectors[name].position)
        self.entries = [InstanceEntry(name, name, "z") for name in names]
        for index in range(n_replicas):
            self.store.put(f"r{index}", "ready", REGISTRATION_KIND)
        self.directories = {name: self.make_directory(name) for name in self.names}
        self.tasks = {
            name: asyncio.ensure_future(directory.run())
            for name, directory in self.directories.items()
        }

    def make_directory(self, name):
        shared = self.feeds.stores[name] = SharedObjectStore(
            self.store.client_of(name),
            self.clock,
            self.feeds,
            (REGISTRATION_KIND,),
            self.timing,
            LeaderSelector(name),
            lambda: [item for item in self.entries if item.name != name],
        )
        directory = ServiceDirectory(
            shared,
            Connections(),
            self.clock,
            read_registration,
            ReplicaRegistry(GRACE_PERIOD_MS, self.drain_ms),
            RouterSettings(zone="z"),
            Random(1),
            self.watch_timeout_ms,
            self.timing.burst_delay_ms,
            lambda: shared.made_after_ms(REGISTRATION_KIND),
        )
        directory.add_group(
            UpstreamGroup(
                name="g",
                n_slots=3,
                n_connections_max=31,
                connect_cost_ms=0.0,
                shard_ids=("s",),
            )
        )
        return directory

    def uses(self, name):
        """Return whether an instance may send calls to the replica that left."""
        (shard,) = self.directories[name].pin("g").shards
        return any(item.name == LEAVER for item in shard.replicas)

    async def wait_until_unused(self, names):
        """Return the time until none of some instances uses the replica."""
        started_ms = self.clock.now_ms()
        while any(self.uses(name) for name in names):
            if self.clock.now_ms() > started_ms + 30_000.0:
                return float("inf")
            await asyncio.sleep(0.005)
        return self.clock.now_ms() - started_ms


def no_fault(zone):
    """Return no instances that are disturbed."""
    return []


def freeze(n_frozen):
    def inject(zone):
        names = zone.names[:n_frozen]
        zone.feeds.unresponsive.update(names)
        for name in names:
            zone.tasks[name].cancel()
        return names

    return inject


def freeze_briefly(zone):
    """Let the leader stand still for a little less than its followers wait."""
    timing = zone.timing
    leader = zone.names[0]
    zone.feeds.unresponsive.add(leader)
    wait_ms = 0.9 * (timing.leader_watch_timeout_ms + timing.leader_margin_ms)
    loop = asyncio.get_running_loop()
    loop.call_later(wait_ms / 1000.0, zone.feeds.unresponsive.discard, leader)
    return [leader]


def silence_store(n_silenced):
    def inject(zone):
        names = zone.names[:n_silenced]
        zone.store.unresponsive.update(names)
        zone.store.unanswered_watches.update((x, REGISTRATION_KIND) for x in names)
        zone.store.wake()
        return names

    return inject


def refuse_leader(zone):
    zone.store.refused.add(zone.names[0])
    return zone.names[:1]


def freeze_and_silence(zone):
    """Freeze the leader and cut the next one off from the store."""
    names = freeze(1)(zone)
    zone.store.unresponsive.add(zone.names[1])
    return [*names, zone.names[1]]


def make_unreachable(zone):
    zone.feeds.unreachable.update(zone.names[:2])
    return zone.names[:2]


# (case, fault right before the leave, which returns the disturbed instances)
FAULTS = [
    ("none", no_fault),
    ("leader frozen", freeze(1)),
    ("two leaders frozen", freeze(2)),
    ("all leaders frozen", freeze(3)),
    ("leader frozen briefly", freeze_briefly),
    ("store silent to the leader", silence_store(1)),
    ("store silent to all leaders", silence_store(3)),
    ("store refuses the leader", refuse_leader),
    ("leader frozen, next one without the store", freeze_and_silence),
    ("two leaders unreachable", make_unreachable),
]
# (case, the leave)
LEAVES = [
    ("entry removed", lambda zone: zone.store.remove(LEAVER)),
    (
        "entry draining",
        lambda zone: zone.store.put(LEAVER, "draining", REGISTRATION_KIND),
    ),
]
DRAINS_MS = [500.0, 1_000.0, 2_000.0, 3_000.0, 5_000.0, 6_000.0, 10_000.0]


async def start_zone(
    drain_ms, n_instances, offset, n_replicas=2, watch_timeout_ms=WATCH_TIMEOUT_MS
):
    """Return a zone that has run for a while, at some phase of its watches."""
    zone = Zone(drain_ms, n_instances, n_replicas, watch_timeout_ms)
    await asyncio.sleep(6.0 + offset * zone.timing.watch_timeout_ms / 1000.0)
    return zone


@pytest.mark.parametrize("offset", [0.05, 0.55, 0.95])
@pytest.mark.parametrize("n_instances", [2, 5, 12])
@pytest.mark.parametrize("drain_ms", DRAINS_MS)
@pytest.mark.parametrize("leave", [x[1] for x in LEAVES], ids=[x[0] for x in LEAVES])
@pytest.mark.parametrize("fault", [x[1] for x in FAULTS], ids=[x[0] for x in FAULTS])
def test_leave_is_known_within_the_drain_time(
    fault, leave, drain_ms, n_instances, offset
):
    """The time must hold for each bound and size of a zone that a site may have."""

    async def scenario():
        zone = await start_zone(drain_ms, n_instances, offset)
        disturbed = fault(zone)
        await asyncio.sleep(0.02 * drain_ms / 1000.0)
        leave(zone)
        return await zone.wait_until_unused(
            [name for name in zone.names if name not in disturbed]
        )

    assert run_virtual(scenario()) <= drain_ms


@pytest.mark.parametrize("offset", [0.05, 0.55, 0.95])
@pytest.mark.parametrize("drain_ms", DRAINS_MS)
@pytest.mark.parametrize("fault", [x[1] for x in FAULTS], ids=[x[0] for x in FAULTS])
def test_last_replica_that_drains_is_not_used_for_longer(fault, drain_ms, offset):
    """A draining replica is used as a last resort if its service has no other one."""

    async def scenario():
        zone = await start_zone(drain_ms, 6, offset, n_replicas=1)
        disturbed = fault(zone)
        zone.store.put(LEAVER, "draining", REGISTRATION_KIND)
        return await zone.wait_until_unused(
            [name for name in zone.names if name not in disturbed]
        )

    assert run_virtual(scenario()) <= drain_ms


@pytest.mark.parametrize("offset", [0.05, 0.55])
@pytest.mark.parametrize("drain_ms", [3_000.0, 5_000.0, 6_000.0])
@pytest.mark.parametrize("n_instances", [2, 6])
def test_leave_during_a_burst_of_changes_is_known_in_time(
    n_instances, drain_ms, offset
):
    """The watch after a burst is delayed, at the leader and at its followers."""

    async def scenario():
        zone = await start_zone(drain_ms, n_instances, offset)
        for index in range(N_BURST):
            zone.store.put(f"new-{index}", "ready", REGISTRATION_KIND)
        await asyncio.sleep(0.05)
        zone.store.remove(LEAVER)
        return await zone.wait_until_unused(zone.names)

    assert run_virtual(scenario()) <= drain_ms


# An entry expires after three heartbeats, so that a shorter outage expires none.
@pytest.mark.parametrize("outage_s", [2.5, 3.2, 4.0, 9.0])
@pytest.mark.parametrize("drain_ms", [3_000.0, 5_000.0, 6_000.0])
@pytest.mark.parametrize("n_instances", [2, 6])
def test_replica_whose_entry_lapsed_in_an_outage_stays_in_use(
    n_instances, drain_ms, outage_s
):
    """Entries that expired while the store was silent are back within 2 s."""

    async def scenario():
        zone = await start_zone(drain_ms, n_instances, 0.3)
        silence_store(n_instances)(zone)
        await asyncio.sleep(0.9 * outage_s)
        zone.store.remove(LEAVER)
        await asyncio.sleep(0.1 * outage_s)
        zone.store.unresponsive.clear()
        lost = set()
        for _ in range(200):
            lost |= {name for name in zone.names if not zone.uses(name)}
            await asyncio.sleep(0.01)
        zone.store.put(LEAVER, "ready", REGISTRATION_KIND)
        await asyncio.sleep(SETTLE_MS / 1000.0)
        return lost, {name for name in zone.names if not zone.uses(name)}

    lost, lost_later = run_virtual(scenario())
    assert not lost
    assert not lost_later
