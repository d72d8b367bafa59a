"""Object store port on the platform's HTTP interface."""

import asyncio
from urllib.parse import quote

from pydantic import BaseModel, ConfigDict, ValidationError

from chestnuthall.adapters.http import (
    ConnectionPool,
    HttpRequest,
    HttpResponse,
    PoolSettings,
)
from chestnuthall.core.results import (
    CONNECTION_REFUSED,
    HISTORY_TRIMMED,
    INVALID_REQUEST,
    NO_REPLICA,
    OBJECT_CONFLICT,
    OBJECT_NOT_FOUND,
    RATE_LIMITED,
    STORE_UNAVAILABLE,
    STORE_WRITE_UNKNOWN,
    Failure,
    FailureKind,
)
from chestnuthall.ports import StoredObject, WatchBatch

# A watch holds its connection while it waits; the rest serve short calls.
N_CONNECTIONS_MAX = 16
# Time that the platform may add to the wait that a watch asks for.
WATCH_MARGIN_MS = 1_000.0


# Statuses by which the platform says that a call had no effect.
_KINDS_OF_STATUS: dict[int, FailureKind] = {
    400: INVALID_REQUEST,
    404: OBJECT_NOT_FOUND,
    409: OBJECT_CONFLICT,
    410: HISTORY_TRIMMED,
    412: OBJECT_CONFLICT,
    413: INVALID_REQUEST,
    429: RATE_LIMITED,
}


class _ObjectModel(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)

    kind: str
    name: str
    version: int
    value: str

    def to_port(self) -> StoredObject:
        return StoredObject(self.kind, self.name, self.version, self.value)


class _ListModel(BaseModel):
    objects: tuple[_ObjectModel, ...]


class _WatchModel(BaseModel):
    version: int
    changed: tuple[_ObjectModel, ...]
    deleted_names: tuple[str, ...] = ()


class HttpObjectStore:
    """Object store at ``host:port``."""

    def __init__(self, address: str) -> None:
        self._pool = ConnectionPool(
            address, PoolSettings(n_connections_max=N_CONNECTIONS_MAX)
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    async def get(
        self, kind: str, name: str, timeout_ms: float
    ) -> StoredObject | Failure:
        """Read one object."""
        request = HttpRequest("GET", _object_path(kind, name))
        response = await self._exchange(request, timeout_ms)
        if isinstance(response, Failure):
            return _as_read_failure(response)
        return _read_object(response)

    async def list_kind(
        self, kind: str, timeout_ms: float
    ) -> tuple[StoredObject, ...] | Failure:
        """Read all objects of a kind."""
        request = HttpRequest("GET", f"/v1/objects/{quote(kind, safe='')}")
        response = await self._exchange(request, timeout_ms)
        if isinstance(response, Failure):
            return _as_read_failure(response)
        if response.status != 200:
            return _failure_of_status(response)
        try:
            listed = _ListModel.model_validate_json(response.body)
        except ValidationError:
            return STORE_UNAVAILABLE.because("the store sent an invalid list")
        return tuple(item.to_port() for item in listed.objects)

    async def create(
        self, kind: str, name: str, value: str, timeout_ms: float
    ) -> StoredObject | Failure:
        """Write an object that must not exist yet."""
        headers = {b"if-none-match": b"*"}
        return await self._write("PUT", kind, name, value, headers, timeout_ms)

    async def update(
        self, kind: str, name: str, value: str, version: int, timeout_ms: float
    ) -> StoredObject | Failure:
        """Write an object whose version must still be ``version``."""
        headers = {b"if-match": b"%d" % version}
        return await self._write("PUT", kind, name, value, headers, timeout_ms)

    async def delete(
        self, kind: str, name: str, version: int, timeout_ms: float
    ) -> Failure | None:
        """Delete an object whose version must still be ``version``."""
        headers = {b"if-match": b"%d" % version}
        result = await self._write("DELETE", kind, name, "", headers, timeout_ms)
        return result if isinstance(result, Failure) else None

    async def watch(
        self, kind: str, after_version: int, timeout_ms: float
    ) -> WatchBatch | Failure:
        """Wait for changes of a kind after a version; an empty batch on timeout."""
        target = (
            f"/v1/watch/{quote(kind, safe='')}"
            f"?after={after_version}&timeout_ms={timeout_ms:.0f}"
        )
        request = HttpRequest("GET", target)
        response = await self._exchange(request, timeout_ms + WATCH_MARGIN_MS)
        if isinstance(response, Failure):
            return _as_read_failure(response)
        if response.status != 200:
            return _failure_of_status(response)
        try:
            batch = _WatchModel.model_validate_json(response.body)
        except ValidationError:
            return STORE_UNAVAILABLE.because("the store sent an invalid watch batch")
        changed = tuple(item.to_port() for item in batch.changed)
        return WatchBatch(batch.version, changed, batch.deleted_names)

    async def _write(
        self,
        method: str,
        kind: str,
        name: str,
        value: str,
        headers: dict[bytes, bytes],
        timeout_ms: float,
    ) -> StoredObject | Failure:
        request = HttpRequest(
            method,
            _object_path(kind, name),
            {**headers, b"content-type": b"application/json"},
            value.encode(),
        )
        response = await self._exchange(request, timeout_ms)
        if isinstance(response, Failure):
            if response.kind in (NO_REPLICA, CONNECTION_REFUSED):
                return STORE_UNAVAILABLE.because(response.reason)
            return STORE_WRITE_UNKNOWN.because(response.reason)
        return _read_write_answer(response)

    async def _exchange(
        self, request: HttpRequest, timeout_ms: float
    ) -> HttpResponse | Failure:
        """Send one request; ``NO_REPLICA`` means that nothing was written."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + timeout_ms / 1000.0
        connection = await self._pool.acquire(timeout_ms)
        if isinstance(connection, Failure):
            return connection
        try:
            async with asyncio.timeout_at(ends_at_s):
                return await connection.request(request)
        except TimeoutError:
            return STORE_WRITE_UNKNOWN.because("the store did not answer in time")
        finally:
            self._pool.release(connection)


def _object_path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _as_read_failure(failure: Failure) -> Failure:
    return STORE_UNAVAILABLE.because(failure.reason)


def _read_write_answer(response: HttpResponse) -> StoredObject | Failure:
    """Return the object written, or what is known about a write without one.

    Only the statuses in the table prove that a write had no effect. After any
    other, such as a 5xx of the platform or of something in front of it, the
    write may have taken effect or may still do so.
    """
    if response.status == 200:
        try:
            return _ObjectModel.model_validate_json(response.body).to_port()
        except ValidationError:
            return STORE_WRITE_UNKNOWN.because("the store sent an invalid object")
    kind = _KINDS_OF_STATUS.get(response.status, STORE_WRITE_UNKNOWN)
    return kind.because(_reason_of(response))


def _read_object(response: HttpResponse) -> StoredObject | Failure:
    if response.status != 200:
        return _failure_of_status(response)
    try:
        return _ObjectModel.model_validate_json(response.body).to_port()
    except ValidationError:
        return STORE_UNAVAILABLE.because("the store sent an invalid object")


def _failure_of_status(response: HttpResponse) -> Failure:
    kind = _KINDS_OF_STATUS.get(response.status, STORE_UNAVAILABLE)
    return kind.because(_reason_of(response))


def _reason_of(response: HttpResponse) -> str:
    text = response.body.decode("utf-8", "replace")[:200]
    return f"status {response.status}: {text}"
