"""Guards the limit, its average use and the division of slots over instances."""

import pytest

from chestnuthall.core.admission import (
    AdaptiveLimit,
    DemandHistory,
    InstanceDemand,
    UsageLedger,
    UsageReport,
    demand_fraction,
)
from chestnuthall.core.admission._capacity import Capacity
from chestnuthall.core.admission._limit import RATIO_MAX, RATIO_MIN
from chestnuthall.core.admission._tickets import ClassQueue
from chestnuthall.core.model import CallerClass


@pytest.mark.parametrize("limit_cost", [1.5, 4.0, 10.0, 13.3, 90.0])
def test_running_cost_averages_the_limit(limit_cost):
    """Fails when a part of less than a query is rounded up, or left unused."""
    capacity = Capacity(limit_cost)
    ends, used_cost_ms, n_ms = [], 0.0, 20_000
    for now_ms in range(n_ms):
        capacity.advance(float(now_ms))
        for _ in [at_ms for at_ms in ends if at_ms <= now_ms]:
            capacity.release("search", 10.0)
        ends = [at_ms for at_ms in ends if at_ms > now_ms]
        while capacity.has_capacity(10.0):
            capacity.acquire("search", 10.0)
            ends.append(now_ms + 30)
        used_cost_ms += capacity.running_cost
    assert used_cost_ms / n_ms == pytest.approx(limit_cost, rel=0.05)


def test_a_saved_burst_is_bounded():
    """Fails when an idle instance could start more than its saved room."""
    capacity = Capacity(10.0)
    capacity.advance(60_000.0)
    n_started = 0
    while capacity.has_capacity(10.0):
        capacity.acquire("search", 10.0)
        n_started += 1
    assert n_started == 5


def adapt(limit, n_intervals, latencies_ms, sheds=(), utilisation_ratio=1.0):
    ratios = []
    for _ in range(n_intervals):
        for name, latency_ms in latencies_ms.items():
            for _ in range(3):
                limit.observe_answer(name, latency_ms)
        for name in sheds:
            limit.observe_shed(name)
        ratios.append(limit.adapt(utilisation_ratio))
    return ratios


NAMES = [f"r{i}" for i in range(9)]
CALM = dict.fromkeys(NAMES, 20.0)
SLOW = dict.fromkeys(NAMES, 200.0)
LIMITS = {
    "calm_latency_keeps_the_limit": (CALM, (), 0.99 * RATIO_MAX, RATIO_MAX),
    "one_slow_replica_does_not_lower_it": (
        {**CALM, "r0": 900.0},
        (),
        0.99 * RATIO_MAX,
        RATIO_MAX,
    ),
    "one_shedding_replica_does_not_lower_it": (
        CALM,
        ("r0",),
        0.99 * RATIO_MAX,
        RATIO_MAX,
    ),
    "slowness_of_all_lowers_it": (SLOW, (), RATIO_MIN, 0.2 * RATIO_MAX),
    "sheds_of_many_lower_it": (CALM, NAMES[:5], RATIO_MIN, 0.9),
}


@pytest.mark.parametrize(
    ("latencies_ms", "sheds", "least", "most"), LIMITS.values(), ids=LIMITS.keys()
)
def test_limit_within_two_seconds(latencies_ms, sheds, least, most):
    """Fails when the limit collapses for one replica, or ignores all of them."""
    limit = AdaptiveLimit()
    assert limit.ratio == 1.0
    adapt(limit, 20, CALM, utilisation_ratio=0.3)
    ratio = adapt(limit, 8, latencies_ms, sheds)[-1]
    assert least <= ratio <= most


def test_limit_does_not_oscillate():
    """Fails when latency that grows with the limit makes it swing."""
    limit = AdaptiveLimit()
    adapt(limit, 20, CALM, utilisation_ratio=0.3)
    ratios = []
    for _ in range(40):
        latency_ms = 20.0 * max(1.0, 2.0 * limit.ratio)
        ratios += adapt(limit, 1, dict.fromkeys(NAMES, latency_ms))
    assert max(ratios[8:]) - min(ratios[8:]) < 0.02


