"""A feed of the store's objects of one kind, for peers to watch."""

import asyncio
from collections import deque
from collections.abc import Sequence
from dataclasses import replace

from chestnuthall.core.results import HISTORY_TRIMMED, STORE_UNAVAILABLE, Failure
from chestnuthall.core.versions import is_of_earlier_era
from chestnuthall.ports import Clock, FeedAnswer, StoredObject, WatchBatch

# Batches of changes kept for peers; a peer that is further behind reads the store.
N_BATCHES_KEPT = 64


class ObjectFeed:
    """Objects of one kind with their latest changes.

    ``confirm`` records when the store confirmed that nothing else has changed. A
    watch is served only while that is at most ``age_max_ms`` ago, since a peer that
    follows this instance has no other source of changes.

    The changes between two eras of the store are not known, as what the peer has read
    may be lost. A watch from an earlier era returns an empty batch of the current one,
    upon which the peer reads all objects again.
    """

    def __init__(self, clock: Clock, age_max_ms: float) -> None:
        self._clock = clock
        self._age_max_ms = age_max_ms
        self._objects: dict[str, StoredObject] = {}
        self._batches: deque[WatchBatch] = deque()
        self._complete_from_version = 0
        self._confirmed_ms = float("-inf")
        self._changed = asyncio.Event()
        self.version = 0

    @property
    def is_loaded(self) -> bool:
        """Whether the objects have been read."""
        return self.version > 0

    @property
    def age_ms(self) -> float:
        """Time since the store confirmed the contents."""
        return self._clock.now_ms() - self._confirmed_ms

    def confirm(self, age_ms: float = 0.0) -> None:
        """Record that the store confirmed the contents ``age_ms`` ago."""
        confirmed_ms = self._clock.now_ms() - age_ms
        self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)

    def replace_all(self, objects: Sequence[StoredObject], version: int) -> None:
        """Replace the contents by a full listing; the differences become a batch."""
        if version < self.version:
            return
        changed = tuple(item for item in objects if self._is_newer(item))
        names = {item.name for item in objects}
        deleted = tuple(name for name in self._objects if name not in names)
        if not self.is_loaded or is_of_earlier_era(self.version, version):
            self._batches.clear()
            self._complete_from_version = version
        self.apply(WatchBatch(version, changed, deleted))

    def _is_newer(self, item: StoredObject) -> bool:
        known = self._objects.get(item.name)
        return known is None or known.version < item.version

    def apply(self, batch: WatchBatch) -> None:
        """Apply a batch of changes, and wake the watches that wait for one."""
        for item in batch.changed:
            self._objects[item.name] = item
        for name in batch.deleted_names:
            self._objects.pop(name, None)
        self.version = max(self.version, batch.version)
        if not batch.changed and not batch.deleted_names:
            return
        self._batches.append(batch)
        if len(self._batches) > N_BATCHES_KEPT:
            self._complete_from_version = self._batches.popleft().version
        self._changed.set()
        self._changed = asyncio.Event()

    def snapshot(self) -> FeedAnswer:
        """Return all objects with the version from which to watch."""
        objects = tuple(
            replace(item, seen_version=self.version) for item in self._objects.values()
        )
        return FeedAnswer(WatchBatch(self.version, objects), self.age_ms)

    async def watch(
        self, after_version: int, timeout_ms: float
    ) -> FeedAnswer | Failure:
        """Wait for changes after a version; an empty batch on timeout."""
        ends_at_ms = self._clock.now_ms() + timeout_ms
        while True:
            if not self.is_loaded or self.age_ms > self._age_max_ms:
                return STORE_UNAVAILABLE.with_reason(
                    "the store has not confirmed the feed recently"
                )
            if is_of_earlier_era(self.version, after_version):
                return STORE_UNAVAILABLE.with_reason(
                    "the store has returned from a copy since the feed was read"
                )
            if is_of_earlier_era(after_version, self.version):
                return FeedAnswer(WatchBatch(self.version, ()), self.age_ms)
            if after_version < self._complete_from_version:
                return HISTORY_TRIMMED.with_reason("the changes are no longer kept")
            batch = self._changes_after(after_version)
            left_ms = ends_at_ms - self._clock.now_ms()
            if batch.changed or batch.deleted_names or left_ms <= 0.0:
                return FeedAnswer(batch, self.age_ms)
            # The wait is split, so that the age is checked while nothing changes.
            await self._wait_changed(min(left_ms, self._age_max_ms / 4.0))

    async def _wait_changed(self, timeout_ms: float) -> None:
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                await self._changed.wait()
        except TimeoutError:
            return

    def _changes_after(self, after_version: int) -> WatchBatch:
        """Return the last state of each object that changed after a version."""
        changed: dict[str, StoredObject] = {}
        deleted: dict[str, None] = {}
        for batch in self._batches:
            if batch.version <= after_version:
                continue
            for name in batch.deleted_names:
                changed.pop(name, None)
                deleted[name] = None
            for item in batch.changed:
                deleted.pop(item.name, None)
                changed[item.name] = item
        version = max(self.version, after_version)
        return WatchBatch(version, tuple(changed.values()), tuple(deleted))
