"""Tests of drain and quarantine notices between instances, in virtual time.

Guards against notices that reach some instance late or never, and against old
notices that circulate among peers and restore a drain or quarantine that has ended.
"""

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
    OwnerRetests,
    QuarantineExchange,
)
from chestnuthall.standins.virtual_time import run_virtual

N_INSTANCES = 9
GROUP = UpstreamGroup(name="g", n_slots=3, n_connections_max=30, connect_cost_ms=1)
REPLICA = Replica("r0", "10.1.0.0:1", "zone-a")
SHARD = Shard("s0", KeyRange("", ""), 10, (REPLICA,))
PROPAGATION_LIMIT_S = 3.0


class Upstream:
    """Fake upstream with one replica, whose health the test sets."""

    def __init__(self):
        self.is_draining = False
        self.is_listening = True

    async def check_health(self, group, replica, timeout_ms):
        if not self.is_listening:
            return CONNECTION_REFUSED.with_reason("not listening")
        return self.is_draining


def make_fleet(upstream, seed=1, n_instances=N_INSTANCES):
    def add_services(instance, clock, listed):
        random = Random(seed)
        directory = Directory(None, None, clock, None, "zone-a", random)
        directory.add_group(GROUP)
        directory.add_map(PartitionMap("g", 1, (SHARD,)))
        membership = instance.membership
        drains = DrainExchange(directory, clock, listed, membership.disseminate_now)
        quarantine_registry = QuarantineRegistry(QuarantineSettings())
        quarantines = QuarantineExchange(
            quarantine_registry,
            clock,
            membership.disseminate_now,
            shard_of=directory.shard_of,
        )
        health = HealthChecks(upstream, directory, drains, membership, clock, random)
        membership.add_section(drains)
        membership.add_section(quarantines)
        instance.services.update(
            clock=clock,
            drains=drains,
            directory=directory,
            router=directory.router("g"),
            quarantine_registry=quarantine_registry,
            quarantines=quarantines,
        )
        loop = asyncio.get_running_loop()
        instance.background = [
            loop.create_task(health.run()),
            loop.create_task(quarantines.run()),
        ]

    return VirtualFleet(n_instances, seed, add_services)


def n_using_replica(fleet):
    """Count the instances that would send the replica a new call now."""
    return sum(
        item.services["router"].serves_snapshot(
            REPLICA, 1, item.services["clock"].now_ms()
        )
        for item in fleet.instances.values()
    )


def _list_replica(fleet, state):
    entry = InstanceModel(
        name="r0", role="upstream", zone="z", address=REPLICA.address, state=state
    )
    fleet.table.put("instances", "r0", encode_instance(entry), None)


def _drain_by_list(fleet, upstream):
    _list_replica(fleet, "leaving")


def _drain_by_health_check(fleet, upstream):
    upstream.is_draining = True


def _drain_by_refused_connection(fleet, upstream):
    upstream.is_listening = False
    fleet.instances["entry-3"].services["drains"].on_signal("r0", DrainSignal.REFUSED)


def _drain_by_answer(fleet, upstream):
    upstream.is_draining = True
    fleet.instances["entry-3"].services["drains"].on_signal("r0", DrainSignal.ANSWER)


def _drain_by_operator(fleet, upstream):
    fleet.instances["entry-3"].services["drains"].on_signal("r0", DrainSignal.OPERATOR)


SIGNALS = {
    "list": (_drain_by_list, PROPAGATION_LIMIT_S),
    # The drain is detected by a health check, which runs every 5 s.
    "health": (_drain_by_health_check, 5.5 + PROPAGATION_LIMIT_S),
    "refused": (_drain_by_refused_connection, PROPAGATION_LIMIT_S),
    "answer": (_drain_by_answer, PROPAGATION_LIMIT_S),
    "operator": (_drain_by_operator, PROPAGATION_LIMIT_S),
}


def record_replica_loss(quarantine_registry, index, now_ms, fingerprint="f"):
    """Record a replica lost to a request; all but the first are losses of a probe."""
    replica = Replica(f"r{index}", "", f"z{index}")
    quarantine_registry.record_loss(
        fingerprint, replica, "s0", now_ms, now_ms, is_probe=index > 0
    )


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("signal", SIGNALS)
def test_drain_reaches_all_instances_and_persists(signal, seed):
    """No instance may use a draining replica later than 3 s after the first signal."""
    start_drain, limit_s = SIGNALS[signal]

    async def scenario():
        upstream = Upstream()
        fleet = make_fleet(upstream, seed)
        await fleet.wait_until_converged()
        _list_replica(fleet, "live")
        await asyncio.sleep(1.0)
        assert n_using_replica(fleet) == N_INSTANCES
        start_drain(fleet, upstream)
        await asyncio.sleep(limit_s)
        n_late = 0
        for _ in range(900):
            n_late += n_using_replica(fleet)
            await asyncio.sleep(0.1)
        return n_late

    assert run_virtual(scenario()) == 0


