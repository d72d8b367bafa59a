"""Shard caller port on pooled HTTP/1.1 connections."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, replace
from hashlib import blake2b

from chestnuthall.adapters.http import (
    ClientConnection,
    ConnectionPool,
    HttpRequest,
    HttpResponse,
    PoolSettings,
)
from chestnuthall.adapters.upstreams._codec import UpstreamCodec
from chestnuthall.core.model import (
    Replica,
    ShardAnswer,
    ShardCall,
)
from chestnuthall.core.results import (
    ANSWER_CUT,
    CALL_MISMATCH,
    CALL_TIMED_OUT,
    CONNECTION_LOST,
    DEADLINE_PASSED,
    Failure,
)
from chestnuthall.ports import CallCallback, CancelCall, Clock

# Connections to one replica where a fleet is too large for a fixed part of the cap.
N_CONNECTIONS_SCARCE = 2
IDLE_CLOSE_INTERVAL_MS = 500.0
# How long the connection of a cancelled call may wait for the rest of its
# answer. Opening another one costs the upstream up to 6 ms.
DRAIN_TIMEOUT_MS = 1_000.0
CANCEL_TIMEOUT_MS = 100.0
# A process that lives accepts a connection within this time; the retry of the call
# waits for it.
CRASH_CONNECT_MS = 30.0
# When a process ends, all of its connections end within this time.
CRASH_SPREAD_MS = 2.0


@dataclass(frozen=True, slots=True)
class _Budget:
    """Connections to each replica; see ``set_connection_budget``."""

    n_connections: int
    connected_ratio: float
    n_connections_in_zone: int | None = None


# Until the group of a replica, and with it the budget, is known.
BUDGET_DEFAULT = _Budget(1, 0.0)


class HttpShardCaller:
    """Calls replicas over keep-alive connections within a budget for each.

    The codec speaks the replicas' protocol. Budgets are set by group, or by shard
    where the shards of a group differ.
    """

    def __init__(
        self,
        clock: Clock,
        codec: UpstreamCodec,
        pool_settings: PoolSettings | None = None,
        name: str = "",
        zone: str = "",
    ) -> None:
        self._name = name
        self._zone = zone
        self._clock = clock
        self._codec = codec
        self._pool_settings = pool_settings or PoolSettings()
        self._pools: dict[str, ConnectionPool] = {}
        self._group_of_address: dict[str, str] = {}
        self._budgets: dict[str, _Budget] = {}
        self._default_budget = BUDGET_DEFAULT
        self._near_addresses: set[str] = set()
        self._background: set[asyncio.Task[None]] = set()

    def set_connection_budget(
        self,
        group: str,
        n_connections: int,
        connected_ratio: float = 1.0,
        n_connections_in_zone: int | None = None,
    ) -> None:
        """Set how many connections may be open to each replica of a group.

        ``group`` may also be the id of a shard. ``connected_ratio`` is the part of the
        replicas to which a connection stays open when it is idle, where there is
        not even one for each instance. ``n_connections_in_zone`` is the number for
        replicas in the own zone, if they have one of their own.
        """
        budget = _Budget(n_connections, connected_ratio, n_connections_in_zone)
        is_known = self._budgets.get(group) == budget
        if is_known and self._pool_settings.idle_close_ms is not None:
            # Connections that were closed for being idle are not opened again.
            return
        self._budgets[group] = budget
        for address, pool in self._pools.items():
            if self._group_of_address.get(address) == group:
                self._apply_budget(address, pool, budget)
                self._spawn(pool.warm_up())

    def set_default_budget(self, n_connections: int) -> None:
        """Set the connections to each address whose group has no budget."""
        self._default_budget = _Budget(n_connections, 1.0)

    def _apply_budget(
        self, address: str, pool: ConnectionPool, budget: "_Budget"
    ) -> None:
        """Bound a pool, and say how many of its connections stay when idle.

        Where a replica has not two connections for each instance, one stays open
        to a part of the replicas, which differs between instances, and short-lived
        ones serve the rest. If the own zone has enough, they stay open to its
        replicas only.
        """
        n_connections = budget.n_connections
        is_scarce = self._pool_settings.idle_close_ms is not None and n_connections < 2
        if (
            is_scarce
            and budget.n_connections_in_zone
            and address in self._near_addresses
        ):
            is_scarce, n_connections = False, budget.n_connections_in_zone
        if not is_scarce:
            pool.n_idle_kept = n_connections
            pool.set_budget(n_connections)
            return
        is_kept = (
            not budget.n_connections_in_zone
            and _place(self._name, address) < budget.connected_ratio
        )
        pool.n_idle_kept = 1 if is_kept else 0
        pool.set_budget(N_CONNECTIONS_SCARCE)

    def _pool(self, address: str, group: str) -> ConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            budget = self._budgets.get(group, self._default_budget)
            pool = ConnectionPool(
                address,
                replace(self._pool_settings, n_connections_max=budget.n_connections),
            )
            self._pools[address] = pool
            self._group_of_address[address] = group
            self._apply_budget(address, pool, budget)
            self._spawn(pool.warm_up())
        elif group and not self._group_of_address[address]:
            # A map was fetched from the replica before its first call.
            self._group_of_address[address] = group
            budget = self._budgets.get(group, BUDGET_DEFAULT)
            pool.set_budget(budget.n_connections)
        return pool

    def prepare(self, replica: Replica, shard_id: str) -> None:
        """Open connections to a replica ahead of the first call."""
        if replica.zone == self._zone:
            self._near_addresses.add(replica.address)
        self._pool(replica.address, shard_id)

    def forget(self, address: str) -> None:
        """Close the connections to a replica that has left."""
        pool = self._pools.pop(address, None)
        self._group_of_address.pop(address, None)
        self._near_addresses.discard(address)
        if pool is not None:
            pool.close()

    async def run(self) -> None:
        """Close long idle connections until cancelled."""
        while True:
            await self._clock.sleep_ms(IDLE_CLOSE_INTERVAL_MS)
            for pool in self._pools.values():
                pool.close_long_idle()

    def _budget_name(self, call: ShardCall) -> str:
        if call.shard_id in self._budgets:
            return call.shard_id
        return call.request.group

    async def call(self, call: ShardCall) -> ShardAnswer | Failure:
        """Run one call and return the whole answer that echoes its id."""
        pool = self._pool(call.replica.address, self._budget_name(call))
        connection: ClientConnection | Failure | None = pool.take_idle()
        if connection is None:
            connection = await pool.acquire(call.deadline_ms - self._clock.now_ms())
        if isinstance(connection, Failure):
            return connection
        remaining_ms = call.deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0.0:
            # The process may have been paused while it waited.
            pool.release(connection)
            return DEADLINE_PASSED.with_reason(
                "the deadline passed before the first byte"
            )
        return await self._exchange_call(call, pool, connection, remaining_ms)

    def start_call(self, call: ShardCall, on_result: CallCallback) -> CancelCall | None:
        """Start a call at once if a connection is idle, and return its cancellation.

        Returns None where the call has to wait for a connection. The caller
        cancels the call at its deadline.
        """
        pool = self._pool(call.replica.address, self._budget_name(call))
        remaining_ms = call.deadline_ms - self._clock.now_ms()
        connection = pool.take_idle() if remaining_ms > 0.0 else None
        if connection is None:
            return None
        is_cancelled = False

        def take(result: HttpResponse | Failure) -> None:
            if is_cancelled:
                return
            if isinstance(result, Failure):
                pool.release(connection)
                self._spawn(self._report_loss(pool, result, on_result))
                return
            on_result(self._read(call, pool, connection, result))

        def cancel() -> None:
            nonlocal is_cancelled
            is_cancelled = True
            self._abandon(call, pool, connection)

        connection.begin(self._codec.encode_call(call, remaining_ms), take)
        return cancel

    async def _report_loss(
        self, pool: ConnectionPool, failure: Failure, on_result: CallCallback
    ) -> None:
        on_result(await self._explain_loss(pool, failure))

    def _read(
        self,
        call: ShardCall,
        pool: ConnectionPool,
        connection: ClientConnection,
        response: HttpResponse,
    ) -> ShardAnswer | Failure:
        """Return what a response says, and give its connection back."""
        answer = self._codec.read_answer(call, response)
        if isinstance(answer, Failure) and answer.kind is CALL_MISMATCH:
            # Whatever else is on the connection may belong to other calls too.
            connection.close()
        pool.release(connection)
        return answer

    async def _exchange_call(
        self,
        call: ShardCall,
        pool: ConnectionPool,
        connection: ClientConnection,
        remaining_ms: float,
    ) -> ShardAnswer | Failure:
        response = connection.start(self._codec.encode_call(call, remaining_ms))
        # A timer handle costs a fraction of asyncio.timeout on this path.
        timer = asyncio.get_running_loop().call_later(
            remaining_ms / 1000.0, _expire, response
        )
        try:
            result = await response
        except asyncio.CancelledError:
            self._abandon(call, pool, connection)
            raise
        finally:
            timer.cancel()
        if isinstance(result, Failure) and result.kind is CALL_TIMED_OUT:
            self._abandon(call, pool, connection)
            return result
        if isinstance(result, Failure):
            pool.release(connection)
            return await self._explain_loss(pool, result)
        return self._read(call, pool, connection, result)

    def _abandon(
        self, call: ShardCall, pool: ConnectionPool, connection: ClientConnection
    ) -> None:
        """Keep the connection out of use until its late answer has been read.

        Where the protocol has no message that cancels a call, the connection is
        closed, which makes the replica drop it.
        """
        cancel = self._codec.encode_cancel(call)
        if cancel is None and self._codec.closes_to_cancel:
            connection.close()
            pool.release(connection)
            return
        loop = asyncio.get_running_loop()
        timer = loop.call_later(DRAIN_TIMEOUT_MS / 1000.0, connection.close)

        def give_back() -> None:
            timer.cancel()
            pool.release(connection)

        connection.when_free(give_back)
        if cancel is not None:
            self._spawn(self._send_cancel(cancel, pool))

    async def _send_cancel(self, cancel: HttpRequest, pool: ConnectionPool) -> None:
        await self._exchange(pool, cancel, CANCEL_TIMEOUT_MS)

    async def _explain_loss(self, pool: ConnectionPool, failure: Failure) -> Failure:
        """Tell a lost connection from a lost process.

        A process that has ended has lost all of its connections and accepts none.
        """
        if failure.kind is not CONNECTION_LOST:
            return failure
        if pool.has_live_idle:
            await self._clock.sleep_ms(CRASH_SPREAD_MS)
        if pool.has_live_idle or await pool.accepts_connections(CRASH_CONNECT_MS):
            return ANSWER_CUT.with_reason(failure.reason)
        return failure

    async def exchange(
        self, replica: Replica, group: str, request: HttpRequest, timeout_ms: float
    ) -> HttpResponse | Failure:
        """Send another request than a call to a replica; return its response.

        The group serves for a replica that is not known yet; "" if it is not known
        either.
        """
        group = self._group_of_address.get(replica.address) or group
        return await self._exchange(
            self._pool(replica.address, group), request, timeout_ms
        )

    async def _exchange(
        self, pool: ConnectionPool, request: HttpRequest, timeout_ms: float
    ) -> HttpResponse | Failure:
        connection = await pool.acquire(timeout_ms)
        if isinstance(connection, Failure):
            return connection
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                return await connection.request(request)
        except TimeoutError:
            return CALL_TIMED_OUT.with_reason("the replica did not answer in time")
        finally:
            pool.release(connection)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def close(self) -> None:
        """Close the idle connections."""
        for pool in self._pools.values():
            pool.close()


def _place(name: str, address: str) -> float:
    """Return a number from 0 to 1 that is fixed for an instance and a replica."""
    digest = blake2b(f"{name} {address}".encode(), digest_size=4).digest()
    return int.from_bytes(digest) / 2.0**32


def _expire(response: "asyncio.Future[HttpResponse | Failure]") -> None:
    if not response.done():
        response.set_result(CALL_TIMED_OUT.with_reason("the deadline passed"))
