"""Guards the choice of the shards of a search that are delegated to a peer.

The tests fail if shards with a replica in the own zone are delegated, or if shards
are delegated to a zone without replicas of most of them.
"""

import pytest

from chestnuthall.core.model import KeyRange, Replica, Shard
from chestnuthall.core.routing import combine_remote_shards


def make_shards(*zones_of_shards):
    """Return a shard for each string, with a replica in each of its zones."""
    return [
        Shard(
            f"s{i}",
            KeyRange("", ""),
            1,
            tuple(Replica(f"r{i}{zone}", "10.0.0.1:80", zone) for zone in zones),
        )
        for i, zones in enumerate(zones_of_shards)
    ]


# (case, zones of each shard's replicas, shards of the set, zones of its peers)
CASES = [
    ("all shards in own zone", ["xa", "xb", "x"], "", ""),
    ("no shard in own zone", ["ab", "ab", "ab"], "012", "ab"),
    ("some shards in own zone", ["xa", "ab", "xb", "ab"], "13", "ab"),
    ("one zone has most shards", ["a", "a", "a", "a", "b"], "01234", "a"),
    ("no zone has most shards", ["a", "a", "b", "b"], "", ""),
    ("single remote shard", ["xa", "a"], "", ""),
    ("shards without replicas", ["", "", "a"], "", ""),
]


@pytest.mark.parametrize(
    ("zones", "members", "peer_zones"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_combine_remote_shards(zones, members, peer_zones):
    """Without replicas in the peer's zone a set would not save traffic."""
    requested_zones = []

    def peers_in_zones(remote_zones):
        requested_zones.append(remote_zones)
        return (Replica("p", "10.0.0.2:80", min(remote_zones)),) if remote_zones else ()

    shards = make_shards(*zones)
    combined = combine_remote_shards(shards, "x", peers_in_zones)
    sets = [shard for shard in combined if shard.shards]
    single = [shard for shard in combined if not shard.shards]
    assert [m.shard_id for s in sets for m in s.shards] == [f"s{i}" for i in members]
    assert len(single) + len(members) == len(shards)
    if members:
        assert requested_zones == [frozenset(peer_zones)]
        assert sets[0].n_documents == len(members)


def test_shards_are_unchanged_without_peers():
    shards = make_shards("a", "a", "a")
    assert combine_remote_shards(shards, "x", lambda zones: ()) == tuple(shards)
