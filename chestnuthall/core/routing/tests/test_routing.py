"""Guards replica choice, the extra-load budget and the connection budget.

The tests fail if calls go to slow, failed or replaced replicas, if failures eject too
many replicas or for too long, or if extra calls or connections exceed their budget.
"""

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


def chosen_names(router, shard, now_ms, n=200, **options):
    found = [router.choose(shard, 1, (), now_ms, **options) for _ in range(n)]
    return {replica.name for replica in found if replica is not None}


@pytest.mark.parametrize(
    ("utilisation_ratio", "is_hedge", "n_extra_max"),
    [
        pytest.param(0.5, True, 0.03 * N_CALLS + 10, id="low-utilisation"),
        pytest.param(0.825, True, 0.015 * N_CALLS + 10, id="reduced-budget"),
        pytest.param(1.0, True, 1, id="saturated-hedges"),
        pytest.param(1.0, False, 0.005 * N_CALLS, id="saturated-retries"),
    ],
)
def test_extra_calls_stay_within_the_budget(utilisation_ratio, is_hedge, n_extra_max):
    """Hedges and retries must not exceed the capacity of upstreams."""
    budget = ExtraLoadBudget(ExtraLoadPolicy())
    n_extra = 0
    for _ in range(N_CALLS // 10):
        budget.record_calls(range(10), utilisation_ratio, 0.0)
        for _ in range(10):
            n_extra += (
                budget.try_acquire_hedge("s", 0.0, 2.0)
                if is_hedge
                else budget.try_acquire_retry("s", 0.0, may_overdraw=True)
            )
    assert n_extra <= n_extra_max


def test_retry_may_overdraw_credit_spent_by_hedges():
    """A retry that saves coverage must still be possible without credit."""
    budget = ExtraLoadBudget(ExtraLoadPolicy())
    while budget.try_acquire_hedge("s", 0.0, 2.0):
        pass
    assert budget.try_acquire_retry("s", 0.0, may_overdraw=True)
    assert not budget.try_acquire_retry("s", 0.0)


@pytest.mark.parametrize(
    ("n_replicas", "n_failing", "n_ejected"),
    [(3, 1, 1), (3, 3, 1), (2, 2, 0), (8, 8, 2), (11, 2, 2)],
)
def test_ejected_fraction_is_limited(n_replicas, n_failing, n_ejected):
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
    ("n_failures", "after_ms", "is_usable_again"),
    [(1, 100.0, False), (1, 201.0, True), (12, 1_900.0, False), (12, 2_001.0, True)],
)
def test_ejection_ends_after_a_short_time(n_failures, after_ms, is_usable_again):
    """A replica that is available again must not stay ejected for long."""
    router, shard, replicas = make_router()
    for _ in range(n_failures):
        fail(router, replicas[0], NO_REPLICA, 0.0)
    assert ("r0" not in router.ejected_names(shard, after_ms)) == is_usable_again


def test_slow_call_in_flight_diverts_other_calls():
    """A slowed replica must be detected before its first late answer."""
    router, shard, replicas = make_router()
    for replica in replicas:
        answer(router, replica, 10.0, 10.0)
    for replica in replicas:
        router.on_started(replica, 10.0)
    assert "r0" in chosen_names(router, shard, 11.0)
    for replica in replicas[1:]:
        router.on_answered(replica, 10.0, ANSWER, 20.0)
        router.on_started(replica, 59.0)
    assert "r0" not in chosen_names(router, shard, 60.0)


def test_cancelled_slow_call_diverts_other_calls():
    """A replica whose late calls are cancelled must not look fast."""
    router, shard, replicas = make_router()
    for i in range(30):
        answer(router, replicas[i % 3], 10.0, 10.0)
    router.on_started(replicas[0], 10.0)
    cancelled = CALL_CANCELLED.with_reason("hedge won")
    router.on_failed(replicas[0], cancelled, 1, 10.0, 30.0)
    assert "r0" not in chosen_names(router, shard, 31.0)
    assert "r0" in chosen_names(router, shard, 10_000.0)


def test_restarted_replica_gets_fewer_calls_at_first():
    """A restarted, cold replica must not get its full load immediately."""
    router, shard, replicas = make_router()
    for replica in replicas:
        answer(router, replica, 10.0, 0.0)
    fail(router, replicas[0], NO_REPLICA, 0.0)
    fail(router, replicas[0], NO_REPLICA, 0.0)
    answer(router, replicas[0], 10.0, 1_000.0)
    assert "r0" not in chosen_names(router, shard, 1_010.0)
    assert "r0" in chosen_names(router, shard, 3_010.0)


