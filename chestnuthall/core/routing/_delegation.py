"""Delegation of a search on remote shards to a peer in a zone of their replicas."""

from collections import Counter
from collections.abc import Callable, Sequence

from chestnuthall.core.model import KeyRange, Replica, Shard

# Smallest set that is delegated; a peer's answer for a single shard is as large as
# the answer of the replica itself.
N_SHARDS_IN_SET_MIN = 2
# Fraction of the shards of a set that must have a replica in a zone, for the set to be
# delegated to peers of that zone.
ZONE_REPLICAS_RATIO_MIN = 0.8

PeersInZones = Callable[[frozenset[str]], tuple[Replica, ...]]


def combine_remote_shards(
    shards: Sequence[Shard], own_zone: str, peers_in_zones: PeersInZones
) -> tuple[Shard, ...]:
    """Combine the shards without a replica in ``own_zone`` into one set for a peer.

    The answers of their replicas then stay within the peer's zone, and only one
    merged answer crosses zones. ``peers_in_zones`` returns the peers in some zones.
    The shards are returned unchanged if there are no peers, or if no zone has replicas
    of most of the shards.

    Examples
    --------
    >>> replicas = (Replica("r", "10.0.0.1:80", "a"),)
    >>> shards = [Shard(f"s{n}", KeyRange("", ""), 1, replicas) for n in range(3)]
    >>> peers = (Replica("p", "10.0.0.2:80", "a"),)
    >>> [one.shard_id for one in combine_remote_shards(shards, "b", lambda _: peers)]
    ['s0+2']
    """
    remote = [
        shard
        for shard in shards
        if shard.replicas and all(item.zone != own_zone for item in shard.replicas)
    ]
    if len(remote) < N_SHARDS_IN_SET_MIN:
        return tuple(shards)
    peers = peers_in_zones(_zones_with_replicas(remote))
    if not peers:
        return tuple(shards)
    remote_ids = {shard.shard_id for shard in remote}
    local = [shard for shard in shards if shard.shard_id not in remote_ids]
    return (_make_set(remote, peers), *local)


def _zones_with_replicas(shards: Sequence[Shard]) -> frozenset[str]:
    n_shards_of_zone = Counter(
        zone for shard in shards for zone in {item.zone for item in shard.replicas}
    )
    n_wanted = ZONE_REPLICAS_RATIO_MIN * len(shards)
    return frozenset(zone for zone, n in n_shards_of_zone.items() if n >= n_wanted)


def _make_set(members: Sequence[Shard], peers: tuple[Replica, ...]) -> Shard:
    return Shard(
        shard_id=f"{members[0].shard_id}+{len(members) - 1}",
        key_range=KeyRange("", ""),
        n_documents=sum(item.n_documents for item in members),
        replicas=peers,
        shards=tuple(members),
    )
