"""Catalogue of the partition maps of a group, by snapshot."""

from collections.abc import Callable, Iterable

from chestnuthall.core.model import PartitionMap, Replica, Shard

N_SNAPSHOTS_KEPT = 3

ServesSnapshot = Callable[[Replica, int], bool]


class SnapshotCatalog:
    """The newest partition maps of one group.

    Older maps are kept for queries that have pinned them, up to a total of
    ``N_SNAPSHOTS_KEPT``.
    """

    def __init__(self, group: str) -> None:
        self.group = group
        self._maps: dict[int, PartitionMap] = {}

    def add(self, partition_map: PartitionMap) -> bool:
        """Add or replace a map; return whether its snapshot is new.

        A map of a known snapshot replaces the stored one, since the replicas of a
        snapshot change.
        """
        is_new = partition_map.snapshot_id not in self._maps
        self._maps[partition_map.snapshot_id] = partition_map
        for snapshot_id in sorted(self._maps)[:-N_SNAPSHOTS_KEPT]:
            del self._maps[snapshot_id]
        return is_new and partition_map.snapshot_id in self._maps

    @property
    def newest_id(self) -> int | None:
        """The newest known snapshot id, or None."""
        return max(self._maps, default=None)

    def maps(self) -> tuple[PartitionMap, ...]:
        """Return the kept maps, newest first."""
        return tuple(self._maps[key] for key in sorted(self._maps, reverse=True))

    def choose(
        self, serves_snapshot: ServesSnapshot, excluded: Iterable[int] = ()
    ) -> PartitionMap | None:
        """Return the map that a new query pins.

        This is the newest snapshot for which every shard has a replica that serves
        it, or else the one with the most reachable documents, since a snapshot that
        is still being loaded would lose coverage.
        """
        skipped = set(excluded)
        best: PartitionMap | None = None
        best_ratio = -1.0
        for partition_map in self.maps():
            if partition_map.snapshot_id in skipped:
                continue
            ratio = _reachable_ratio(partition_map, serves_snapshot)
            if ratio >= 1.0:
                return partition_map
            if ratio > best_ratio:
                best, best_ratio = partition_map, ratio
        return best


def _reachable_ratio(
    partition_map: PartitionMap, serves_snapshot: ServesSnapshot
) -> float:
    total = partition_map.n_documents
    if total == 0:
        return 1.0
    snapshot_id = partition_map.snapshot_id
    reachable = sum(
        shard.n_documents
        for shard in partition_map.shards
        if _is_reachable(shard, snapshot_id, serves_snapshot)
    )
    return reachable / total


def _is_reachable(
    shard: Shard, snapshot_id: int, serves_snapshot: ServesSnapshot
) -> bool:
    return any(serves_snapshot(replica, snapshot_id) for replica in shard.replicas)
