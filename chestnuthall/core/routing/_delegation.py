"""Shards of a search that a peer nearer to their replicas answers for."""

from collections import Counter
from collections.abc import Callable, Sequence

from chestnuthall.core.model import KeyRange, Replica, Shard

# A peer's answer for a single shard is as large as the replica's own.
N_SHARDS_OF_SET_MIN = 2
# A zone is nearer to a set if it has replicas of at least this part of its shards.
NEARER_RATIO_MIN = 0.8

PeersIn = Callable[[frozenset[str]], tuple[Replica, ...]]


def combine_remote_shards(
    shards: Sequence[Shard], own_zone: str, peers_in: PeersIn
) -> tuple[Shard, ...]:
    """Join the shards without a replica in ``own_zone`` into one set for a peer.

    The answers of their replicas stay within the peer's zone then, and one merged
    answer crosses. ``peers_in`` returns the peers in some zones; the shards stay as
    they are where there are none, or where no zone is nearer to most of them.

    Examples
    --------
    >>> replicas = (Replica("r", "10.0.0.1:80", "a"),)
    >>> shards = [Shard(f"s{n}", KeyRange("", ""), 1, replicas) for n in range(3)]
    >>> peers = (Replica("p", "10.0.0.2:80", "a"),)
    >>> [one.shard_id for one in combine_remote_shards(shards, "b", lambda _: peers)]
    ['s0+2']
    """
    far = [
        shard
        for shard in shards
        if shard.replicas and all(item.zone != own_zone for item in shard.replicas)
    ]
    if len(far) < N_SHARDS_OF_SET_MIN:
        return tuple(shards)
    peers = peers_in(_zones_nearer(far))
    if not peers:
        return tuple(shards)
    far_ids = {shard.shard_id for shard in far}
    near = [shard for shard in shards if shard.shard_id not in far_ids]
    return (_join(far, peers), *near)


def _zones_nearer(shards: Sequence[Shard]) -> frozenset[str]:
    n_shards_of_zone = Counter(
        zone for shard in shards for zone in {item.zone for item in shard.replicas}
    )
    n_wanted = NEARER_RATIO_MIN * len(shards)
    return frozenset(zone for zone, n in n_shards_of_zone.items() if n >= n_wanted)


def _join(members: Sequence[Shard], peers: tuple[Replica, ...]) -> Shard:
    return Shard(
        shard_id=f"{members[0].shard_id}+{len(members) - 1}",
        key_range=KeyRange("", ""),
        n_documents=sum(item.n_documents for item in members),
        replicas=peers,
        shards=tuple(members),
    )