def report(incarnation, sequence, served_cost, instance="a"):
    return UsageReport(instance, incarnation, sequence, "g", "c", served_cost, 5.0)


NEWS = {
    "the_first_news_is_a_starting_point": ([report(1, 1, 40.0)], [0.0]),
    "later_news_adds_the_difference": (
        [report(1, 1, 40.0), report(1, 2, 70.0)],
        [0.0, 30.0],
    ),
    "repeated_news_adds_nothing": (
        [report(1, 1, 40.0), report(1, 2, 70.0), report(1, 2, 70.0)],
        [0.0, 30.0, 0.0],
    ),
    "reordered_news_adds_nothing_twice": (
        [report(1, 1, 40.0), report(1, 3, 90.0), report(1, 2, 70.0)],
        [0.0, 50.0, 0.0],
    ),
    "a_restarted_instance_counts_from_its_start": (
        [report(1, 9, 40.0), report(2, 1, 10.0), report(2, 2, 15.0)],
        [0.0, 10.0, 5.0],
    ),
    "late_news_of_the_life_before_adds_nothing": (
        [report(1, 8, 40.0), report(2, 1, 10.0), report(1, 9, 60.0)],
        [0.0, 10.0, 0.0],
    ),
    "instances_are_counted_apart": (
        [report(1, 1, 40.0), report(1, 1, 20.0, "b"), report(1, 2, 25.0, "b")],
        [0.0, 0.0, 5.0],
    ),
}


@pytest.mark.parametrize(("heard", "added"), NEWS.values(), ids=NEWS.keys())
def test_news_counts_once(heard, added):
    """Fails when late, repeated or reordered news is counted twice."""
    ledger = UsageLedger()
    assert [ledger.record(item, 0.0) for item in heard] == added


PARTS = {
    "alone": (30.0, [], 1, 1.0),
    "equal_division_without_news": (30.0, [], 4, 0.25),
    "no_demand_anywhere": (0.0, [0.0, 0.0], 3, 1 / 3),
    "three_times_the_demand": (30.0, [10.0], 2, 0.727),
    "no_demand_here": (0.0, [20.0, 20.0], 3, 0.024),
    "silent_instances_count_like_this_one": (10.0, [10.0], 4, 0.25),
}


@pytest.mark.parametrize(
    ("own", "others", "n_instances", "part"), PARTS.values(), ids=PARTS.keys()
)
def test_part_follows_demand(own, others, n_instances, part):
    """Fails when an instance takes slots that its demand does not account for."""
    history = DemandHistory()
    history.add(1_000.0, own)
    demands = [InstanceDemand(cost, 1_000.0) for cost in others]
    result = demand_fraction(history, demands, n_instances)
    assert result == pytest.approx(part, abs=0.001)


def test_a_rise_everywhere_leaves_the_parts():
    """Fails when old news of others is compared with the own demand of now."""
    history = DemandHistory()
    history.add(1_000.0, 10.0)
    history.add(2_000.0, 60.0)
    assert demand_fraction(history, [InstanceDemand(10.0, 1_000.0)], 2) == 0.5


def test_own_service_stands_for_that_of_others_until_news_comes():
    """Fails when the whole fleet turns to one class until late news arrives."""
    caller_class = CallerClass(
        name="c", share=1.0, urgency=0, coverage_floor_ratio=0.0, deadline_ms=1.0
    )
    confirmed, lapsed = ClassQueue(caller_class), ClassQueue(caller_class)
    for queue in (confirmed, lapsed):
        queue.charge_service(10.0, quota_ratio=0.25)
        assert queue.normalised_service == pytest.approx(40.0)
    confirmed.settle(30.0)
    for queue in (confirmed, lapsed):
        queue.age(60_000.0)
    assert confirmed.normalised_service == pytest.approx(40.0)
    assert lapsed.normalised_service == pytest.approx(10.0)
