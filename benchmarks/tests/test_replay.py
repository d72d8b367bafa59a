"""Replays of the load patterns beside this file, over the real services.

Guards against waits that are unrelated to the drain of the backlog, and against
callers that return at their time and are rejected again.
"""

import math
from itertools import pairwise
from pathlib import Path

import pytest

from benchmarks.patterns import LoadPattern, figures_by_class, play, read_pattern

PATTERNS = Path(__file__).parent / "patterns"


def replay(name, seed):
    pattern = read_pattern(PATTERNS / f"{name}.jsonc")
    assert isinstance(pattern, LoadPattern), pattern
    return figures_by_class(play(pattern, seed))


# (pattern, seed, class, figure, least and most value); a wait is stated to within a
# factor of two, and nine in ten callers that return at their time are served
BOUNDS = [
    ("step", 1, "ordinary", "drain_ratio", 0.5, 2.0),
    ("burst", 1, "ordinary", "drain_ratio", 0.5, 2.0),
    ("burst", 2, "ordinary", "drain_ratio", 0.5, 2.0),
    ("burst", 1, "ordinary", "returns_served_ratio", 0.9, 1.0),
    ("burst", 2, "ordinary", "returns_served_ratio", 0.9, 1.0),
    ("restart-under-load", 1, "ordinary", "drain_ratio", 0.5, 2.0),
    ("restart-under-load", 1, "ordinary", "served_ratio", 0.95, 1.0),
    ("restart-under-load", 1, "urgent", "served_ratio", 0.95, 1.0),
]


@pytest.fixture(scope="module")
def replayed():
    """Return a replay that plays each pattern and seed once."""
    figures = {}

    def cached(name, seed):
        if (name, seed) not in figures:
            figures[name, seed] = replay(name, seed)
        return figures[name, seed]

    return cached


@pytest.mark.parametrize(
    ("name", "seed", "class_name", "figure", "least", "most"), BOUNDS
)
def test_figures_stay_within_their_bounds(
    replayed, name, seed, class_name, figure, least, most
):
    value = getattr(replayed(name, seed)[class_name], figure)
    assert least <= value <= most


def test_waits_follow_the_load(replayed):
    """A constant wait would make all rejected callers return in one moment."""
    waits_ms = sorted(
        replayed(name, 1)["ordinary"].retry_after_p50_ms
        for name in ("step", "burst", "restart-under-load")
    )
    for shorter_ms, longer_ms in pairwise(waits_ms):
        assert longer_ms > shorter_ms


# (case, text of the document, fragments of the message)
INVALID_PATTERNS = [
    ("no streams", '{"deployment": "derwent", "duration_ms": 1}', ["streams"]),
    (
        "unknown group",
        '{"deployment": "derwent", "duration_ms": 1, "streams":'
        ' [{"class_name": "c", "group": "g", "load_ratio": 1}]}',
        ["group", "planner-desk"],
    ),
    (
        "unknown field and a rate of zero",
        '{"deployment": "derwent", "duration_ms": 1, "speed": 1, "streams":'
        ' [{"class_name": "c", "group": "planner-desk", "load_ratio": 0}]}',
        ["speed", "load_ratio"],
    ),
]


@pytest.mark.parametrize(
    ("text", "fragments"),
    [case[1:] for case in INVALID_PATTERNS],
    ids=[case[0] for case in INVALID_PATTERNS],
)
def test_invalid_pattern_is_rejected_with_all_problems(text, fragments, tmp_path):
    path = tmp_path / "pattern.jsonc"
    path.write_text(text)
    failure = read_pattern(path)
    for fragment in fragments:
        assert fragment in failure.reason


def test_replay_is_deterministic():
    first, second = (replay("burst", 3) for _ in range(2))
    assert first == second
    assert not math.isnan(first["ordinary"].p99_ms)
