"""Tests the checks of the soak, and runs the soak for a few seconds.

Guards against checks that miss a violation of a guarantee.
"""

import asyncio

import pytest

from chestnuthall.adapters.http import HttpResponse
from chestnuthall.platform.tests.soak.__main__ import Soak
from chestnuthall.platform.tests.soak.checks import Evidence
from chestnuthall.platform.tests.soak.crashes import CrashEvidence

A, B = b"A" * 16, b"B" * 16


def search(signatures, body):
    return HttpResponse(200, {b"x-part-stamps": ", ".join(signatures).encode()}, body)


# (case, calls, kind, answer, text in the violation or None)
CASES = [
    ("valid search", [], "sweep", search(["s/r/q", "t/r/q"], B + A), None),
    ("records of no shard answer", [], "sweep", search(["s/r/q"], B), "other records"),
    (
        "shard counted twice",
        [],
        "sweep",
        search(["s/r/q", "s/r/q"], A),
        "a shard twice",
    ),
    (
        "answer of another request",
        [],
        "sweep",
        search(["s/r/p"], A),
        "of another request",
    ),
    (
        "too many replicas",
        [("s", "a"), ("s", "b"), ("s", "c")],
        "sweep",
        None,
        "ran on 3 replicas of s",
    ),
    ("hold run twice", [("t", "a"), ("t", "a")], "hold", None, "ran 2 times"),
    ("hold refused but run", [("t", "a")], "hold", HttpResponse(503), "had run"),
    ("hold refused and not run", [], "hold", HttpResponse(503), None),
]


@pytest.mark.parametrize(
    ("calls", "kind", "answer", "violation"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_each_violation_is_detected(calls, kind, answer, violation):
    """A run without violations means nothing if the checks detect none."""
    evidence = Evidence(bodies={"s/r/q": A, "t/r/q": B})
    for service, replica in calls:
        evidence.record_call("q", service, replica, 0.0)
    evidence.record_answer("q", kind, answer)
    assert bool(evidence.violations) == (violation is not None)
    if violation is not None:
        assert any(violation in item for item in evidence.violations)


def test_request_cut_off_by_a_stop_is_detected():
    evidence = Evidence()
    evidence.record_cut("q")
    assert not evidence.violations
    evidence.record_call("q", "t", "a", 0.0)
    evidence.record_cut("q")
    assert evidence.violations


def test_call_long_after_a_drain_notice_is_detected():
    evidence = Evidence(drain_notice_s={"a": 10.0})
    evidence.record_call("q", "s", "a", 13.0)
    assert not evidence.violations
    evidence.record_call("q", "s", "a", 15.0)
    assert evidence.violations


@pytest.mark.parametrize(
    ("senders", "late_s", "n_late", "is_violation"),
    [
        pytest.param(("a",), 4.5, 3, False, id="as many as allowed"),
        pytest.param(("a",), 4.5, 4, True, id="one too many"),
        pytest.param(("a",), 3.5, 9, False, id="soon after the third crash"),
        pytest.param(("b",), 4.5, 9, False, id="from a disturbed instance"),
    ],
)
def test_calls_after_the_third_crash_are_counted(senders, late_s, n_late, is_violation):
    evidence = CrashEvidence()
    evidence.disturbed_until_s["b"] = 1_000.0
    for at_s in (10.0, 11.0, 12.0):
        evidence.record_crash("/x", "r", senders, at_s)
    for _ in range(n_late):
        evidence.record_crash("/x", "r", senders, 12.0 + late_s)
    assert bool(evidence.violations()) == is_violation


@pytest.mark.processes
def test_crashing_request_is_not_sent_again_and_again(tmp_path):
    """Guards against replicas lost to one request at each instance, and at intervals.

    The run lasts longer than a quarantine.
    """
    evidence = asyncio.run(Soak(1, tmp_path, duration_s=75.0, has_faults=False).run())
    assert not evidence.violations


@pytest.mark.processes
def test_short_run_has_no_violations(tmp_path):
    evidence = asyncio.run(Soak(1, tmp_path, duration_s=3.0).run())
    assert not evidence.violations
