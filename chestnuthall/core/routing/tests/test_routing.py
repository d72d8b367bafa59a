"""Guards replica choice, the extra-load budget and the connection budget."""

from random import Random

import pytest

from chestnuthall.core.model import (
    ExtraLoadPolicy,
    KeyRange,
    Replica,
    Shard,
    ShardAnswer,
)
from chestnuthall.core.results import (
    CALL_CANCELLED,
    CONNECTION_LOST,
    NO_REPLICA,
    REPLICA_REPLACED,
    SNAPSHOT_GONE,
)
from chestnuthall.core.routing import (
    ConnectionBudget,
    ExtraLoadBudget,
    Router,
    RouterSettings,
)

N_CALLS = 20_000
ANSWER = ShardAnswer("c", "s", 1, (), 1)


def make_router(n_replicas=3, **settings):
    replicas = tuple(Replica(f"r{i}", f"r{i}", f"z{i}") for i in range(n_replicas))
    shard = Shard("s", KeyRange("", ""), 1, replicas)
    return Router(RouterSettings(zone="z0", **settings), Random(1)), shard, replicas


def answer(router, replica, latency_ms, now_ms):
    router.on_started(replica, now_ms - latency_ms)
    router.on_answered(replica, now_ms - latency_ms, ANSWER, now_ms)


def fail(router, replica, kind, now_ms):
    router.on_started(replica, now_ms)
    router.on_failed(replica, kind.with_reason("x"), 1, now_ms, now_ms)


def chosen(router, shard, now_ms, n=200, **options):
    found = [router.choose(shard, 1, (), now_ms, **options) for _ in range(n)]
    return {replica.name for replica in found if replica is not None}


