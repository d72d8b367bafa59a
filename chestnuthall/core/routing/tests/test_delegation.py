"""Guards which shards of a search are left to a peer."""

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
    ("own zone has all", ["xa", "xb", "x"], "", ""),
    ("own zone has none", ["ab", "ab", "ab"], "012", "ab"),
    ("own zone has some", ["xa", "ab", "xb", "ab"], "13", "ab"),
    ("one zone lacks few", ["a", "a", "a", "a", "b"], "01234", "a"),
    ("no zone has most", ["a", "a", "b", "b"], "", ""),
    ("a single one", ["xa", "a"], "", ""),
    ("without replicas", ["", "", "a"], "", ""),
]


@pytest.mark.parametrize(
    ("zones", "members", "peer_zones"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_combine_remote_shards(zones, members, peer_zones):
    """A set that no zone is nearer to would pay for a way that it does not save."""
    asked = []

    def peers_in(found):
        asked.append(found)
        return (Replica("p", "10.0.0.2:80", min(found)),) if found else ()

    shards = make_shards(*zones)
    combined = combine_remote_shards(shards, "x", peers_in)
    sets = [shard for shard in combined if shard.shards]
    single = [shard for shard in combined if not shard.shards]
    assert [m.shard_id for s in sets for m in s.shards] == [f"s{i}" for i in members]
    assert len(single) + len(members) == len(shards)
    if members:
        assert asked == [frozenset(peer_zones)]
        assert sets[0].n_documents == len(members)


def test_shards_stay_where_no_peer_is_known():
    shards = make_shards("a", "a", "a")
    assert combine_remote_shards(shards, "x", lambda zones: ()) == tuple(shards)
