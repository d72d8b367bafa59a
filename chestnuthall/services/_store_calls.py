"""Counts of the calls that an instance makes to the object store."""

from collections import Counter, deque

from chestnuthall.core.results import Failure
from chestnuthall.ports import (
    Clock,
    Metrics,
    ObjectListing,
    ObjectStore,
    StoredObject,
    WatchBatch,
)

WINDOW_MS = 60_000.0


class CountingObjectStore:
    """An object store that counts each call, as the platform does.

    A watch counts once, however long it waits.
    """

    def __init__(self, store: ObjectStore, metrics: Metrics, clock: Clock) -> None:
        self._store = store
        self._metrics = metrics
        self._clock = clock
        self._recent: deque[tuple[float, str]] = deque()

    def calls_in_last_minute(self) -> dict[str, int]:
        """Return the number of calls in the last minute by operation and kind."""
        self._drop_old()
        return dict(Counter(name for _, name in self._recent))

    def _drop_old(self) -> None:
        oldest_ms = self._clock.now_ms() - WINDOW_MS
        while self._recent and self._recent[0][0] <= oldest_ms:
            self._recent.popleft()

    def _count(self, operation: str, kind: str) -> None:
        self._drop_old()
        self._recent.append((self._clock.now_ms(), f"{operation} {kind}"))
        self._metrics.count(f"store_calls.{operation}.{kind}")

    async def get(
        self, kind: str, name: str, timeout_ms: float
    ) -> StoredObject | Failure:
        """Read one object."""
        self._count("get", kind)
        return await self._store.get(kind, name, timeout_ms)

    async def list_kind(self, kind: str, timeout_ms: float) -> ObjectListing | Failure:
        """Read all objects of a kind."""
        self._count("list", kind)
        return await self._store.list_kind(kind, timeout_ms)

    async def create(
        self, kind: str, name: str, value: str, timeout_ms: float
    ) -> StoredObject | Failure:
        """Write an object that must not exist yet."""
        self._count("put", kind)
        return await self._store.create(kind, name, value, timeout_ms)

    async def update(
        self, kind: str, name: str, value: str, version: int, timeout_ms: float
    ) -> StoredObject | Failure:
        """Write an object whose version must still be ``version``."""
        self._count("put", kind)
        return await self._store.update(kind, name, value, version, timeout_ms)

    async def delete(
        self, kind: str, name: str, version: int, timeout_ms: float
    ) -> Failure | None:
        """Delete an object whose version must still be ``version``."""
        self._count("delete", kind)
        return await self._store.delete(kind, name, version, timeout_ms)

    async def watch(
        self, kind: str, after_version: int, timeout_ms: float
    ) -> WatchBatch | Failure:
        """Wait for changes of a kind after a version; an empty batch on timeout."""
        self._count("watch", kind)
        return await self._store.watch(kind, after_version, timeout_ms)
