"""Guards the soak's own checks, and runs it for one short seed."""

import asyncio

import pytest

from chestnuthall.adapters.http import HttpResponse
from chestnuthall.platform.tests.soak.__main__ import Soak
from chestnuthall.platform.tests.soak.checks import Evidence

A, B = b"A" * 16, b"B" * 16


def search(marks, body):
    return HttpResponse(200, {b"x-part-stamps": ", ".join(marks).encode()}, body)


# (case, calls, kind, answer, part of the finding or None)
CASES = [
    ("good search", [], "sweep", search(["s/r/q", "t/r/q"], B + A), None),
    ("records not of the parts", [], "sweep", search(["s/r/q"], B), "other records"),
    ("shard twice", [], "sweep", search(["s/r/q", "s/r/q"], A), "a shard twice"),
    ("part of another", [], "sweep", search(["s/r/p"], A), "of another request"),
    (
        "too many replicas",
        [("s", "a"), ("s", "b"), ("s", "c")],
        "sweep",
        None,
        "ran on 3 of s",
    ),
    ("hold twice", [("t", "a"), ("t", "a")], "hold", None, "ran 2 times"),
    ("refused and run", [("t", "a")], "hold", HttpResponse(503), "had run"),
    ("refused and not run", [], "hold", HttpResponse(503), None),
]


@pytest.mark.parametrize(
    ("calls", "kind", "answer", "finding"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_each_broken_promise_is_found(calls, kind, answer, finding):
    """A soak whose checks see nothing proves nothing."""
    evidence = Evidence(bodies={"s/r/q": A, "t/r/q": B})
    for service, replica in calls:
        evidence.note_call("q", service, replica, 0.0)
    evidence.note_answer("q", kind, answer)
    assert bool(evidence.broken) == (finding is not None)
    if finding is not None:
        assert any(finding in item for item in evidence.broken)


def test_call_long_after_a_drain_is_found():
    evidence = Evidence(drained_s={"a": 10.0})
    evidence.note_call("q", "s", "a", 13.0)
    assert not evidence.broken
    evidence.note_call("q", "s", "a", 15.0)
    assert evidence.broken


@pytest.mark.processes
def test_short_seed_breaks_no_promise(tmp_path):
    evidence = asyncio.run(Soak(1, tmp_path, duration_s=3.0).run())
    assert not evidence.broken
