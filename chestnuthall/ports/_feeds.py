"""What instances hand one another of the objects that they have read."""

from typing import Protocol

from chestnuthall.core.results import Failure
from chestnuthall.ports._objects import StoredObject, WatchBatch


class PeerFeeds(Protocol):
    """Reads the objects that peers know.

    A peer whose own knowledge is too old refuses; see ``ObjectFeed``.
    """

    async def watch(
        self, address: str, kind: str, after_version: int, timeout_ms: float
    ) -> WatchBatch | Failure:
        """Wait for changes after a version; an empty batch on timeout."""
        ...

    async def snapshot(
        self, address: str, kind: str, timeout_ms: float
    ) -> tuple[StoredObject, ...] | Failure:
        """Return all objects of a kind, whatever their age."""
        ...


class FeedSource(Protocol):
    """Changes of one kind of object that this instance hands to its peers."""

    async def watch(
        self, after_version: int, timeout_ms: float
    ) -> WatchBatch | Failure:
        """Return the changes after a version once there are any, or nothing."""
        ...
