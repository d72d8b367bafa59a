"""Guards the fleet-wide bound on repeated calls to a service.

The tests fail if the retries and hedges of all instances together exceed the allowance
of a window, or if hedges use the allowance that is reserved for retries.
"""

from random import Random

import pytest

from chestnuthall.core.routing import ServiceExtraLoadBudget, ServiceExtraLoadLimits

RATIO = 0.2
WINDOW_MS = 10_000.0
N_FLOOR = 58.0
DURATION_MS = 40_000.0


def simulate_fleet(
    seed, n_instances, n_requests_per_s, repeat_probability, n_instances_known
):
    """Return the request times and repeat times of a whole fleet."""
    random = Random(seed)
    limits = ServiceExtraLoadLimits(ratio=RATIO, window_ms=WINDOW_MS, n_floor=N_FLOOR)
    fleet = [ServiceExtraLoadBudget(limits) for _ in range(n_instances)]
    for budget in fleet:
        budget.set_n_instances(n_instances_known)
    requested, repeated = [], []
    now_ms = 0.0
    while now_ms < DURATION_MS:
        # The rate alternates between a low and a doubled value every 3 s.
        is_high = int(now_ms / 3_000.0) % 2 == 0
        now_ms += random.expovariate(
            (2.0 if is_high else 0.2) * n_requests_per_s / 1000.0
        )
        budget = fleet[int(random.betavariate(1, 3) * n_instances)]
        budget.record_calls(["s"], 0.0, now_ms)
        requested.append(now_ms)
        while random.random() < repeat_probability:
            is_acquired = (
                budget.try_acquire_hedge("s", now_ms, 2.0)
                if random.random() < 0.5
                else budget.try_acquire_retry("s", now_ms)
            )
            if is_acquired:
                repeated.append(now_ms)
    return requested, repeated


def n_within(times, start_ms):
    return sum(start_ms <= item < start_ms + WINDOW_MS for item in times)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("n_instances", "n_requests_per_s", "repeat_probability"),
    [
        pytest.param(9, 80.0, 0.1, id="a few repeats"),
        pytest.param(9, 80.0, 0.9, id="many repeats"),
        pytest.param(9, 2.0, 0.9, id="few requests and mostly the floor"),
        pytest.param(65, 40.0, 0.9, id="many instances"),
    ],
)
def test_repeats_stay_within_the_allowance_in_any_window(
    seed, n_instances, n_requests_per_s, repeat_probability
):
    """Hedges of all instances together must not overload a service."""
    requested, repeated = simulate_fleet(
        seed, n_instances, n_requests_per_s, repeat_probability, n_instances
    )
    for start_ms in range(0, int(DURATION_MS), 250):
        # A repeat belongs to a request of its own window or of the previous one.
        n_requests = max(
            n_within(requested, start_ms),
            n_within(requested, start_ms - WINDOW_MS / 2.0),
            n_within(requested, start_ms - WINDOW_MS),
        )
        assert n_within(repeated, start_ms) <= RATIO * n_requests + N_FLOOR


def test_floor_is_not_used_while_the_fleet_size_is_unknown():
    """A starting instance must not use a floor that others may be using."""
    limits = ServiceExtraLoadLimits(ratio=RATIO, window_ms=WINDOW_MS, n_floor=N_FLOOR)
    budget = ServiceExtraLoadBudget(limits)
    budget.record_calls(["s"], 0.0, 0.0)
    assert not budget.try_acquire_retry("s", 1.0)


def test_hedges_leave_allowance_for_retries():
    """A retry that saves an answer must be possible after any number of hedges."""
    budget = ServiceExtraLoadBudget(
        ServiceExtraLoadLimits(ratio=0.2, window_ms=WINDOW_MS, n_floor=0.0)
    )
    for now_ms in range(100):
        budget.record_calls(["s"], 0.0, float(now_ms))
    while budget.try_acquire_hedge("s", 100.0, 2.0):
        pass
    assert budget.try_acquire_retry("s", 100.0)