def test_hedge_needs_a_free_slot():
    """A hedge must not wait in the queue of a replica."""
    router, shard, replicas = make_router(n_slots=2)
    for replica in replicas[:2]:
        router.on_started(replica, 0.0)
        router.on_started(replica, 0.0)
    assert chosen_names(router, shard, 1.0, needs_free_slot=True) == {"r2"}
    router.on_started(replicas[2], 0.0)
    router.on_started(replicas[2], 0.0)
    assert chosen_names(router, shard, 1.0, needs_free_slot=True) == set()


def test_slowed_replica_does_not_raise_the_hedge_delay():
    """Slowed replicas must not delay hedges."""
    router, _, replicas = make_router()
    for i in range(200):
        answer(router, replicas[i % 2], 10.0, i * 100.0)
        if i % 10 == 0:
            answer(router, replicas[2], 200.0, i * 100.0)
    assert router.hedge_delay_ms() < 20.0


def test_refused_snapshot_does_not_exclude_newer_ones():
    """After a snapshot swap replicas must not stay unused for their former snapshot."""
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
def test_connections_of_all_instances_stay_within_the_cap(seed, n_connections_max):
    """Instances that start and leave must not exhaust an upstream's connections."""
    random = Random(seed)
    budgets = {i: ConnectionBudget(0.0) for i in range(9)}
    now_ms = 0.0
    for step in range(400):
        now_ms += 500.0
        n_alive = len(budgets)
        for budget in budgets.values():
            budget.observe(n_alive, now_ms)
        # An instance of a rolling restart that the others don't know of yet.
        if step % 25 == 24 and n_alive < 12 and random.random() < 0.5:
            budgets[100 + step] = ConnectionBudget(now_ms)
        elif step % 25 == 24 and n_alive > 6:
            del budgets[random.choice(list(budgets))]
        n_each = [item.n_connections(n_connections_max) for item in budgets.values()]
        assert sum(n_each) <= n_connections_max


def test_replaced_replica_gets_no_calls_until_it_registers_again():
    """Calls to an address that another replica uses now would load its service."""
    router, shard, replicas = make_router()
    fail(router, replicas[0], REPLICA_REPLACED, 0.0)
    assert "r0" not in chosen_names(router, shard, 60_000.0)
    router.remove("r0")
    assert "r0" in chosen_names(router, shard, 60_000.0)


# (case, factor, local latency, remote latency, names of the chosen replicas)
ZONE_CASES = [
    ("same latency", 4.0, 10.0, 10.0, {"r0"}),
    ("local replica slightly slower", 4.0, 30.0, 10.0, {"r0"}),
    ("local replica much slower", 4.0, 80.0, 10.0, {"r1", "r2"}),
    ("no cost between zones", 1.0, 30.0, 10.0, {"r1", "r2"}),
]


@pytest.mark.parametrize(
    ("factor", "local_ms", "remote_ms", "names"),
    [case[1:] for case in ZONE_CASES],
    ids=[case[0] for case in ZONE_CASES],
)
def test_slow_local_replica_overrides_zone_preference(
    factor, local_ms, remote_ms, names
):
    """Traffic between zones is costly, but a slow local replica costs more."""
    router, shard, replicas = make_router(
        other_zone_factor=factor, other_zone_cost_ms=0.0
    )
    for i in range(60):
        for replica in replicas:
            latency_ms = local_ms if replica.zone == "z0" else remote_ms
            answer(router, replica, latency_ms, 100.0 * i)
    assert chosen_names(router, shard, 6_000.0) == names


def test_replica_slow_for_one_kind_of_call_is_avoided_by_others():
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
    assert "r0" not in chosen_names(router, shard, 39_300.0, call_type="check")
    assert router.hedge_delay_ms("check") < 15.0 < router.hedge_delay_ms("sweep")


# (case, time between the calls of an instance to the shard)
RARE_CALLS = [("frequent", 50.0), ("rare", 1_500.0)]


@pytest.mark.parametrize(
    "gap_ms", [case[1] for case in RARE_CALLS], ids=[case[0] for case in RARE_CALLS]
)
def test_slow_replica_is_not_called_with_every_query(gap_ms):
    """Guards against a slow replica that is forgotten between two queries.

    An instance of a large fleet calls a shard every one or two seconds, and each of
    these calls would go to the slow replica again.
    """
    router, shard, _ = make_router()
    now_ms = 0.0
    n_slow = 0
    for _ in range(40):
        now_ms += gap_ms
        replica = router.choose(shard, 1, (), now_ms)
        router.on_started(replica, now_ms)
        is_slow = replica.name == "r0" and now_ms > 10 * gap_ms
        n_slow += is_slow
        latency_ms = 250.0 if is_slow else 20.0
        router.on_answered(replica, now_ms, ANSWER, now_ms + latency_ms)
    assert n_slow <= 5


