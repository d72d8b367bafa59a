"""Tests of rejections and returns in the admission queue.

Guards against queries that wait although they cannot be served in time, against new
arrivals that overtake returning callers, and against waits that are unrelated to the
backlog.
"""

import pytest

from chestnuthall.core.admission import (
    AdmissionQueue,
    Admit,
    Arrive,
    LagObserved,
    Refuse,
    Release,
    ReleaseCalls,
    WakeUpDue,
)
from chestnuthall.core.model import CallerClass

CALL_MS = 20.0
LIMIT_COST = 4.0


def make_queue(n_queued_max=1_000):
    caller_class = CallerClass(
        name="c",
        share=1.0,
        urgency=0,
        coverage_floor_ratio=0.0,
        deadline_ms=2_000.0,
        n_queued_max=n_queued_max,
    )
    queue = AdmissionQueue((caller_class,), LIMIT_COST)
    queue.service_times.observe_call(CALL_MS)
    queue.service_times.observe_query("k", CALL_MS)
    return queue


def arrive(queue, name, now_ms=0.0, remaining_ms=600.0, cost=1.0):
    return queue.handle(Arrive(now_ms, name, "c", "k", cost, now_ms + remaining_ms))


def fill(queue, n_waiting, remaining_ms=600.0):
    """Occupy the limit until released, and queue further queries."""
    arrive(queue, "running", cost=LIMIT_COST + 1.0)
    for number in range(n_waiting):
        arrive(queue, f"w{number}", remaining_ms=remaining_ms)


def release_all(queue, now_ms):
    """End the running query, and repay the capacity that it overdrew."""
    actions = queue.handle(Release(now_ms, "running", 0.0))
    return actions + queue.handle(WakeUpDue(now_ms + 50.0))


# (case, queries that wait, time to wait that the rejection states)
DRAINS = [
    ("short queue", 40, 40 * CALL_MS / LIMIT_COST),
    ("long queue", 80, 80 * CALL_MS / LIMIT_COST),
]


@pytest.mark.parametrize(
    ("n_waiting", "drain_ms"),
    [case[1:] for case in DRAINS],
    ids=[case[0] for case in DRAINS],
)
def test_wait_is_the_drain_time_of_the_backlog(n_waiting, drain_ms):
    """The stated wait has to be within a factor of two of the measured drain."""
    queue = make_queue(n_queued_max=n_waiting)
    fill(queue, n_waiting, remaining_ms=5_000.0)
    (refused,) = arrive(queue, "late", remaining_ms=5_000.0)
    assert isinstance(refused, Refuse)
    assert drain_ms / 2 <= refused.advice.retry_after_ms <= 2 * drain_ms
    assert refused.advice.is_booked
    assert measured_drain_ms(queue) == pytest.approx(
        refused.advice.retry_after_ms, rel=1.0
    )


def measured_drain_ms(queue):
    """Serve the backlog with calls of ``CALL_MS`` and return how long it takes."""
    queue.handle(Release(0.0, "running", 0.0))
    now_ms = 0.0
    while queue.waiting:
        now_ms += CALL_MS
        for name in tuple(queue.running):
            queue.handle(ReleaseCalls(now_ms, name, 1.0, CALL_MS))
            queue.handle(Release(now_ms, name, CALL_MS))
        queue.handle(WakeUpDue(now_ms))
    return now_ms


def test_returning_caller_goes_before_new_arrivals():
    queue = make_queue(n_queued_max=40)
    fill(queue, 40, remaining_ms=5_000.0)
    (refused,) = arrive(queue, "rejected", remaining_ms=5_000.0)
    now_ms = refused.advice.retry_after_ms
    arrive(queue, "returned", now_ms, remaining_ms=5_000.0 - now_ms)
    assert queue.waiting["returned"].is_return
    admitted = release_all(queue, now_ms)
    assert admitted[0].ticket == "returned"
    assert admitted[0].account.is_return


def test_query_that_becomes_hopeless_is_refused_before_its_deadline():
    """A query must not wait until its deadline once it cannot be served any more."""
    queue = make_queue()
    fill(queue, 1, remaining_ms=200.0)
    wake_at_ms = queue.wake_at_ms()
    assert wake_at_ms <= 200.0 - CALL_MS
    (refused,) = queue.handle(WakeUpDue(200.0 - CALL_MS))
    assert isinstance(refused, Refuse)
    assert refused.ticket == "w0"


@pytest.mark.parametrize(("lag_ms", "is_admitted"), [(0.0, True), (100.0, False)])
def test_loop_lag_counts_as_time_that_a_query_needs(lag_ms, is_admitted):
    """A busy event loop delays a query that its replicas would answer in time."""
    queue = make_queue()
    fill(queue, 1, remaining_ms=100.0)
    queue.handle(LagObserved(0.0, lag_ms))
    actions = release_all(queue, 10.0)
    assert isinstance(actions[0], Admit) is is_admitted