def test_drain_notice_does_not_wait_for_probes():
    """Notices must be sent at once: in a large fleet the probes alone are too slow."""

    async def scenario():
        upstream = Upstream()
        fleet = make_fleet(upstream, n_instances=60)
        await fleet.wait_until_converged()
        _drain_by_answer(fleet, upstream)
        await asyncio.sleep(0.1)
        return n_using_replica(fleet)

    assert run_virtual(scenario()) <= 3


@pytest.mark.parametrize("signal", ["list", "health", "refused", "answer"])
def test_recovered_replica_is_used_again(signal):
    """A drain must end everywhere after its cause ended, and not be restored."""
    start_drain, _ = SIGNALS[signal]

    async def scenario():
        upstream = Upstream()
        fleet = make_fleet(upstream)
        await fleet.wait_until_converged()
        _list_replica(fleet, "live")
        await asyncio.sleep(1.0)
        start_drain(fleet, upstream)
        await asyncio.sleep(60.0)
        assert n_using_replica(fleet) == 0
        upstream.is_draining, upstream.is_listening = False, True
        _list_replica(fleet, "live")
        await asyncio.sleep(8.0)
        n_after_recovery = n_using_replica(fleet)
        await asyncio.sleep(90.0)
        return n_after_recovery, n_using_replica(fleet)

    assert run_virtual(scenario()) == (N_INSTANCES, N_INSTANCES)


@pytest.mark.parametrize("fault", ["cut", "paused"])
def test_drain_reaches_an_instance_that_missed_it(fault):
    """An instance that missed the first notice must still receive the drain."""

    async def scenario():
        upstream = Upstream()
        fleet = make_fleet(upstream)
        await fleet.wait_until_converged()
        missed = fleet.instances["entry-8"]
        others = fleet.addresses([name for name in fleet.instances if name[-1] != "8"])
        if fault == "cut":
            fleet.network.drop_messages_both_ways([missed.address], others)
        else:
            missed.host.pause()
        _drain_by_answer(fleet, upstream)
        await asyncio.sleep(6.0)
        fleet.network.restore_messages()
        missed.host.resume()
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        return n_using_replica(fleet)

    assert run_virtual(scenario()) == 0


def test_quarantine_reaches_all_instances_and_lift_is_final():
    """Peers must refuse a crashing request; old notices must not undo a lift."""

    async def scenario():
        fleet = make_fleet(Upstream())
        await fleet.wait_until_converged()

        def n_refusing():
            return sum(
                item.services["quarantines"].is_quarantined("f")
                for item in fleet.instances.values()
            )

        for index in (1, 2):
            services = fleet.instances[f"entry-{index}"].services
            now_ms = services["clock"].now_ms()
            record_replica_loss(services["quarantine_registry"], index, now_ms)
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        n_before = n_refusing()
        # This instance misses the lift and then sends its outdated quarantine.
        fleet.instances["entry-8"].host.pause()
        await fleet.instances["entry-5"].services["quarantines"].lift("f")
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        fleet.instances["entry-8"].host.resume()
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        n_after = n_refusing()
        await asyncio.sleep(120.0)
        return n_before, n_after, n_refusing()

    assert run_virtual(scenario()) == (N_INSTANCES, 0, 0)


async def make_fleet_with_quarantine():
    """Return a fleet in which one instance has just quarantined a request."""
    fleet = make_fleet(Upstream())
    await fleet.wait_until_converged()
    services = fleet.instances["entry-1"].services
    for index in range(2):
        record_replica_loss(
            services["quarantine_registry"], index, services["clock"].now_ms()
        )
    return fleet, services


def n_refusing(fleet):
    return sum(
        item.services["quarantines"].is_quarantined("f")
        for item in fleet.instances.values()
    )


@pytest.mark.parametrize("fault", ["cut", "restarted"])
@pytest.mark.parametrize("is_lifted", [False, True], ids=["quarantine", "lift"])
def test_quarantine_reaches_an_instance_that_missed_it_for_minutes(fault, is_lifted):
    """An instance that returns late must not run the request, nor restore a lift."""

    async def scenario():
        fleet, services = await make_fleet_with_quarantine()
        if is_lifted:
            await asyncio.sleep(PROPAGATION_LIMIT_S)
        missed = fleet.instances["entry-8"]
        others = fleet.addresses([name for name in fleet.instances if name[-1] != "8"])
        if fault == "cut":
            fleet.network.drop_messages_both_ways([missed.address], others)
        else:
            fleet.kill("entry-8")
        if is_lifted:
            await services["quarantines"].lift("f")
        await asyncio.sleep(120.0)
        if fault == "cut":
            fleet.network.restore_messages()
        else:
            fleet.start("entry-8")
        await asyncio.sleep(30.0)
        return n_refusing(fleet)

    assert run_virtual(scenario()) == (0 if is_lifted else N_INSTANCES)


