"""Interface of the directories of upstreams that the query service uses."""

from typing import Protocol

from chestnuthall.core.model import PartitionMap, UpstreamGroup
from chestnuthall.core.routing import Router


class GroupDirectory(Protocol):
    """Provides the partition maps and the routers of the upstream groups."""

    def add_group(self, group: UpstreamGroup) -> None:
        """Create the router of a group, which keeps its replica statistics."""
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
        """Return a map of a snapshot that is still available, or None."""
        ...
