"""Feeds, through which instances exchange objects that they have read."""

from dataclasses import dataclass
from typing import Protocol

from chestnuthall.core.results import Failure
from chestnuthall.ports._objects import WatchBatch


@dataclass(frozen=True, slots=True)
class FeedAnswer:
    """Changes, or all objects of a kind, and the age of that state.

    ``age_ms`` is the time since the store last confirmed that the state is
    current.
    """

    batch: WatchBatch
    age_ms: float


class FeedClient(Protocol):
    """Reads objects from peers."""

    async def watch(
        self, address: str, kind: str, after_version: int, timeout_ms: float
    ) -> FeedAnswer | Failure:
        """Wait for changes after a version; return an empty batch on timeout.

        A peer refuses if it does not read the store itself, or if the store has not
        confirmed its state recently.
        """
        ...

    async def snapshot(
        self, address: str, kind: str, timeout_ms: float
    ) -> FeedAnswer | Failure:
        """Return all objects of a kind, whatever their age."""
        ...


class FeedSource(Protocol):
    """Objects of one kind that this instance provides to its peers."""

    async def watch(
        self, after_version: int, timeout_ms: float
    ) -> FeedAnswer | Failure:
        """Wait for changes after a version; return an empty batch on timeout."""
        ...

    def snapshot(self) -> FeedAnswer:
        """Return all objects and the version from which to watch."""
        ...
