"""Drain and quarantine notices over nine instances in virtual time."""

import asyncio
from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest

from chestnuthall.adapters.documents import InstanceModel, encode_instance
from chestnuthall.core.drains import DrainSignal
from chestnuthall.core.model import (
    KeyRange,
    PartitionMap,
    Replica,
    Shard,
    UpstreamGroup,
)
from chestnuthall.core.quarantine import QuarantineRegistry, QuarantineSettings
from chestnuthall.core.results import CONNECTION_REFUSED
from chestnuthall.daemon.tests.virtual_fleet import VirtualFleet
from chestnuthall.ports import PeerDigest, QuarantineNotice
from chestnuthall.services import (
    Directory,
    DrainExchange,
    HealthChecks,
    QuarantineExchange,
)
from chestnuthall.standins.virtual_time import run_virtual

N = 9
GROUP = UpstreamGroup(name="g", n_slots=3, n_connections_max=30, connect_cost_ms=1)
REPLICA = Replica("r0", "10.1.0.0:1", "zone-a")
SHARD = Shard("s0", KeyRange("", ""), 10, (REPLICA,))
BOUND_S = 3.0


class Upstream:
    """Health of the one replica."""

    def __init__(self):
        self.is_draining = False
        self.is_listening = True

    async def check_health(self, group, replica, timeout_ms):
        if not self.is_listening:
            return CONNECTION_REFUSED.with_reason("down")
        return self.is_draining


def make_fleet(upstream, seed=1, n_instances=N):
    def add_parts(instance, clock, listed):
        random = Random(seed)
        directory = Directory(None, None, clock, None, "zone-a", random)
        directory.add_group(GROUP)
        directory.add_map(PartitionMap("g", 1, (SHARD,)))
        membership = instance.membership
        drains = DrainExchange(directory, clock, listed, membership.disseminate_now)
        registry = QuarantineRegistry(QuarantineSettings())
        quarantines = QuarantineExchange(registry, clock, membership.disseminate_now)
        health = HealthChecks(upstream, directory, drains, membership, clock, random)
        membership.add_section(drains)
        membership.add_section(quarantines)
        instance.parts.update(
            clock=clock,
            drains=drains,
            directory=directory,
            router=directory.router("g"),
            registry=registry,
            quarantines=quarantines,
        )
        loop = asyncio.get_running_loop()
        instance.background = [
            loop.create_task(health.run()),
            loop.create_task(quarantines.run()),
        ]

    return VirtualFleet(n_instances, seed, add_parts)


def n_using(fleet):
    """How many instances would send the replica a new call now."""
    return sum(
        item.parts["router"].serves_snapshot(REPLICA, 1, item.parts["clock"].now_ms())
        for item in fleet.instances.values()
    )


def _list(fleet, state):
    entry = InstanceModel(
        name="r0", role="upstream", zone="z", address=REPLICA.address, state=state
    )
    fleet.table.put("instances", "r0", encode_instance(entry), None)


def _by_list(fleet, upstream):
    _list(fleet, "leaving")


def _by_health(fleet, upstream):
    upstream.is_draining = True


def _by_refusal(fleet, upstream):
    upstream.is_listening = False
    fleet.instances["entry-3"].parts["drains"].on_signal("r0", DrainSignal.REFUSED)


def _by_answer(fleet, upstream):
    upstream.is_draining = True
    fleet.instances["entry-3"].parts["drains"].on_signal("r0", DrainSignal.ANSWER)


def _by_operator(fleet, upstream):
    fleet.instances["entry-3"].parts["drains"].on_signal("r0", DrainSignal.OPERATOR)


SIGNALS = {
    "list": (_by_list, BOUND_S),
    # The first signal is a check, which comes every 5 s.
    "health": (_by_health, 5.5 + BOUND_S),
    "refused": (_by_refusal, BOUND_S),
    "answer": (_by_answer, BOUND_S),
    "operator": (_by_operator, BOUND_S),
}


def lose_replica(registry, index, now_ms):
    """Lose a replica to one request; every loss but the first is of its probe."""
    replica = Replica(f"r{index}", "", f"z{index}")
    registry.record_loss("f", replica, "s0", now_ms, now_ms, is_probe=index > 0)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("signal", SIGNALS)
def test_drain_reaches_all_and_lasts(signal, seed):
    """No instance may use a leaving replica 3 s after its first signal, or later."""
    start, bound_s = SIGNALS[signal]

    async def scenario():
        upstream = Upstream()
        fleet = make_fleet(upstream, seed)
        await fleet.settle()
        _list(fleet, "live")
        await asyncio.sleep(1.0)
        assert n_using(fleet) == N
        start(fleet, upstream)
        await asyncio.sleep(bound_s)
        n_late = 0
        for _ in range(900):
            n_late += n_using(fleet)
            await asyncio.sleep(0.1)
        return n_late

    assert run_virtual(scenario()) == 0


