"""Guards the limit of a group, its average use and its division over instances.

The tests fail if the running cost deviates from the limit on average, if the limit
collapses or oscillates, if usage reports of other instances are counted twice, or if an
instance gets slots that don't match its fraction of the demand.
"""

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
from chestnuthall.core.admission._limit import RATIO_MAX, RATIO_MIN, RATIO_UNQUEUED
from chestnuthall.core.admission._tickets import ClassQueue
from chestnuthall.core.model import CallerClass


@pytest.mark.parametrize("limit_cost", [1.5, 4.0, 10.0, 13.3, 90.0])
def test_running_cost_averages_the_limit(limit_cost):
    """Fails if a limit below the cost of a query is rounded up or left unused."""
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


def test_burst_after_idle_time_is_bounded():
    """Fails if an idle instance could start more than its accumulated credit."""
    capacity = Capacity(10.0)
    capacity.advance(60_000.0)
    n_started = 0
    while capacity.has_capacity(10.0):
        capacity.acquire("search", 10.0)
        n_started += 1
    assert n_started == 5


def run_intervals(limit, n_intervals, latencies_ms, sheds=(), utilisation_ratio=1.0):
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
BASELINE = dict.fromkeys(NAMES, 20.0)
INFLATED = dict.fromkeys(NAMES, 200.0)
LIMITS = {
    "baseline_latency_keeps_the_limit": (BASELINE, (), 0.99 * RATIO_MAX, RATIO_MAX),
    "one_slow_replica_does_not_lower_it": (
        {**BASELINE, "r0": 900.0},
        (),
        0.99 * RATIO_MAX,
        RATIO_MAX,
    ),
    "one_shedding_replica_does_not_lower_it": (
        BASELINE,
        ("r0",),
        0.99 * RATIO_MAX,
        RATIO_MAX,
    ),
    "latency_of_all_lowers_it_to_the_slots": (
        INFLATED,
        (),
        0.99 * RATIO_UNQUEUED,
        1.01 * RATIO_UNQUEUED,
    ),
    "latency_and_sheds_of_all_lower_it_further": (
        INFLATED,
        NAMES,
        RATIO_MIN,
        0.2 * RATIO_MAX,
    ),
    "sheds_of_many_replicas_lower_it": (BASELINE, NAMES[:5], RATIO_MIN, 0.9),
}


@pytest.mark.parametrize(
    ("latencies_ms", "sheds", "least", "most"), LIMITS.values(), ids=LIMITS.keys()
)
def test_limit_converges_within_two_seconds(latencies_ms, sheds, least, most):
    """Fails if one replica makes the limit collapse, or all together don't lower it."""
    limit = AdaptiveLimit()
    assert limit.ratio == 1.0
    run_intervals(limit, 20, BASELINE, utilisation_ratio=0.3)
    ratio = run_intervals(limit, 8, latencies_ms, sheds)[-1]
    assert least <= ratio <= most


def test_limit_does_not_oscillate():
    """Fails if the limit oscillates when the latency grows with it."""
    limit = AdaptiveLimit()
    run_intervals(limit, 20, BASELINE, utilisation_ratio=0.3)
    ratios = []
    for _ in range(40):
        latency_ms = 20.0 * max(1.0, 2.0 * limit.ratio)
        ratios += run_intervals(limit, 1, dict.fromkeys(NAMES, latency_ms))
    assert max(ratios[8:]) - min(ratios[8:]) < 0.02


def report(incarnation, sequence, served_cost, instance="a"):
    return UsageReport(instance, incarnation, sequence, "g", "c", served_cost, 5.0)


USAGE_REPORTS = {
    "first_report_sets_the_starting_point": ([report(1, 1, 40.0)], [0.0]),
    "later_report_adds_the_difference": (
        [report(1, 1, 40.0), report(1, 2, 70.0)],
        [0.0, 30.0],
    ),
    "duplicate_report_adds_nothing": (
        [report(1, 1, 40.0), report(1, 2, 70.0), report(1, 2, 70.0)],
        [0.0, 30.0, 0.0],
    ),
    "reordered_report_adds_nothing": (
        [report(1, 1, 40.0), report(1, 3, 90.0), report(1, 2, 70.0)],
        [0.0, 50.0, 0.0],
    ),
    "restarted_instance_counts_from_its_start": (
        [report(1, 9, 40.0), report(2, 1, 10.0), report(2, 2, 15.0)],
        [0.0, 10.0, 5.0],
    ),
    "late_report_of_an_earlier_incarnation_adds_nothing": (
        [report(1, 8, 40.0), report(2, 1, 10.0), report(1, 9, 60.0)],
        [0.0, 10.0, 0.0],
    ),
    "instances_are_counted_separately": (
        [report(1, 1, 40.0), report(1, 1, 20.0, "b"), report(1, 2, 25.0, "b")],
        [0.0, 0.0, 5.0],
    ),
}


@pytest.mark.parametrize(
    ("reports", "added"), USAGE_REPORTS.values(), ids=USAGE_REPORTS.keys()
)
def test_usage_report_is_counted_once(reports, added):
    """Fails if a late, duplicated or reordered report is counted twice."""
    ledger = UsageLedger()
    assert [ledger.record(item, 0.0) for item in reports] == added


DEMANDS = {
    "single_instance": (30.0, [], 1, 1.0),
    "equal_division_without_reports": (30.0, [], 4, 0.25),
    "no_demand_on_any_instance": (0.0, [0.0, 0.0], 3, 1 / 3),
    "three_times_the_demand": (30.0, [10.0], 2, 0.727),
    "no_demand_on_this_instance": (0.0, [20.0, 20.0], 3, 0.024),
    "unreported_instances_count_like_this_one": (10.0, [10.0], 4, 0.25),
}


@pytest.mark.parametrize(
    ("own", "others", "n_instances", "expected"), DEMANDS.values(), ids=DEMANDS.keys()
)
def test_fraction_of_demand(own, others, n_instances, expected):
    """Fails if an instance's fraction of the slots does not follow its demand."""
    history = DemandHistory()
    history.add(1_000.0, own)
    demands = [InstanceDemand(cost, 1_000.0) for cost in others]
    result = demand_fraction(history, demands, n_instances)
    assert result == pytest.approx(expected, abs=0.001)


def test_fraction_is_unchanged_when_demand_rises_everywhere():
    """Fails if old reports of others are compared with the current own demand."""
    history = DemandHistory()
    history.add(1_000.0, 10.0)
    history.add(2_000.0, 60.0)
    assert demand_fraction(history, [InstanceDemand(10.0, 1_000.0)], 2) == 0.5


def test_service_of_others_is_predicted_until_reported():
    """Fails if the whole fleet serves one class until the reports arrive."""
    caller_class = CallerClass(
        name="c", share=1.0, urgency=0, coverage_floor_ratio=0.0, deadline_ms=1.0
    )
    confirmed, lapsed = ClassQueue(caller_class), ClassQueue(caller_class)
    for queue in (confirmed, lapsed):
        queue.charge_service(10.0, demand_ratio=0.25)
        assert queue.normalised_service == pytest.approx(40.0)
    confirmed.reconcile(30.0)
    for queue in (confirmed, lapsed):
        queue.decay_predicted(60_000.0)
    assert confirmed.normalised_service == pytest.approx(40.0)
    assert lapsed.normalised_service == pytest.approx(10.0)
