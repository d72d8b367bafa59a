"""Tests of the gate for requests whose coverage floor is out of reach.

Guards against an instance that does not notice the end of an outage, and against one
class that blocks another with a lower floor.
"""

import pytest

from chestnuthall.core.overload import OutageGate

# (case, (time, class, whether its floor is reachable) of each request, whether tried)
CASES = [
    (
        "one in each interval",
        [(0.0, "c", False), (99.0, "c", False), (100.0, "c", False)],
        [True, False, True],
    ),
    (
        "the end of the outage",
        [(0.0, "c", False), (50.0, "c", True), (60.0, "c", False)],
        [True, True, True],
    ),
    (
        "a class with a lower floor",
        [(0.0, "c", False), (10.0, "d", True), (20.0, "c", False)],
        [True, True, False],
    ),
]


@pytest.mark.parametrize(
    ("requests", "are_tried"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_requests_during_an_outage(requests, are_tried):
    gate = OutageGate()
    assert [
        gate.may_try("g", class_name, is_reachable, now_ms)
        for now_ms, class_name, is_reachable in requests
    ] == are_tried
