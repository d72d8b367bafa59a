"""Guards the order in which the instances of a zone follow one another."""

import pytest

from chestnuthall.core.configuration import FeedTiming, LeaderSelector

NAMES = [f"entry-{i}" for i in range(8)]


def order():
    """Return the names in the order of their positions."""
    selectors = [LeaderSelector(name) for name in NAMES]
    for selector in selectors:
        selector.leader(NAMES, 0.0)
    return [item.own_name for item in sorted(selectors, key=lambda item: item.position)]


FIRST, SECOND, THIRD, *REST = order()

# (case, own name, leaders that failed 1 s ago, instances of the zone, leader)
CASES = [
    ("first follows none", FIRST, (), NAMES, None),
    ("second follows the first", SECOND, (), NAMES, FIRST),
    ("last follows the first", REST[-1], (), NAMES, FIRST),
    ("first failed", REST[-1], (FIRST,), NAMES, SECOND),
    ("first failed, seen by the second", SECOND, (FIRST,), NAMES, None),
    ("two failed", REST[-1], (FIRST, SECOND), NAMES, THIRD),
    ("all leaders failed", REST[-1], (FIRST, SECOND, THIRD), NAMES, None),
    ("small zone", SECOND, (), [FIRST, SECOND, THIRD], None),
    ("others unknown", SECOND, (), [], None),
]


@pytest.mark.parametrize(
    ("own_name", "failed", "names", "leader"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_leader(own_name, failed, names, leader):
    """Two instances that follow each other would both miss every change."""
    selector = LeaderSelector(own_name)
    for name in failed:
        selector.deprioritise(name, 1_000.0)
    assert selector.leader(names, 2_000.0) == leader


# (case, own name, leaders that failed, leader while the store does not answer)
WITHOUT_STORE = [
    ("first follows the second", FIRST, (), SECOND),
    ("second follows the first", SECOND, (), FIRST),
    ("second with a failed first", SECOND, (FIRST,), THIRD),
    ("nobody has news", REST[0], (FIRST, SECOND, THIRD), None),
]


@pytest.mark.parametrize(
    ("own_name", "failed", "leader"),
    [case[1:] for case in WITHOUT_STORE],
    ids=[case[0] for case in WITHOUT_STORE],
)
def test_instance_that_the_store_refuses_follows_another(own_name, failed, leader):
    selector = LeaderSelector(own_name)
    selector.deprioritise_store(1_000.0)
    for name in failed:
        selector.deprioritise(name, 1_000.0)
    assert selector.leader(NAMES, 2_000.0) == leader


def test_failed_leader_is_asked_again_later():
    selector = LeaderSelector(SECOND)
    selector.deprioritise(FIRST, 0.0)
    assert selector.leader(NAMES, 10_000.0) == FIRST


@pytest.mark.parametrize("in_force_ms", [3_000.0, 5_000.0])
def test_follower_has_time_left_when_its_leader_has_no_news(in_force_ms):
    timing = FeedTiming(in_force_ms)
    # Age, one wait at the leader with its margin, and a read of the store.
    assert timing.age_max_ms + 1_000.0 < in_force_ms
    assert timing.watch_timeout_ms + 700.0 < timing.age_max_ms or in_force_ms < 5_000.0
