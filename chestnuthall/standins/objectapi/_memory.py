"""In-memory implementation of the object store port on the emulator's service."""

import asyncio

from chestnuthall.core.results import (
    HISTORY_TRIMMED,
    INVALID_REQUEST,
    OBJECT_CONFLICT,
    OBJECT_NOT_FOUND,
    RATE_LIMITED,
    STORE_UNAVAILABLE,
    STORE_WRITE_UNKNOWN,
    Failure,
    FailureKind,
)
from chestnuthall.ports import ObjectListing, StoredObject, WatchBatch
from chestnuthall.standins.objectapi._service import (
    Call,
    ConnectionDrop,
    DeleteCall,
    GetCall,
    ListCall,
    ObjectService,
    PutCall,
    Reply,
    WatchCall,
)

# The timeout of a watch call exceeds the watch's wait time by this margin.
WATCH_MARGIN_MS = 1_000.0

_KINDS: dict[int, FailureKind] = {
    400: INVALID_REQUEST,
    404: OBJECT_NOT_FOUND,
    410: HISTORY_TRIMMED,
    412: OBJECT_CONFLICT,
    413: INVALID_REQUEST,
    429: RATE_LIMITED,
}


class MemoryObjectStore:
    """A client of an ``ObjectService`` without any transport.

    Clients of the same service see each other's writes. While ``is_disconnected``
    is set, calls of this client are refused.
    """

    def __init__(self, service: ObjectService) -> None:
        self.service = service
        self.is_disconnected = False

    async def get(
        self, kind: str, name: str, timeout_ms: float
    ) -> StoredObject | Failure:
        """Read one object."""
        reply = await self._read(GetCall(kind, name), timeout_ms)
        return reply if isinstance(reply, Failure) else _to_stored_object(reply.body)

    async def list_kind(self, kind: str, timeout_ms: float) -> ObjectListing | Failure:
        """Read all objects of a kind."""
        reply = await self._read(ListCall(kind), timeout_ms)
        if isinstance(reply, Failure):
            return reply
        return ObjectListing(_to_stored_objects(reply.body["objects"]))

    async def create(
        self, kind: str, name: str, value: str, timeout_ms: float
    ) -> StoredObject | Failure:
        """Write an object that must not exist yet."""
        return await self._write(PutCall(kind, name, value, 0), timeout_ms)

    async def update(
        self, kind: str, name: str, value: str, version: int, timeout_ms: float
    ) -> StoredObject | Failure:
        """Write an object whose version must still be ``version``."""
        return await self._write(PutCall(kind, name, value, version), timeout_ms)

    async def delete(
        self, kind: str, name: str, version: int, timeout_ms: float
    ) -> Failure | None:
        """Delete an object whose version must still be ``version``."""
        result = await self._write(DeleteCall(kind, name, version), timeout_ms)
        return result if isinstance(result, Failure) else None

    async def watch(
        self, kind: str, after_version: int, timeout_ms: float
    ) -> WatchBatch | Failure:
        """Wait for changes of a kind after a version; an empty batch on timeout."""
        call = WatchCall(kind, after_version, timeout_ms)
        reply = await self._read(call, timeout_ms + WATCH_MARGIN_MS)
        if isinstance(reply, Failure):
            return reply
        body = reply.body
        return WatchBatch(
            body["version"],  # type: ignore[arg-type]
            _to_stored_objects(body["changed"]),
            tuple(body["deleted_names"]),  # type: ignore[arg-type]
        )

    async def _call(
        self, call: Call, timeout_ms: float
    ) -> Reply | ConnectionDrop | None:
        """Return the reply, or None if the call timed out."""
        if self.is_disconnected:
            return ConnectionDrop.REFUSED
        try:
            # ``asyncio.wait_for`` of Python 3.11 loses a cancellation that
            # arrives in the same iteration of the event loop as the result.
            async with asyncio.timeout(max(0.0, timeout_ms) / 1000.0):
                return await self.service.serve(call)
        except TimeoutError:
            return None

    async def _read(self, call: Call, timeout_ms: float) -> Reply | Failure:
        reply = await self._call(call, timeout_ms)
        if not isinstance(reply, Reply):
            return STORE_UNAVAILABLE.with_reason("the store did not answer")
        if reply.status == 200:
            return reply
        kind = _KINDS.get(reply.status, STORE_UNAVAILABLE)
        return kind.with_reason(f"the store answered with status {reply.status}")

    async def _write(
        self, call: PutCall | DeleteCall, timeout_ms: float
    ) -> StoredObject | Failure:
        reply = await self._call(call, timeout_ms)
        if reply is ConnectionDrop.REFUSED:
            return STORE_UNAVAILABLE.with_reason("the store refused the connection")
        if not isinstance(reply, Reply):
            return STORE_WRITE_UNKNOWN.with_reason("the store did not answer")
        if reply.status == 200:
            return _to_stored_object(reply.body)
        kind = _KINDS.get(reply.status, STORE_WRITE_UNKNOWN)
        return kind.with_reason(f"the store answered with status {reply.status}")


def _to_stored_object(body: dict[str, object]) -> StoredObject:
    return StoredObject(**body)  # type: ignore[arg-type]


def _to_stored_objects(bodies: object) -> tuple[StoredObject, ...]:
    return tuple(_to_stored_object(body) for body in bodies)  # type: ignore[attr-defined]