@pytest.mark.parametrize("n_quarantined", [1, 6])
def test_instance_that_starts_knows_the_quarantines_before_it_serves(n_quarantined):
    """It must not run each quarantined request until some peer has told it."""

    async def scenario():
        fleet = make_fleet(Upstream())
        await fleet.wait_until_converged()
        for number in range(n_quarantined):
            services = fleet.instances[f"entry-{number}"].services
            registry, now_ms = (
                services["quarantine_registry"],
                services["clock"].now_ms(),
            )
            for index in range(2):
                record_replica_loss(registry, index, now_ms, f"f{number}")
        await asyncio.sleep(120.0)
        fleet.kill("entry-8")
        await asyncio.sleep(60.0)
        fleet.start("entry-8")
        quarantines = fleet.instances["entry-8"].services["quarantines"]
        was_serving = quarantines.may_serve()
        elapsed_ms = 0
        while not quarantines.may_serve() and elapsed_ms < 2_000:
            await asyncio.sleep(0.01)
            elapsed_ms += 10
        known = [quarantines.is_quarantined(f"f{x}") for x in range(n_quarantined)]
        return was_serving, elapsed_ms, known

    was_serving, elapsed_ms, known = run_virtual(scenario())
    assert not was_serving
    assert elapsed_ms < 1_000
    assert all(known)


def test_instance_without_peers_serves_in_time():
    async def scenario():
        fleet = make_fleet(Upstream(), n_instances=1)
        quarantines = fleet.instances["entry-0"].services["quarantines"]
        await asyncio.sleep(1.6)
        return quarantines.may_serve()

    assert run_virtual(scenario())


def test_answer_of_another_shard_does_not_lift_a_suspicion_of_a_peer():
    """A request that crashes one shard would be called harmless by each instance."""

    async def scenario():
        fleet = make_fleet(Upstream())
        await fleet.wait_until_converged()
        services = fleet.instances["entry-1"].services
        record_replica_loss(
            services["quarantine_registry"], 0, services["clock"].now_ms()
        )
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        peer = fleet.instances["entry-2"].services
        now_ms = peer["clock"].now_ms()
        peer["quarantine_registry"].on_probe_answered("f", "other", now_ms)
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        return [
            item.services["quarantine_registry"].is_suspected(
                "f", item.services["clock"].now_ms()
            )
            for item in fleet.instances.values()
        ]

    assert all(run_virtual(scenario()))


def test_only_one_instance_runs_the_retest_of_a_request():
    """Nine retests at once would crash nine replicas."""

    async def scenario():
        fleet, _ = await make_fleet_with_quarantine()
        await asyncio.sleep(301.0)
        return [
            await OwnerRetests(
                item.services["quarantine_registry"],
                item.services["clock"],
                item.name,
                lambda item=item: (x.name for x in item.membership.members()),
            ).claim("f")
            for item in fleet.instances.values()
        ]

    assert sum(run_virtual(scenario())) == 1


def test_repeated_notices_do_not_prolong_a_quarantine():
    """The retest must be due on time although the notices keep circulating."""

    async def scenario():
        fleet, _ = await make_fleet_with_quarantine()
        n_due = []
        for duration_s in (299.0, 2.0):
            await asyncio.sleep(duration_s)
            n_due.append(
                sum(
                    item.services["quarantine_registry"].is_retest_due(
                        "f", item.services["clock"].now_ms()
                    )
                    for item in fleet.instances.values()
                )
            )
        return n_due

    assert run_virtual(scenario()) == [0, N_INSTANCES]


def test_drain_notice_before_its_group_is_known():
    """A notice received before its group is configured must apply to the group."""

    async def scenario():
        fleet = make_fleet(Upstream())
        await fleet.wait_until_converged()
        fleet.instances["entry-1"].services["drains"].on_signal(
            "r0", DrainSignal.OPERATOR
        )
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        services = fleet.instances["entry-2"].services
        services["directory"].add_group(replace(GROUP, name="late"))
        await asyncio.sleep(PROPAGATION_LIMIT_S)
        now_ms = services["clock"].now_ms()
        return services["directory"].router("late").serves_snapshot(REPLICA, 1, now_ms)

    assert not run_virtual(scenario())


@pytest.mark.parametrize(("sequence", "is_refused"), [(4, False), (6, True)])
def test_only_a_notice_newer_than_the_lift_applies(sequence, is_refused):
    """A notice that is older than the lift and arrives after it must be ignored."""
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
