"""What instances hand one another of the objects that they have read."""

from dataclasses import dataclass
from typing import Protocol

from chestnuthall.core.results import Failure
from chestnuthall.ports._objects import WatchBatch


@dataclass(frozen=True, slots=True)
class FeedAnswer:
    """Changes, or all objects of a kind, and when the store confirmed them.

    ``age_ms`` is the time since the store said that nothing else has changed.
    """

    batch: WatchBatch
    age_ms: float


class FeedClient(Protocol):
    """Reads the objects that peers know."""

    async def watch(
        self, address: str, kind: str, after_version: int, timeout_ms: float
    ) -> FeedAnswer | Failure:
        """Wait for changes after a version; an empty batch on timeout.

        A peer that does not read the store itself, or has no news of it, refuses.
        """
        ...

    async def snapshot(
        self, address: str, kind: str, timeout_ms: float
    ) -> FeedAnswer | Failure:
        """Return all objects of a kind, whatever their age."""
        ...


class FeedSource(Protocol):
    """Objects of one kind that this instance hands to its peers."""

    async def watch(
        self, after_version: int, timeout_ms: float
    ) -> FeedAnswer | Failure:
        """Return the changes after a version once there are any, or nothing."""
        ...

    def snapshot(self) -> FeedAnswer:
        """Return all objects with the version from which to follow."""
        ...