def test_urgent_news_does_not_wait_for_probes():
    """At a larger fleet the probes alone would take longer than the bound."""

    async def scenario():
        upstream = Upstream()
        fleet = make_fleet(upstream, n_instances=60)
        await fleet.settle()
        _by_answer(fleet, upstream)
        await asyncio.sleep(0.1)
        return n_using(fleet)

    assert run_virtual(scenario()) <= 3


@pytest.mark.parametrize("signal", ["list", "health", "refused", "answer"])
def test_replica_that_comes_back_is_used(signal):
    """A drain must end everywhere once its cause has ended, without an echo."""
    start, _ = SIGNALS[signal]

    async def scenario():
        upstream = Upstream()
        fleet = make_fleet(upstream)
        await fleet.settle()
        _list(fleet, "live")
        await asyncio.sleep(1.0)
        start(fleet, upstream)
        await asyncio.sleep(60.0)
        assert n_using(fleet) == 0
        upstream.is_draining, upstream.is_listening = False, True
        _list(fleet, "live")
        await asyncio.sleep(8.0)
        first = n_using(fleet)
        await asyncio.sleep(90.0)
        return first, n_using(fleet)

    assert run_virtual(scenario()) == (N, N)


@pytest.mark.parametrize("fault", ["cut", "paused"])
def test_drain_reaches_an_instance_that_missed_it(fault):
    """An instance that missed the first spread must still learn of the drain."""

    async def scenario():
        upstream = Upstream()
        fleet = make_fleet(upstream)
        await fleet.settle()
        missed = fleet.instances["entry-8"]
        others = fleet.addresses([name for name in fleet.instances if name[-1] != "8"])
        if fault == "cut":
            fleet.network.cut_both([missed.address], others)
        else:
            missed.host.pause()
        _by_answer(fleet, upstream)
        await asyncio.sleep(6.0)
        fleet.network.heal()
        missed.host.resume()
        await asyncio.sleep(BOUND_S)
        return n_using(fleet)

    assert run_virtual(scenario()) == 0


def test_quarantine_reaches_all_and_a_lift_is_final():
    """Peers must refuse a crashing request, and an echo must not undo a lift."""

    async def scenario():
        fleet = make_fleet(Upstream())
        await fleet.settle()

        def n_refusing():
            return sum(
                item.parts["quarantines"].is_quarantined("f")
                for item in fleet.instances.values()
            )

        for index in (1, 2):
            parts = fleet.instances[f"entry-{index}"].parts
            now_ms = parts["clock"].now_ms()
            lose_replica(parts["registry"], index, now_ms)
        await asyncio.sleep(BOUND_S)
        n_before = n_refusing()
        # One instance misses the lift and then passes on what it still holds.
        fleet.instances["entry-8"].host.pause()
        await fleet.instances["entry-5"].parts["quarantines"].lift("f")
        await asyncio.sleep(BOUND_S)
        fleet.instances["entry-8"].host.resume()
        await asyncio.sleep(BOUND_S)
        n_after = n_refusing()
        await asyncio.sleep(120.0)
        return n_before, n_after, n_refusing()

    assert run_virtual(scenario()) == (N, 0, 0)


def test_quarantine_ends_without_an_echo():
    """Notices that go round must not prolong a quarantine."""

    async def scenario():
        fleet = make_fleet(Upstream())
        await fleet.settle()
        parts = fleet.instances["entry-1"].parts
        for index in range(2):
            lose_replica(parts["registry"], index, parts["clock"].now_ms())
        await asyncio.sleep(301.0)
        return sum(
            bool(item.parts["quarantines"].suspicions())
            for item in fleet.instances.values()
        )

    assert run_virtual(scenario()) == 0


def test_drain_known_before_its_group():
    """A notice that precedes the configuration must hold for its routers too."""

    async def scenario():
        fleet = make_fleet(Upstream())
        await fleet.settle()
        fleet.instances["entry-1"].parts["drains"].on_signal("r0", DrainSignal.OPERATOR)
        await asyncio.sleep(BOUND_S)
        parts = fleet.instances["entry-2"].parts
        parts["directory"].add_group(replace(GROUP, name="late"))
        await asyncio.sleep(BOUND_S)
        now_ms = parts["clock"].now_ms()
        return parts["directory"].router("late").serves_snapshot(REPLICA, 1, now_ms)

    assert not run_virtual(scenario())


@pytest.mark.parametrize(("sequence", "is_refused"), [(4, False), (6, True)])
def test_only_a_later_loss_follows_a_lift(sequence, is_refused):
    """An old notice that arrives after the lift must change nothing."""
    clock = SimpleNamespace(now_ms=lambda: 0.0, wall_ms=lambda: 0.0)
    exchange = QuarantineExchange(QuarantineRegistry(QuarantineSettings()), clock, None)
    digest = PeerDigest(
        sender="entry-1",
        sender_address="a:1",
        incarnation=1,
        configuration_revision=0,
        configuration_digest="",
        quarantines=(
            QuarantineNotice("f", (), 60_000.0, 5),
            QuarantineNotice("f", ("r1", "r2"), 60_000.0, sequence),
        ),
    )
    exchange.receive(digest)
    assert exchange.is_quarantined("f") is is_refused
