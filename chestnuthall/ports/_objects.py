"""Port to the platform's object store."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from chestnuthall.core.results import Failure


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store with the version of its last write.

    Versions are positive and increase with every write to any object of the kind.
    ``value`` is the body, JSON text of at most one megabyte. ``seen_version`` is
    the store's version at the time of the read, from which a watch may start; 0 if
    the store does not report it.
    """

    kind: str
    name: str
    version: int
    value: str
    seen_version: int = 0


@dataclass(frozen=True, slots=True)
class ObjectListing:
    """All objects of a kind, in the order of their names.

    ``version`` is the store's version at the time of the read; 0 if the store does not
    report it.
    """

    objects: tuple[StoredObject, ...]
    version: int = 0

    @property
    def watch_version(self) -> int:
        """Version from which a watch reports all later changes; 0 if unknown."""
        newest = max((item.version for item in self.objects), default=0)
        return self.version or newest

    def __iter__(self) -> Iterator[StoredObject]:
        """Iterate over the objects."""
        return iter(self.objects)

    def __len__(self) -> int:
        """Return the number of objects."""
        return len(self.objects)


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes after a version; the next watch starts at ``version``."""

    version: int
    changed: tuple[StoredObject, ...]
    deleted_names: tuple[str, ...] = ()


class ObjectStore(Protocol):
    """Objects with versions, conditional updates and watches.

    Failures: ``OBJECT_NOT_FOUND``, ``OBJECT_CONFLICT``, ``RATE_LIMITED``,
    ``INVALID_REQUEST`` and ``STORE_UNAVAILABLE`` mean that a write had no
    effect; ``STORE_WRITE_UNKNOWN`` means that it may have taken effect or may do
    so later. A watch fails with ``HISTORY_TRIMMED`` if the changes after its
    version are no longer retained; the client then reads the objects again.
    """

    async def get(
        self, kind: str, name: str, timeout_ms: float
    ) -> StoredObject | Failure:
        """Read one object."""
        ...

    async def list_kind(self, kind: str, timeout_ms: float) -> ObjectListing | Failure:
        """Read all objects of a kind."""
        ...

    async def create(
        self, kind: str, name: str, value: str, timeout_ms: float
    ) -> StoredObject | Failure:
        """Create an object that must not exist yet."""
        ...

    async def update(
        self, kind: str, name: str, value: str, version: int, timeout_ms: float
    ) -> StoredObject | Failure:
        """Update an object whose version must still be ``version``."""
        ...

    async def delete(
        self, kind: str, name: str, version: int, timeout_ms: float
    ) -> Failure | None:
        """Delete an object whose version must still be ``version``."""
        ...

    async def watch(
        self, kind: str, after_version: int, timeout_ms: float
    ) -> WatchBatch | Failure:
        """Wait for changes after a version; return an empty batch on timeout."""
        ...
