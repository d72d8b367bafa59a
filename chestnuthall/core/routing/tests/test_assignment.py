"""Guards the assignment of shards and health checks to instances.

The tests fail if an instance gets far more shards than the average, if keys of other
instances move when one leaves, or if a key gets the same owner twice.
"""

import pytest

from chestnuthall.core.routing import HashRing, assign_shards

SHARDS = [f"s{index:04d}" for index in range(1800)]


@pytest.mark.parametrize("n_instances", [2, 9, 30])
def test_only_shards_of_a_leaving_instance_move(n_instances):
    """A departure must not move shards between the remaining instances."""
    names = [f"entry-{index}" for index in range(n_instances)]
    before = assign_shards(SHARDS, names)
    after = assign_shards(SHARDS, names[1:])
    moved = [
        shard for name in names[1:] for shard in set(after[name]) - set(before[name])
    ]
    assert sorted(moved) == sorted(before[names[0]])


@pytest.mark.parametrize(("n_instances", "worst_ratio"), [(2, 1.1), (9, 1.25), (30, 2)])
def test_shards_are_balanced(n_instances, worst_ratio):
    """No instance may get far more shards than the average."""
    assigned = assign_shards(SHARDS, [f"entry-{i}" for i in range(n_instances)])
    largest = max(len(shards) for shards in assigned.values())
    assert sum(len(shards) for shards in assigned.values()) == len(SHARDS)
    assert largest <= worst_ratio * len(SHARDS) / n_instances


@pytest.mark.parametrize(("n_names", "n"), [(0, 2), (1, 2), (9, 2), (9, 1)])
def test_ring_returns_distinct_and_stable_owners(n_names, n):
    """The owners must be distinct, and only keys of a leaving instance may move."""
    names = [f"entry-{index}" for index in range(n_names)]
    ring, smaller = HashRing(names), HashRing(names[1:])
    for key in SHARDS:
        owners = ring.owners(key, n)
        assert len(set(owners)) == min(n, n_names)
        if owners and names[0] not in owners:
            assert smaller.owners(key, n) == owners
