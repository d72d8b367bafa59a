"""Pool of keep-alive connections to one address, limited by a budget."""

import asyncio
from collections import deque
from dataclasses import dataclass

from chestnuthall.adapters.http._client import (
    ClientConnection,
    TcpKeepAlive,
    connect,
)
from chestnuthall.core.results import NO_REPLICA, Failure


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolSettings:
    """Limits of a connection pool."""

    n_connections_max: int = 4
    connect_timeout_ms: float = 1_000.0
    # Number of connections opened in advance; None means n_connections_max.
    n_connections_warm: int | None = None
    # Idle connections in excess of ``n_idle_kept`` are closed after this time; with
    # None they stay open.
    idle_close_ms: float | None = None
    probes: TcpKeepAlive | None = None


class ConnectionPool:
    """Connections to one address; no more than the budget are open.

    After the budget is lowered, excess connections that are in use are closed when
    they are released.
    """

    def __init__(self, address: str, settings: PoolSettings) -> None:
        self.address = address
        self.n_connections_max = settings.n_connections_max
        self._connect_timeout_ms = settings.connect_timeout_ms
        self._n_connections_warm = settings.n_connections_warm
        self._probes = settings.probes
        self._idle_close_ms = settings.idle_close_ms
        self.n_idle_kept = settings.n_connections_max
        self._idle: list[ClientConnection] = []
        self._n_open = 0
        self._is_closed = False
        self._waiters: deque[asyncio.Future[ClientConnection | Failure | None]]
        self._waiters = deque()

    @property
    def n_open(self) -> int:
        """Number of connections that are open or being opened."""
        return self._n_open

    async def acquire(self, timeout_ms: float) -> ClientConnection | Failure:
        """Return an idle connection or a new one, or wait until one is released."""
        connection = self.try_acquire_idle()
        if connection is not None:
            return connection
        if self._n_open < self.n_connections_max:
            return await self._open(timeout_ms)
        return await self._wait_for_release(timeout_ms)

    def try_acquire_idle(self) -> ClientConnection | None:
        """Return an idle connection, or None if there is none; never waits."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_idle:
                return connection
            self._n_open -= 1
        return None

    async def acquire_new(self, timeout_ms: float) -> ClientConnection | Failure:
        """Return a connection of which the other end was alive just now.

        It is opened, or it is one that another request has released.
        """
        if self._idle and self._n_open >= self.n_connections_max:
            self._idle.pop(0).close()
            self._n_open -= 1
        if self._n_open < self.n_connections_max:
            return await self._open(timeout_ms)
        return await self._wait_for_release(timeout_ms)

    async def _open(self, timeout_ms: float) -> ClientConnection | Failure:
        self._n_open += 1
        connection: ClientConnection | Failure | None = None
        try:
            connection = await connect(
                self.address,
                min(timeout_ms, self._connect_timeout_ms),
                self._probes,
            )
        finally:
            if not isinstance(connection, ClientConnection):
                self._release_slot()
        return connection

    async def _wait_for_release(self, timeout_ms: float) -> ClientConnection | Failure:
        waiter: asyncio.Future[ClientConnection | Failure | None]
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(max(0.0, timeout_ms) / 1000.0):
                connection = await waiter
        except TimeoutError:
            return NO_REPLICA.with_reason(
                f"no connection to {self.address} became free in time"
            )
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._return_unused(waiter.result())
            raise
        if connection is not None:
            return connection
        return await self.acquire(timeout_ms)

    def _return_unused(self, result: ClientConnection | Failure | None) -> None:
        if result is None:
            self._wake_waiter(None)
        elif isinstance(result, ClientConnection):
            self.release(result)

    def reject_waiting(self, failure: Failure) -> None:
        """Fail the requests that wait for a connection now."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(failure)

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool after its request completed or failed."""
        if not connection.is_idle or self._is_closed:
            connection.close()
            self._release_slot()
            return
        if self._n_open > self.n_connections_max:
            connection.close()
            self._release_slot()
            return
        if not self._wake_waiter(connection):
            connection.idle_since_s = asyncio.get_running_loop().time()
            self._idle.append(connection)

    def close_long_idle(self) -> None:
        """Close connections idle for ``idle_close_ms``, except ``n_idle_kept``."""
        if self._idle_close_ms is None:
            return
        cutoff_s = asyncio.get_running_loop().time() - self._idle_close_ms / 1000.0
        while len(self._idle) > self.n_idle_kept:
            if self._idle[0].idle_since_s > cutoff_s:
                return
            self._idle.pop(0).close()
            self._n_open -= 1

    def set_budget(self, n_connections_max: int) -> None:
        """Change the budget; idle connections in excess of it are closed at once.

        Excess connections that are in use are closed when they are released.
        """
        self.n_connections_max = n_connections_max
        while self._idle and self._n_open > n_connections_max:
            self._idle.pop(0).close()
            self._n_open -= 1
        for _ in range(n_connections_max - self._n_open):
            self._wake_waiter(None)

    async def warm_up(self) -> None:
        """Open connections up to the budget in advance.

        A call that has to open a connection itself takes up to 6 ms longer.
        """
        n_wanted = self.n_connections_max
        if self._n_connections_warm is not None:
            n_wanted = min(n_wanted, self._n_connections_warm, self.n_idle_kept)
        while self._n_open < n_wanted and not self._is_closed:
            connection = await self._open(self._connect_timeout_ms)
            if isinstance(connection, Failure):
                return
            self.release(connection)

    def _release_slot(self) -> None:
        self._n_open -= 1
        if self._n_open < self.n_connections_max:
            self._wake_waiter(None)

    def _wake_waiter(self, connection: ClientConnection | None) -> bool:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(connection)
                return True
        return False

    @property
    def has_open_idle(self) -> bool:
        """Whether any idle connection is still open."""
        return any(connection.is_open for connection in self._idle)

    async def try_open(self, timeout_ms: float) -> bool:
        """Open a connection and pool it; return whether that succeeded.

        Returns False without an attempt if the budget is used up.
        """
        if self._n_open >= self.n_connections_max:
            return False
        connection = await self._open(timeout_ms)
        if isinstance(connection, Failure):
            return False
        self.release(connection)
        return True

    def close(self) -> None:
        """Close idle connections now and the others when they are released."""
        self._is_closed = True
        for connection in self._idle:
            connection.close()
        self._n_open -= len(self._idle)
        self._idle.clear()