@pytest.mark.parametrize(
    ("utilisation_ratio", "hedges", "n_extra_max"),
    [
        pytest.param(0.5, True, 0.03 * N_CALLS + 10, id="calm"),
        pytest.param(0.825, True, 0.015 * N_CALLS + 10, id="half-way"),
        pytest.param(1.0, True, 1, id="saturated-hedges"),
        pytest.param(1.0, False, 0.005 * N_CALLS, id="saturated-retries"),
    ],
)
def test_extra_calls_stay_within_the_budget(utilisation_ratio, hedges, n_extra_max):
    """Hedges and retries must not add load that upstreams have no room for."""
    budget = ExtraLoadBudget(ExtraLoadPolicy())
    n_extra = 0
    for _ in range(N_CALLS // 10):
        budget.record_calls(range(10), utilisation_ratio, 0.0)
        for _ in range(10):
            n_extra += (
                budget.try_acquire_hedge("s", 0.0, 2.0)
                if hedges
                else budget.try_acquire_retry("s", 0.0, may_overdraw=True)
            )
    assert n_extra <= n_extra_max


def test_retries_go_before_hedges():
    """Without credit a retry that saves coverage must still be possible."""
    budget = ExtraLoadBudget(ExtraLoadPolicy())
    while budget.try_acquire_hedge("s", 0.0, 2.0):
        pass
    assert budget.try_acquire_retry("s", 0.0, may_overdraw=True)
    assert not budget.try_acquire_retry("s", 0.0)


@pytest.mark.parametrize(
    ("n_replicas", "n_failing", "n_ejected"),
    [(3, 1, 1), (3, 3, 1), (2, 2, 0), (8, 8, 2), (11, 2, 2)],
)
def test_ejection_is_limited(n_replicas, n_failing, n_ejected):
    """Misleading failures must not put a shard's whole load on one replica."""
    router, shard, replicas = make_router(n_replicas)
    for replica in replicas[:n_failing]:
        fail(router, replica, CONNECTION_LOST, 0.0)
    assert len(router.ejected_names(shard, 1.0)) == n_ejected
    used = set()
    for _ in range(4 * n_replicas):
        replica = router.choose(shard, 1, (), 1.0)
        router.on_started(replica, 1.0)
        used.add(replica.name)
    assert len(used) >= 2


@pytest.mark.parametrize(
    ("n_failures", "after_ms", "is_back"),
    [(1, 100.0, False), (1, 201.0, True), (12, 1_900.0, False), (12, 2_001.0, True)],
)
def test_ejected_replica_returns_quickly(n_failures, after_ms, is_back):
    """A replica that is back must not stay out for long."""
    router, shard, replicas = make_router()
    for _ in range(n_failures):
        fail(router, replicas[0], NO_REPLICA, 0.0)
    assert ("r0" not in router.ejected_names(shard, after_ms)) == is_back


def test_slow_call_in_flight_keeps_others_away():
    """A slowed replica must be noticed before its first late answer."""
    router, shard, replicas = make_router()
    for replica in replicas:
        answer(router, replica, 10.0, 10.0)
    for replica in replicas:
        router.on_started(replica, 10.0)
    assert "r0" in chosen(router, shard, 11.0)
    for replica in replicas[1:]:
        router.on_answered(replica, 10.0, ANSWER, 20.0)
        router.on_started(replica, 59.0)
    assert "r0" not in chosen(router, shard, 60.0)


def test_cancelled_slow_call_keeps_others_away():
    """A replica whose late calls are cancelled must not look fast."""
    router, shard, replicas = make_router()
    for i in range(30):
        answer(router, replicas[i % 3], 10.0, 10.0)
    router.on_started(replicas[0], 10.0)
    cancelled = CALL_CANCELLED.with_reason("hedge won")
    router.on_failed(replicas[0], cancelled, 1, 10.0, 30.0)
    assert "r0" not in chosen(router, shard, 31.0)
    assert "r0" in chosen(router, shard, 10_000.0)


def test_restarted_replica_gets_less_at_first():
    """A replica that is back but cold must not get its whole load at once."""
    router, shard, replicas = make_router()
    for replica in replicas:
        answer(router, replica, 10.0, 0.0)
    fail(router, replicas[0], NO_REPLICA, 0.0)
    fail(router, replicas[0], NO_REPLICA, 0.0)
    answer(router, replicas[0], 10.0, 1_000.0)
    assert "r0" not in chosen(router, shard, 1_010.0)
    assert "r0" in chosen(router, shard, 3_010.0)


def test_hedge_needs_a_free_slot():
    """A hedge must not join a queue."""
    router, shard, replicas = make_router(n_slots=2)
    for replica in replicas[:2]:
        router.on_started(replica, 0.0)
        router.on_started(replica, 0.0)
    assert chosen(router, shard, 1.0, needs_free_slot=True) == {"r2"}
    router.on_started(replicas[2], 0.0)
    router.on_started(replicas[2], 0.0)
    assert chosen(router, shard, 1.0, needs_free_slot=True) == set()


def test_slowed_replicas_do_not_raise_the_hedge_delay():
    """Hedges must not come late when replicas are slowed."""
    router, _, replicas = make_router()
    for i in range(200):
        answer(router, replicas[i % 2], 10.0, i * 100.0)
        if i % 10 == 0:
            answer(router, replicas[2], 200.0, i * 100.0)
    assert router.hedge_delay_ms() < 20.0


def test_replica_may_be_tried_for_a_newer_snapshot_after_a_refusal():
    """A swap must not leave replicas unused because of what they held before."""
    router, _, (replica, *_) = make_router()
    held = ShardAnswer("c", "s", 1, (), 1, held_snapshots=(1,))
    router.on_started(replica, 0.0)
    router.on_answered(replica, 0.0, held, 1.0)
    assert not router.may_call(replica, 2, 2.0)
    fail(router, replica, SNAPSHOT_GONE, 3.0)
    assert router.may_call(replica, 2, 4.0)
    assert not router.may_call(replica, 1, 4.0)
    assert router.may_call(replica, 1, 3_000.0)


@pytest.mark.parametrize("n_connections_max", [30, 35, 110])
@pytest.mark.parametrize("seed", range(3))
def test_connections_never_pass_the_cap(seed, n_connections_max):
    """Instances that start and leave must not exhaust an upstream's connections."""
    random = Random(seed)
    shares = {i: ConnectionBudget(0.0) for i in range(9)}
    now_ms = 0.0
    for step in range(400):
        now_ms += 500.0
        n_alive = len(shares)
        for share in shares.values():
            share.observe(n_alive, now_ms)
        # One instance of a rolling restart starts before the others see it.
        if step % 25 == 24 and n_alive < 12 and random.random() < 0.5:
            shares[100 + step] = ConnectionBudget(now_ms)
        elif step % 25 == 24 and n_alive > 6:
            del shares[random.choice(list(shares))]
        budgets = [share.n_connections(n_connections_max) for share in shares.values()]
        assert sum(budgets) <= n_connections_max


def test_replaced_replica_gets_no_calls_until_it_registers_anew():
    """Calls to an address with a new holder count as load of its service."""
    router, shard, replicas = make_router()
    fail(router, replicas[0], REPLICA_REPLACED, 0.0)
    assert "r0" not in chosen(router, shard, 60_000.0)
    router.remove("r0")
    assert "r0" in chosen(router, shard, 60_000.0)


# (case, factor, local latency, remote latency, replicas chosen)
ZONES = [
    ("same latency", 4.0, 10.0, 10.0, {"r0"}),
    ("local one a little slower", 4.0, 30.0, 10.0, {"r0"}),
    ("local one much slower", 4.0, 80.0, 10.0, {"r1", "r2"}),
    ("zones cost nothing", 1.0, 30.0, 10.0, {"r1", "r2"}),
]


@pytest.mark.parametrize(
    ("factor", "local_ms", "remote_ms", "names"),
    [case[1:] for case in ZONES],
    ids=[case[0] for case in ZONES],
)
def test_zone_preference_gives_way_to_slowness(factor, local_ms, remote_ms, names):
    """Bytes between zones are dear, but a slow local replica is dearer."""
    router, shard, replicas = make_router(
        other_zone_factor=factor, other_zone_cost_ms=0.0
    )
    for i in range(60):
        for replica in replicas:
            latency_ms = local_ms if replica.zone == "z0" else remote_ms
            answer(router, replica, latency_ms, 100.0 * i)
    assert chosen(router, shard, 6_000.0) == names


def test_slow_replica_found_by_one_kind_of_work_is_known_to_others():
    router, shard, replicas = make_router()
    for i in range(40):
        for replica in replicas:
            slow = 8.0 if replica is replicas[0] and i > 30 else 1.0
            started_ms = 1_000.0 * i
            router.on_started(replica, started_ms, "sweep")
            router.on_answered(
                replica, started_ms, ANSWER, started_ms + 30.0 * slow, call_type="sweep"
            )
            if i <= 30:
                router.on_started(replica, started_ms, "check")
                router.on_answered(
                    replica, started_ms, ANSWER, started_ms + 10.0, call_type="check"
                )
    assert "r0" not in chosen(router, shard, 39_300.0, call_type="check")
    assert router.hedge_delay_ms("check") < 15.0 < router.hedge_delay_ms("sweep")
