"""Feed client port over HTTP."""

import asyncio
from urllib.parse import quote

from chestnuthall.adapters.feeds._models import decode_batch
from chestnuthall.adapters.feeds._server import AGE_MS_HEADER, AGE_MS_MAX, FEED_PATH
from chestnuthall.adapters.http import (
    ConnectionPool,
    HttpRequest,
    HttpResponse,
    PoolSettings,
    TcpKeepAlive,
)
from chestnuthall.core.results import (
    HISTORY_TRIMMED,
    NOT_READY,
    STORE_UNAVAILABLE,
    Failure,
)
from chestnuthall.ports import FeedAnswer

# A peer in the same region accepts a connection within a few ms, an unreachable one
# does not.
CONNECT_TIMEOUT_MS = 100.0
# One for each kind that is watched, and one for a snapshot.
N_CONNECTIONS_MAX = 5


class HttpFeedClient:
    """Reads the feeds of peers, which are identified by their addresses.

    ``watch_margin_ms`` is the time that a peer may take to respond to a watch in
    addition to the requested wait.
    """

    def __init__(
        self, watch_margin_ms: float, probes: TcpKeepAlive | None = None
    ) -> None:
        self._watch_margin_ms = watch_margin_ms
        self._probes = probes
        self._pools: dict[str, ConnectionPool] = {}

    def _pool(self, address: str) -> ConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            settings = PoolSettings(
                n_connections_max=N_CONNECTIONS_MAX,
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                probes=self._probes,
            )
            pool = self._pools[address] = ConnectionPool(address, settings)
        return pool

    def close(self) -> None:
        """Close the idle connections."""
        for pool in self._pools.values():
            pool.close()

    async def watch(
        self, address: str, kind: str, after_version: int, timeout_ms: float
    ) -> FeedAnswer | Failure:
        """Wait for changes after a version; return an empty batch on timeout."""
        query = f"?after={after_version}&wait_ms={timeout_ms:.0f}"
        response = await self._exchange(
            address, _feed_path(kind) + query, timeout_ms + self._watch_margin_ms
        )
        if isinstance(response, Failure):
            return response
        if response.status == 410:
            return HISTORY_TRIMMED.with_reason(
                "the peer no longer keeps changes that old"
            )
        return _decode_response(kind, response)

    async def snapshot(
        self, address: str, kind: str, timeout_ms: float
    ) -> FeedAnswer | Failure:
        """Return all objects of a kind, whatever their age."""
        response = await self._exchange(address, _feed_path(kind), timeout_ms)
        if isinstance(response, Failure):
            return response
        return _decode_response(kind, response)

    async def _exchange(
        self, address: str, target: str, timeout_ms: float
    ) -> HttpResponse | Failure:
        pool = self._pool(address)
        deadline_s = asyncio.get_running_loop().time() + timeout_ms / 1000.0
        connection = await pool.acquire(timeout_ms)
        if isinstance(connection, Failure):
            return STORE_UNAVAILABLE.with_reason(connection.reason)
        try:
            async with asyncio.timeout_at(deadline_s):
                response = await connection.request(HttpRequest("GET", target))
        except TimeoutError:
            # The late response would be read as the response to the next request.
            connection.close()
            return STORE_UNAVAILABLE.with_reason("the peer did not answer in time")
        finally:
            pool.release(connection)
        if isinstance(response, Failure):
            return STORE_UNAVAILABLE.with_reason(response.reason)
        return response


def _feed_path(kind: str) -> str:
    return FEED_PATH + quote(kind, safe="")


def _decode_response(kind: str, response: HttpResponse) -> FeedAnswer | Failure:
    if response.status == 503:
        return NOT_READY.with_reason("the peer has no current data from the store")
    if response.status != 200:
        return STORE_UNAVAILABLE.with_reason(
            f"the peer answered with status {response.status}"
        )
    batch = decode_batch(kind, response.body)
    if isinstance(batch, Failure):
        return batch
    try:
        age_ms = float(response.headers.get(AGE_MS_HEADER, b""))
    except ValueError:
        age_ms = AGE_MS_MAX
    return FeedAnswer(batch, age_ms)
