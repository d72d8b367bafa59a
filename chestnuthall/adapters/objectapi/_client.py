"""Object store port over the platform's HTTP API."""

import asyncio
from dataclasses import replace

from chestnuthall.adapters.http import (
    ConnectionPool,
    HttpRequest,
    HttpResponse,
    PoolSettings,
    TcpKeepAlive,
)
from chestnuthall.adapters.objectapi._dialect import ObjectDialect, VersionedDialect
from chestnuthall.core.results import (
    CONNECTION_REFUSED,
    NO_REPLICA,
    STORE_UNAVAILABLE,
    STORE_WRITE_UNKNOWN,
    Failure,
)
from chestnuthall.ports import ObjectListing, StoredObject, WatchBatch

# A watch occupies one connection while it waits; short calls use the others.
N_CONNECTIONS_MAX = 16
# Time allowed for the response to a watch beyond the time-out that it requested.
WATCH_MARGIN_MS = 1_000.0
# Maximum number of pages read per listing. A store that always announces another
# page would otherwise keep the reader in an endless loop.
N_PAGES_MAX = 1_000


class HttpObjectStore:
    """Client of the object store at ``address``, given as ``host:port``.

    ``dialect`` encodes requests and decodes responses. ``probes`` are TCP keepalive
    probes, which detect that the store has become unresponsive while a watch waits.
    """

    def __init__(
        self,
        address: str,
        dialect: ObjectDialect | None = None,
        probes: TcpKeepAlive | None = None,
    ) -> None:
        self._dialect: ObjectDialect = dialect or VersionedDialect()
        self._pool = ConnectionPool(
            address,
            PoolSettings(n_connections_max=N_CONNECTIONS_MAX, probes=probes),
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    async def get(
        self, kind: str, name: str, timeout_ms: float
    ) -> StoredObject | Failure:
        """Read one object."""
        response = await self._exchange(self._dialect.get(kind, name), timeout_ms)
        if isinstance(response, Failure):
            return _as_read_failure(response)
        stored = self._dialect.decode_object(kind, name, response)
        if isinstance(stored, StoredObject) and stored.name != name:
            return STORE_UNAVAILABLE.with_reason("the store sent another object")
        return stored

    async def list_kind(self, kind: str, timeout_ms: float) -> ObjectListing | Failure:
        """Read all objects of a kind."""
        listed: list[StoredObject] = []
        after = ""
        first_version = 0
        for _ in range(N_PAGES_MAX):
            request = self._dialect.list_kind(kind, after)
            response = await self._exchange(request, timeout_ms)
            if isinstance(response, Failure):
                return _as_read_failure(response)
            page = self._dialect.decode_list(kind, response)
            if isinstance(page, Failure):
                return page
            # A watch that starts at the version of the first page also reports the
            # changes made while the later pages were read.
            first_version = first_version or page.version
            listed += page.objects
            if not page.next_cursor:
                objects = tuple(
                    replace(item, seen_version=first_version) for item in listed
                )
                return ObjectListing(objects, first_version)
            after = page.next_cursor
        return STORE_UNAVAILABLE.with_reason(f"the list of {kind!r} has too many pages")

    async def create(
        self, kind: str, name: str, value: str, timeout_ms: float
    ) -> StoredObject | Failure:
        """Write an object that must not exist yet."""
        request = self._dialect.create(kind, name, value)
        return _matching(await self._write(kind, request, timeout_ms), name)

    async def update(
        self, kind: str, name: str, value: str, version: int, timeout_ms: float
    ) -> StoredObject | Failure:
        """Write an object whose version must still be ``version``."""
        request = self._dialect.update(kind, name, value, version)
        written = await self._write(kind, request, timeout_ms)
        return _matching(written, name, version)

    async def delete(
        self, kind: str, name: str, version: int, timeout_ms: float
    ) -> Failure | None:
        """Delete an object whose version must still be ``version``."""
        request = self._dialect.delete(kind, name, version)
        result = await self._write(kind, request, timeout_ms)
        return result if isinstance(result, Failure) else None

    async def watch(
        self, kind: str, after_version: int, timeout_ms: float
    ) -> WatchBatch | Failure:
        """Wait for changes of a kind after a version; an empty batch on timeout."""
        request = self._dialect.watch(kind, after_version, timeout_ms)
        response = await self._exchange(request, timeout_ms + WATCH_MARGIN_MS)
        if isinstance(response, Failure):
            return _as_read_failure(response)
        return self._dialect.decode_watch(kind, response)

    async def _write(
        self, kind: str, request: HttpRequest, timeout_ms: float
    ) -> StoredObject | Failure:
        response = await self._exchange(request, timeout_ms)
        if isinstance(response, Failure):
            if response.kind in (NO_REPLICA, CONNECTION_REFUSED):
                return STORE_UNAVAILABLE.with_reason(response.reason)
            return STORE_WRITE_UNKNOWN.with_reason(response.reason)
        return self._dialect.decode_write(kind, response)

    async def _exchange(
        self, request: HttpRequest, timeout_ms: float
    ) -> HttpResponse | Failure:
        """Send one request and return its response.

        After the failures ``NO_REPLICA`` and ``CONNECTION_REFUSED``, the request was
        not sent, so that nothing was written.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_ms / 1000.0
        connection = await self._pool.acquire(timeout_ms)
        if isinstance(connection, Failure):
            return connection
        try:
            async with asyncio.timeout_at(deadline_s):
                return await connection.request(request)
        except TimeoutError:
            return STORE_WRITE_UNKNOWN.with_reason("the store did not answer in time")
        finally:
            self._pool.release(connection)


def _matching(
    written: StoredObject | Failure, name: str, version_min: int = 0
) -> StoredObject | Failure:
    """Return the result of a write, unless it is that of another one.

    A write that changes nothing keeps the version of the object.
    """
    if isinstance(written, Failure):
        return written
    if written.name != name or written.version < version_min:
        return STORE_WRITE_UNKNOWN.with_reason("the store answered another write")
    return written


def _as_read_failure(failure: Failure) -> Failure:
    return STORE_UNAVAILABLE.with_reason(failure.reason)
