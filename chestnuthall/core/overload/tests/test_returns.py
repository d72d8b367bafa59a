"""Tests of the times at which rejected callers should return.

Guards against callers that all return in one moment, against a gain for callers that
return early or state a time that they do not have, and against waits that ignore the
cause of a rejection.
"""

import pytest

from chestnuthall.core.overload import (
    Leaving,
    Rejection,
    ReplicasFull,
    ReplicasUnavailable,
    ReturnSchedule,
    Starting,
    StoreUnavailable,
    recovery_ms,
)


def reject(drain_ms=100.0, gap_ms=10.0, remaining_ms=900.0, class_name="c"):
    return Rejection(
        class_name=class_name,
        cost=1.0,
        drain_ms=drain_ms,
        gap_ms=gap_ms,
        remaining_ms=remaining_ms,
    )


# (case, (time, rejection) of each request, times to wait, whether each is booked)
BOOKINGS = [
    (
        "a step is spread over the service times",
        [(0.0, reject()), (0.0, reject()), (0.0, reject())],
        [100.0, 110.0, 120.0],
        [True, True, True],
    ),
    (
        "a later rejection follows the booked ones",
        [(0.0, reject()), (50.0, reject(drain_ms=20.0))],
        [100.0, 60.0],
        [True, True],
    ),
    (
        "an old slot does not delay a later burst",
        [(0.0, reject()), (5_000.0, reject(drain_ms=20.0))],
        [100.0, 20.0],
        [True, True],
    ),
    (
        "classes have slots of their own",
        [(0.0, reject()), (0.0, reject(class_name="d"))],
        [100.0, 100.0],
        [True, True],
    ),
    (
        "a third of the remaining time bounds the wait",
        [(0.0, reject(remaining_ms=299.0)), (0.0, reject(remaining_ms=300.0))],
        [100.0, 100.0],
        [False, True],
    ),
]


@pytest.mark.parametrize(
    ("rejections", "waits_ms", "are_booked"),
    [case[1:] for case in BOOKINGS],
    ids=[case[0] for case in BOOKINGS],
)
def test_returns_are_spread(rejections, waits_ms, are_booked):
    schedule = ReturnSchedule()
    advice = [schedule.book(item, now_ms) for now_ms, item in rejections]
    assert [item.retry_after_ms for item in advice] == waits_ms
    assert [item.is_booked for item in advice] == are_booked


# (case, time of the request, remaining time that it states, whether it is a return);
# one slot is booked at 100 ms for a caller that then has 800 ms left
RETURNS = [
    ("at its time", 100.0, 800.0, True),
    ("a little late", 400.0, 500.0, True),
    ("of another instance with a shorter wait", 100.0, 830.0, True),
    ("early", 50.0, 850.0, False),
    ("new arrival with all of its time", 100.0, 900.0, False),
    ("long after its time", 1_200.0, 100.0, False),
]


@pytest.mark.parametrize(
    ("now_ms", "remaining_ms", "is_return"),
    [case[1:] for case in RETURNS],
    ids=[case[0] for case in RETURNS],
)
def test_only_a_caller_at_its_time_is_a_return(now_ms, remaining_ms, is_return):
    schedule = ReturnSchedule()
    schedule.book(reject(), 0.0)
    assert schedule.redeem("c", remaining_ms, now_ms) is is_return


# (slots, returns at their time, those recognised)
IMBALANCES = [(1, 3, 1), (4, 8, 5), (16, 24, 19)]


@pytest.mark.parametrize(("n_slots", "n_returns", "n_recognised"), IMBALANCES)
def test_random_imbalance_between_instances_is_accepted(
    n_slots, n_returns, n_recognised
):
    """A balancer sends an instance a few more returns than it has booked.

    Without an allowance one in eight of the callers that returned at their time was
    rejected again.
    """
    schedule = ReturnSchedule()
    for _ in range(n_slots):
        schedule.book(reject(gap_ms=0.0), 0.0)
    returns = [schedule.redeem("c", 800.0, 100.0) for _ in range(n_returns)]
    assert sum(returns) == n_recognised


def test_each_slot_is_used_once():
    """Callers must not gain more returns than there were rejections."""
    schedule = ReturnSchedule()
    schedule.book(reject(), 0.0)
    assert [schedule.redeem("c", 700.0, 200.0) for _ in range(3)] == [
        True,
        False,
        False,
    ]


def test_booked_cost_counts_the_returns_until_a_time():
    schedule = ReturnSchedule()
    for _ in range(3):
        schedule.book(reject(), 0.0)
    costs = [schedule.booked_cost("c", until_ms, 0.0) for until_ms in (99.0, 110.0)]
    assert costs == [0.0, 2.0]


def test_slots_of_removed_classes_are_forgotten():
    schedule = ReturnSchedule()
    schedule.book(reject(), 0.0)
    schedule.retain(frozenset({"d"}))
    assert not schedule.redeem("c", 700.0, 200.0)


# (cause, time to wait)
CAUSES = [
    (Starting(), 200.0),
    (Leaving(), 50.0),
    (ReplicasUnavailable(), 500.0),
    (ReplicasUnavailable(outage_ms=2_000.0), 2_000.0),
    (ReplicasFull(call_ms=30.0), 30.0),
    (StoreUnavailable(outage_ms=0.0), 500.0),
    (StoreUnavailable(outage_ms=2_000.0), 2_000.0),
    (StoreUnavailable(outage_ms=60_000.0), 5_000.0),
]


@pytest.mark.parametrize(("cause", "wait_ms"), CAUSES, ids=[repr(c) for c, _ in CAUSES])
def test_wait_follows_the_cause(cause, wait_ms):
    assert recovery_ms(cause) == wait_ms