# (case, latencies of the last calls of r0, whether other replicas are used instead)
SLOW_CALLS = [
    ("one slow call, as in a pause", [20.0, 250.0], False),
    ("two slow calls", [20.0, 250.0, 250.0], True),
    ("recovered", [250.0, 250.0, 20.0], False),
]


@pytest.mark.parametrize(
    ("latencies_ms", "is_persistent"),
    [case[1:] for case in SLOW_CALLS],
    ids=[case[0] for case in SLOW_CALLS],
)
def test_persistently_slow_replica_needs_permission(latencies_ms, is_persistent):
    """Guards against a search that tries many slow replicas at the same time."""
    router, shard, replicas = make_router()
    for latency_ms in latencies_ms:
        answer(router, replicas[0], latency_ms, 0.0)
    assert router.is_persistently_slow(replicas[0]) is is_persistent
    names = chosen_names(router, shard, 60_000.0, slow_age_min_ms=60_001.0)
    assert ("r0" not in names) is is_persistent
    names = chosen_names(router, shard, 60_000.0, slow_age_min_ms=59_000.0)
    assert "r0" in names
    assert "r0" in chosen_names(router, shard, 60_000.0)


def test_persistently_slow_replicas_are_used_if_there_is_no_other():
    router, shard, replicas = make_router()
    for replica in replicas:
        answer(router, replica, 20.0, 0.0)
        answer(router, replica, 250.0, 0.0)
        answer(router, replica, 250.0, 0.0)
    replica = router.choose(shard, 1, (), 1_000.0, slow_age_min_ms=float("inf"))
    assert replica is not None


@pytest.mark.parametrize(
    "gap_ms", [case[1] for case in RARE_CALLS], ids=[case[0] for case in RARE_CALLS]
)
def test_replica_that_loses_answers_is_not_called_with_every_query(gap_ms):
    """Guards against a penalty that is over before the next query of an instance."""
    router, shard, _ = make_router(other_zone_factor=4.0)
    now_ms, n_lost = 0.0, 0
    for _ in range(40):
        now_ms += gap_ms
        replica = router.choose(shard, 1, (), now_ms)
        if replica.name == "r0" and now_ms > 10 * gap_ms:
            n_lost += 1
            fail(router, replica, CONNECTION_LOST, now_ms)
        else:
            router.on_started(replica, now_ms)
            router.on_answered(replica, now_ms, ANSWER, now_ms + 20.0)
    assert n_lost <= 10


# (case, replicas that drain with the end of their last resort, retired replicas, time,
# excluded names, names of the chosen replicas)
DRAINS = [
    ("one drains", {"r0": 100.0}, (), 50.0, (), {"r1", "r2"}),
    ("one left", {"r0": 100.0, "r1": 100.0}, (), 50.0, (), {"r2"}),
    ("one left, already called", {"r0": 9e9, "r1": 9e9}, (), 50.0, {"r2"}, set()),
    (
        "all drain",
        {"r0": 100.0, "r1": 100.0, "r2": 40.0},
        (),
        50.0,
        (),
        {"r0", "r1"},
    ),
    ("all drain for long", dict.fromkeys(("r0", "r1", "r2"), 9.0), (), 9.0, (), set()),
    (
        "all drain, one called",
        dict.fromkeys(("r0", "r1", "r2"), 9.0),
        (),
        5.0,
        {"r0"},
        {"r1", "r2"},
    ),
    ("one retired", {}, ("r0",), 1e9, (), {"r1", "r2"}),
    ("all retired", {}, ("r0", "r1", "r2"), 50.0, (), set()),
]


@pytest.mark.parametrize(
    ("drains", "retired", "now_ms", "excluded", "names"),
    [case[1:] for case in DRAINS],
    ids=[case[0] for case in DRAINS],
)
def test_query_in_flight_calls_no_draining_replica(
    drains, retired, now_ms, excluded, names
):
    """A query that pinned its replicas before chose those that had left since."""
    router, shard, _ = make_router(other_zone_factor=1.0, other_zone_cost_ms=0.0)
    for name, last_resort_until_ms in drains.items():
        router.drain_until_removed(name, last_resort_until_ms)
    for name in retired:
        router.retire(name)
    found = [router.choose(shard, 1, excluded, now_ms) for _ in range(200)]
    assert {item.name for item in found if item is not None} == names


def test_retired_replica_that_registers_again_is_called():
    """The state of a removed replica must not outlive its next registration."""
    router, shard, _ = make_router()
    router.retire("r0")
    router.remove("r0")
    assert "r0" in chosen_names(router, shard, 60_000.0)
