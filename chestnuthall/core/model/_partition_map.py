"""Partition maps: the key ranges and replicas of an index's shards."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Half-open range of keys from ``start`` to ``end``.

    An empty ``end`` means that the range has no upper bound.

    Examples
    --------
    >>> KeyRange("b", "d").contains("c")
    True
    >>> KeyRange("b", "").contains("a")
    False
    """

    start: str
    end: str

    def contains(self, key: str) -> bool:
        """Return whether the key is in the range."""
        return self.start <= key and (not self.end or key < self.end)


@dataclass(frozen=True, slots=True)
class Replica:
    """One upstream process that serves a shard.

    ``n_slots`` is the number of calls that it runs concurrently; 0 means that
    the value of its group applies. ``incarnation`` distinguishes restarts of a
    replica under the same name.
    """

    name: str
    address: str
    zone: str
    incarnation: int = 0
    n_slots: int = 0


@dataclass(frozen=True, slots=True)
class Shard:
    """One shard of an index with the replicas that serve it.

    A set of shards is represented as a shard with ``shards``; its replicas are
    peer instances that search all of the members.
    """

    shard_id: str
    key_range: KeyRange
    n_documents: int
    replicas: tuple[Replica, ...]
    shards: tuple["Shard", ...] = ()


@dataclass(frozen=True, slots=True)
class PartitionMap:
    """The shards of one snapshot of a group's index.

    ``snapshot_id`` increases by one with each published snapshot of the group.
    """

    group: str
    snapshot_id: int
    shards: tuple[Shard, ...]

    @property
    def n_documents(self) -> int:
        """Number of documents in all shards."""
        return sum(shard.n_documents for shard in self.shards)

    def shard_for_key(self, key: str) -> Shard | None:
        """Return the shard whose key range contains the key, or None."""
        for shard in self.shards:
            if shard.key_range.contains(key):
                return shard
        return None


def reachable_ratio(shards: Sequence[Shard]) -> float:
    """Return the fraction of the documents that are in shards with a replica.

    Examples
    --------
    >>> replica = Replica("r", "10.0.0.1:80", "a")
    >>> shards = (
    ...     Shard("s0", KeyRange("", "m"), 3, (replica,)),
    ...     Shard("s1", KeyRange("m", ""), 1, ()),
    ... )
    >>> reachable_ratio(shards)
    0.75
    """
    total = sum(item.n_documents for item in shards)
    if total == 0:
        return 1.0
    reachable = sum(item.n_documents for item in shards if item.replicas)
    return reachable / total
