"""Tests of the choice of leaders among the instances of a zone.

They guard against instances that follow each other in a cycle, none of which
would then receive changes from the store.
"""

import pytest

from chestnuthall.core.configuration import FeedTiming, LeaderSelector

NAMES = [f"entry-{i}" for i in range(8)]


def names_in_leader_order():
    """Return the names sorted by position."""
    selectors = [LeaderSelector(name) for name in NAMES]
    for selector in selectors:
        selector.leader(NAMES, 0.0)
    return [item.own_name for item in sorted(selectors, key=lambda item: item.position)]


FIRST, SECOND, THIRD, *REST = names_in_leader_order()

# (case, own name, leaders that failed 1 s ago, instances of the zone, leader)
CASES = [
    ("first follows none", FIRST, (), NAMES, None),
    ("second follows the first", SECOND, (), NAMES, FIRST),
    ("last follows the first", REST[-1], (), NAMES, FIRST),
    ("first failed", REST[-1], (FIRST,), NAMES, SECOND),
    ("first failed, second follows none", SECOND, (FIRST,), NAMES, None),
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
def test_leader_is_earlier_in_order(own_name, failed, names, leader):
    """An instance must not follow a later one, or two could follow each other."""
    selector = LeaderSelector(own_name)
    for name in failed:
        selector.deprioritise(name, 1_000.0)
    assert selector.leader(names, 2_000.0) == leader


# (case, own name, leaders that failed, leader while the store is unavailable)
CASES_WITHOUT_STORE = [
    ("first follows the second", FIRST, (), SECOND),
    ("second follows the first", SECOND, (), FIRST),
    ("second with a failed first", SECOND, (FIRST,), THIRD),
    ("all leaders failed", REST[0], (FIRST, SECOND, THIRD), None),
]


@pytest.mark.parametrize(
    ("own_name", "failed", "leader"),
    [case[1:] for case in CASES_WITHOUT_STORE],
    ids=[case[0] for case in CASES_WITHOUT_STORE],
)
def test_instance_without_store_follows_any_leader(own_name, failed, leader):
    selector = LeaderSelector(own_name)
    selector.deprioritise_store(1_000.0)
    for name in failed:
        selector.deprioritise(name, 1_000.0)
    assert selector.leader(NAMES, 2_000.0) == leader


def test_failed_leader_is_followed_again_later():
    selector = LeaderSelector(SECOND)
    selector.deprioritise(FIRST, 0.0)
    assert selector.leader(NAMES, 10_000.0) == FIRST


@pytest.mark.parametrize("in_force_ms", [3_000.0, 5_000.0])
def test_follower_has_time_left_when_its_leader_is_out_of_date(in_force_ms):
    timing = FeedTiming(in_force_ms)
    # The maximum age leaves 1 s for one wait at the leader, its margin, and a read
    # of the store.
    assert timing.age_max_ms + 1_000.0 < in_force_ms
    assert timing.watch_timeout_ms + 700.0 < timing.age_max_ms or in_force_ms < 5_000.0
