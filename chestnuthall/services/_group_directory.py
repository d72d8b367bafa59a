"""What the query service asks of a directory of upstreams."""

from typing import Protocol

from chestnuthall.core.model import PartitionMap, UpstreamGroup
from chestnuthall.core.routing import Router


class GroupDirectory(Protocol):
    """Knows the shards and replicas of each upstream group."""

    def add_group(self, group: UpstreamGroup) -> None:
        """Start to keep replica statistics for a group."""
        ...

    def router(self, group_name: str) -> Router:
        """Return the router of a group that was added."""
        ...

    def pin(
        self, group_name: str, excluded: tuple[int, ...] = ()
    ) -> PartitionMap | None:
        """Return the map that a query pins, without the excluded snapshots."""
        ...

    async def pin_replacement(
        self, group_name: str, unavailable_snapshot_ids: tuple[int, ...]
    ) -> PartitionMap | None:
        """Return a map of a snapshot that is not gone, or None."""
        ...
