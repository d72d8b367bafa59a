"""Object store port over the platform's HTTP API."""

import asyncio
import logging
from collections.abc import Callable
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
    HISTORY_TRIMMED,
    NO_REPLICA,
    OBJECT_CONFLICT,
    STORE_UNAVAILABLE,
    STORE_WRITE_UNKNOWN,
    Failure,
)
from chestnuthall.core.versions import (
    EraTracker,
    EraVerdict,
    is_of_earlier_era,
    make_version,
    revision_of,
)
from chestnuthall.ports import ObjectListing, StoredObject, WatchBatch

_log = logging.getLogger(__name__)

# A watch occupies one connection while it waits; short calls use the others.
N_CONNECTIONS_MAX = 16
# Time allowed by default for the response to a watch beyond the time-out of the watch.
WATCH_MARGIN_MS = 1_000.0
# Maximum number of pages read per listing. A store that always announces another
# page would otherwise keep the reader in an endless loop.
N_PAGES_MAX = 1_000


class HttpObjectStore:
    """Client of the object store at ``address``, given as ``host:port``.

    ``dialect`` encodes requests and decodes responses. ``probes`` are TCP keepalive
    probes, which detect that the store has become unresponsive while a watch waits.

    Versions contain the era that the store stated with the revision. A version of an
    earlier era is never sent: a watch from it fails with ``HISTORY_TRIMMED``, also
    while it waits, and a conditional write with ``OBJECT_CONFLICT``. A response of an
    earlier era counts as lost. ``on_new_era`` is called with each era in which the
    store returned from a copy.

    The response to a watch may take ``watch_margin_ms`` beyond the watch's time-out.
    """

    def __init__(
        self,
        address: str,
        dialect: ObjectDialect | None = None,
        probes: TcpKeepAlive | None = None,
        on_new_era: Callable[[int], None] = lambda era: None,
        watch_margin_ms: float = WATCH_MARGIN_MS,
    ) -> None:
        self._dialect: ObjectDialect = dialect or VersionedDialect()
        self._watch_margin_ms = watch_margin_ms
        self._on_new_era = on_new_era
        self._eras = EraTracker()
        self._era_changed = asyncio.Event()
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
        if isinstance(stored, Failure):
            return stored
        if stored.name != name:
            return STORE_UNAVAILABLE.with_reason("the store sent another object")
        return self._in_current_era(stored)

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
            page_version = self._version(page.version)
            if is_of_earlier_era(first_version, page_version):
                # The pages of two eras do not make up one listing.
                listed, after, first_version = [], "", 0
                continue
            # A watch that starts at the version of the first page also reports the
            # changes made while the later pages were read.
            first_version = first_version or page_version
            listed += map(self._in_current_era, page.objects)
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
        """Create an object that must not exist yet."""
        request = self._dialect.create(kind, name, value)
        return _matching(await self._write(kind, request, timeout_ms), name)

    async def update(
        self, kind: str, name: str, value: str, version: int, timeout_ms: float
    ) -> StoredObject | Failure:
        """Update an object whose version must still be ``version``."""
        if self._is_outdated(version):
            return _outdated_condition()
        request = self._dialect.update(kind, name, value, revision_of(version))
        written = await self._write(kind, request, timeout_ms, version)
        return _matching(written, name, version)

    async def delete(
        self, kind: str, name: str, version: int, timeout_ms: float
    ) -> Failure | None:
        """Delete an object whose version must still be ``version``."""
        if self._is_outdated(version):
            return _outdated_condition()
        request = self._dialect.delete(kind, name, revision_of(version))
        result = await self._write(kind, request, timeout_ms, version)
        return result if isinstance(result, Failure) else None

    async def watch(
        self, kind: str, after_version: int, timeout_ms: float
    ) -> WatchBatch | Failure:
        """Wait for changes of a kind after a version; an empty batch on timeout."""
        if self._is_outdated(after_version):
            return _replaced_history()
        request = self._dialect.watch(kind, revision_of(after_version), timeout_ms)
        response = await self._exchange_in_era(
            request, timeout_ms + self._watch_margin_ms
        )
        if self._is_outdated(after_version):
            return _replaced_history()
        if isinstance(response, Failure):
            return _as_read_failure(response)
        batch = self._dialect.decode_watch(kind, response)
        if isinstance(batch, Failure):
            return batch
        return replace(
            batch,
            version=self._version(batch.version),
            changed=tuple(map(self._in_current_era, batch.changed)),
        )

    def _is_outdated(self, version: int) -> bool:
        return is_of_earlier_era(version, self._version(0))

    def _version(self, revision: int) -> int:
        return make_version(self._eras.era, revision)

    def _in_current_era(self, stored: StoredObject) -> StoredObject:
        """Return an object of the last response with versions of its era."""
        return replace(
            stored,
            version=self._version(stored.version),
            seen_version=self._version(stored.seen_version)
            if stored.seen_version
            else 0,
        )

    async def _write(
        self, kind: str, request: HttpRequest, timeout_ms: float, version: int = 0
    ) -> StoredObject | Failure:
        """Send a write, with the version that its condition names, if any."""
        response = await self._exchange(request, timeout_ms)
        if isinstance(response, Failure):
            if response.kind in (NO_REPLICA, CONNECTION_REFUSED):
                return STORE_UNAVAILABLE.with_reason(response.reason)
            return STORE_WRITE_UNKNOWN.with_reason(response.reason)
        written = self._dialect.decode_write(kind, response)
        if isinstance(written, Failure):
            return written
        if self._is_outdated(version):
            return STORE_WRITE_UNKNOWN.with_reason(
                "the store returned from a copy before the write"
            )
        return self._in_current_era(written)

    async def _exchange_in_era(
        self, request: HttpRequest, timeout_ms: float
    ) -> HttpResponse | Failure:
        """Send a request and return its response, or a failure in a new era.

        A store that returned from a copy would not report the changes that it made
        under revisions which it had given out before.
        """
        loop = asyncio.get_running_loop()
        exchange = loop.create_task(self._exchange(request, timeout_ms))
        changed = loop.create_task(self._era_changed.wait())
        try:
            await asyncio.wait((exchange, changed), return_when=asyncio.FIRST_COMPLETED)
        finally:
            changed.cancel()
            if not exchange.done():
                exchange.cancel()
        return exchange.result() if exchange.done() else _replaced_history()

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
                response = await connection.request(request)
        except TimeoutError:
            return STORE_WRITE_UNKNOWN.with_reason("the store did not answer in time")
        finally:
            self._pool.release(connection)
        if isinstance(response, Failure) or self._is_of_current_era(response):
            return response
        return STORE_WRITE_UNKNOWN.with_reason("the response is of an earlier era")

    def _is_of_current_era(self, response: HttpResponse) -> bool:
        """Record the era of a response; return whether the response may be used."""
        known_era = self._eras.era
        verdict = self._eras.observe(self._dialect.read_era(response))
        if verdict in (EraVerdict.EARLIER, EraVerdict.MISSING):
            _log.warning(
                "store response without the current era",
                extra={"verdict": verdict.name.lower(), "era": known_era},
            )
        if verdict is EraVerdict.NEW:
            _log.warning(
                "store returned from a copy",
                extra={"era": self._eras.era, "previous_era": known_era},
            )
            self._era_changed.set()
            self._era_changed = asyncio.Event()
            self._on_new_era(self._eras.era)
        return verdict is not EraVerdict.EARLIER


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


def _replaced_history() -> Failure:
    return HISTORY_TRIMMED.with_reason("the store has returned from a copy")


def _outdated_condition() -> Failure:
    return OBJECT_CONFLICT.with_reason(
        "the object was read before the store returned from a copy"
    )


def _as_read_failure(failure: Failure) -> Failure:
    return STORE_UNAVAILABLE.with_reason(failure.reason)
