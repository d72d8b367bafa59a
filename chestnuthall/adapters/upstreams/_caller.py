"""Shard caller port on pooled HTTP/1.1 connections."""

import asyncio
from collections.abc import Coroutine
from dataclasses import replace

from chestnuthall.adapters.documents import read_partition_map
from chestnuthall.adapters.http import (
    ClientConnection,
    ConnectionPool,
    HttpRequest,
    HttpResponse,
    PoolSettings,
)
from chestnuthall.adapters.upstreams._codec import UpstreamCodec
from chestnuthall.adapters.upstreams._wire import SearchCodec, read_health
from chestnuthall.core.model import (
    PartitionMap,
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
    UPSTREAM_ERROR,
    Failure,
)
from chestnuthall.ports import Clock

# Until the group of a replica, and with it the budget, is known.
N_CONNECTIONS_DEFAULT = 1
# How long the connection of a cancelled call may wait for the rest of its
# answer. Opening another one costs the upstream up to 6 ms.
DRAIN_TIMEOUT_MS = 1_000.0
CANCEL_TIMEOUT_MS = 100.0
# A process that lives accepts a connection within this time; the retry of the call
# waits for it.
CRASH_CONNECT_MS = 30.0
# When a process ends, all of its connections end within this time.
CRASH_SPREAD_MS = 2.0


class HttpShardCaller:
    """Calls replicas over keep-alive connections within a budget for each.

    The codec speaks the replicas' protocol. Budgets are set by group, or by shard
    where the shards of a group differ.
    """

    def __init__(
        self,
        clock: Clock,
        codec: UpstreamCodec | None = None,
        pool_settings: PoolSettings | None = None,
    ) -> None:
        self._clock = clock
        self._codec: UpstreamCodec = codec or SearchCodec()
        self._pool_settings = pool_settings or PoolSettings()
        self._pools: dict[str, ConnectionPool] = {}
        self._group_of_address: dict[str, str] = {}
        self._budgets: dict[str, int] = {}
        self._background: set[asyncio.Task[None]] = set()

    def set_connection_budget(self, group: str, n_connections: int) -> None:
        """Set how many connections may be open to each replica of a group.

        ``group`` may also be the id of a shard.
        """
        if self._budgets.get(group) == n_connections:
            return
        self._budgets[group] = n_connections
        for address, pool in self._pools.items():
            if self._group_of_address.get(address) == group:
                pool.set_budget(n_connections)
                self._spawn(pool.warm_up())

    def _pool(self, address: str, group: str) -> ConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            n_connections = self._budgets.get(group, N_CONNECTIONS_DEFAULT)
            pool = ConnectionPool(
                address,
                replace(self._pool_settings, n_connections_max=n_connections),
            )
            self._pools[address] = pool
            self._group_of_address[address] = group
            self._spawn(pool.warm_up())
        elif group and not self._group_of_address[address]:
            # A map was fetched from the replica before its first call.
            self._group_of_address[address] = group
            pool.set_budget(self._budgets.get(group, N_CONNECTIONS_DEFAULT))
        return pool

    def prepare(self, replica: Replica, shard_id: str) -> None:
        """Open connections to a replica ahead of the first call."""
        self._pool(replica.address, shard_id)

    def forget(self, address: str) -> None:
        """Close the connections to a replica that has left."""
        pool = self._pools.pop(address, None)
        self._group_of_address.pop(address, None)
        if pool is not None:
            pool.close()

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
            return DEADLINE_PASSED.because("the deadline passed before the first byte")
        return await self._exchange_call(call, pool, connection, remaining_ms)

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
        answer = self._codec.read_answer(call, result)
        if isinstance(answer, Failure) and answer.kind is CALL_MISMATCH:
            # Whatever else is on the connection may belong to other calls too.
            connection.close()
        pool.release(connection)
        return answer

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
            return ANSWER_CUT.because(failure.reason)
        return failure

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
            return CALL_TIMED_OUT.because("the replica did not answer in time")
        finally:
            pool.release(connection)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def fetch_partition_map(
        self, replica: Replica, timeout_ms: float
    ) -> PartitionMap | Failure:
        """Return the newest partition map that a replica knows."""
        group = self._group_of_address.get(replica.address, "")
        pool = self._pool(replica.address, group)
        request = HttpRequest("GET", "/v1/partition-map")
        response = await self._exchange(pool, request, timeout_ms)
        if isinstance(response, Failure):
            return response
        if response.status != 200:
            return UPSTREAM_ERROR.because(f"status {response.status}")
        return read_partition_map(response.body)

    async def check_health(
        self, group: str, replica: Replica, timeout_ms: float
    ) -> bool | Failure:
        """Return whether the replica says that it drains."""
        pool = self._pool(replica.address, group)
        response = await self._exchange(
            pool, HttpRequest("GET", "/v1/health"), timeout_ms
        )
        if isinstance(response, Failure):
            return response
        return read_health(response)

    def close(self) -> None:
        """Close the idle connections."""
        for pool in self._pools.values():
            pool.close()


def _expire(response: "asyncio.Future[HttpResponse | Failure]") -> None:
    if not response.done():
        response.set_result(CALL_TIMED_OUT.because("the deadline passed"))
