"""Replays of the load patterns beside this file, over the real services.

Guards against waits that are unrelated to the drain of the backlog, against callers
that return at their time and are rejected again, against slots that stay idle while all
replicas are slow, against searches that run although they can only fail, and against
slow replicas that are tried with every search of an instance that calls them rarely.
"""

import math
from itertools import pairwise
from pathlib import Path

import pytest

from benchmarks._scenarios import search_capacity_per_s
from benchmarks.patterns import LoadPattern, figures_by_class, play, read_pattern

PATTERNS = Path(__file__).parent / "patterns"


def play_pattern(name, seed):
    pattern = read_pattern(PATTERNS / f"{name}.jsonc")
    assert isinstance(pattern, LoadPattern), pattern
    return pattern, play(pattern, seed)


def replay(name, seed):
    _, attempts = play_pattern(name, seed)
    return figures_by_class(attempts)


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


def attempts_between(attempts, begin_ms, end_ms):
    return [item for item in attempts if begin_ms <= item.sent_ms < end_ms]


SLOW_MS = 1_500.0, 2_500.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_slow_replicas_are_used_and_not_hedged(seed):
    """A limit below the slots would answer a third of what the slow replicas can.

    Hedges are bounded as at saturation: 0.5% of the calls.
    """
    pattern, attempts = play_pattern("all-replicas-slow", seed)
    slow = attempts_between(attempts, *SLOW_MS)
    deployment = pattern.find_deployment()
    capacity_per_s = search_capacity_per_s(deployment, "planner-desk")
    capacity_per_s /= pattern.troubles[0].factor
    n_possible = capacity_per_s * (SLOW_MS[1] - SLOW_MS[0]) / 1_000.0
    assert sum(item.is_answer for item in slow) >= 0.5 * n_possible
    n_calls = sum(item.n_calls for item in slow)
    assert sum(item.n_extra_calls for item in slow) <= 0.005 * n_calls


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_searches_are_rejected_as_not_run_while_a_shard_is_unavailable(seed):
    """One search in 100 ms is tried at each instance, to notice the end."""
    pattern, attempts = play_pattern("shard-unavailable", seed)
    trouble = pattern.troubles[0]
    end_ms = trouble.at_ms + trouble.for_ms
    # The first searches of an instance discover the outage.
    begin_ms = trouble.at_ms + 200.0
    during = attempts_between(attempts, begin_ms, end_ms - 10.0)
    n_tried = sum(not item.was_rejected for item in during)
    n_instances = pattern.find_deployment().n_instances
    assert n_tried <= n_instances * ((end_ms - begin_ms) / 100.0 + 1.0)
    after = attempts_between(attempts, end_ms + 200.0, pattern.duration_ms)
    assert all(item.is_answer for item in after)


# Seeds with which no shard has only slow replicas.
@pytest.mark.parametrize("seed", [3, 5, 7])
def test_rarely_called_slow_replicas_are_remembered(seed):
    """A search that tries several slow replicas again takes as long as they do.

    The median is bounded like a tail under slowed replicas: 1.3 times the unslowed one.
    """
    pattern, attempts = play_pattern("slow-third-of-rare-calls", seed)
    unslowed = play(pattern.model_copy(update={"troubles": ()}), seed)
    p50_ms = figures_by_class(attempts)["urgent"].p50_ms
    assert p50_ms <= 1.3 * figures_by_class(unslowed)["urgent"].p50_ms


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
