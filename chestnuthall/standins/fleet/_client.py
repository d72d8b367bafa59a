"""A small JSON client for demos and tests."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

from chestnuthall.adapters.http import (
    ConnectionPool,
    HttpRequest,
    HttpResponse,
    PoolSettings,
)
from chestnuthall.core.results import CALL_TIMED_OUT, Failure

POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class Reply:
    """Status, JSON body and headers; status 0 means that the exchange failed."""

    status: int
    body: dict[str, Any]
    headers: dict[bytes, bytes]


class JsonClient:
    """Sends JSON to one address over pooled connections."""

    def __init__(self, address: str, n_connections_max: int = 64) -> None:
        self.address = address
        self._pool = ConnectionPool(
            address, PoolSettings(n_connections_max=n_connections_max)
        )

    async def send(
        self, method: str, target: str, body: object = None, timeout_s: float = 5.0
    ) -> Reply:
        """Send one request and return its reply."""
        data = b"" if body is None else json.dumps(body).encode()
        result = await self._exchange(HttpRequest(method, target, {}, data), timeout_s)
        if isinstance(result, Failure):
            return Reply(0, {"result": result.kind.name, "reason": result.reason}, {})
        try:
            decoded = json.loads(result.body) if result.body else {}
        except ValueError:
            decoded = {"text": result.body.decode("utf-8", "replace")}
        return Reply(result.status, decoded, result.headers)

    async def _exchange(
        self, request: HttpRequest, timeout_s: float
    ) -> HttpResponse | Failure:
        connection = await self._pool.acquire(timeout_s * 1000.0)
        if isinstance(connection, Failure):
            return connection
        try:
            async with asyncio.timeout(timeout_s):
                return await connection.request(request)
        except TimeoutError:
            return CALL_TIMED_OUT.with_reason("the server did not reply in time")
        finally:
            self._pool.release(connection)

    async def wait_for_status(
        self, target: str, status: int, timeout_s: float = 15.0
    ) -> None:
        """Poll a target until it answers with a status, or raise TimeoutError."""
        async with asyncio.timeout(timeout_s):
            reply = await self.send("GET", target, timeout_s=1.0)
            while reply.status != status:
                await asyncio.sleep(POLL_INTERVAL_S)
                reply = await self.send("GET", target, timeout_s=1.0)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()
