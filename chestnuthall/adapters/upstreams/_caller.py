"""Shard caller port on pooled HTTP/1.1 connections."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from hashlib import blake2b

from chestnuthall.adapters.http import (
    ClientConnection,
    ConnectionPool,
    HttpRequest,
    HttpResponse,
    PoolSettings,
    ResponseTest,
    connect,
)
from chestnuthall.adapters.upstreams._codec import UpstreamCodec
from chestnuthall.core.model import (
    LeaveNotice,
    Replica,
    ShardAnswer,
    ShardCall,
    is_idempotent,
)
from chestnuthall.core.results import (
    ANSWER_CUT,
    CALL_MISMATCH,
    CALL_TIMED_OUT,
    CONNECTION_LOST,
    DEADLINE_PASSED,
    NO_REPLICA,
    REPLICA_REPLACED,
    Failure,
)
from chestnuthall.ports import CallCallback, CancelCall, Clock

_log = logging.getLogger(__name__)

# Connections to a replica if its connection limit is too small for two connections
# from each instance.
N_CONNECTIONS_SCARCE = 2
IDLE_CLOSE_INTERVAL_MS = 500.0
# Time in which the answer to a cancelled call has to arrive before its connection is
# closed. Opening another connection costs the upstream up to 6 ms.
LATE_ANSWER_TIMEOUT_MS = 1_000.0
CANCEL_TIMEOUT_MS = 100.0
# A probe that finds its replica unreachable is sent to another one.
PROBE_CONNECT_TIMEOUT_MS = 100.0
# Time in which a running process accepts a connection. The retry of a lost call is
# delayed by this check.
CRASH_CHECK_TIMEOUT_MS = 30.0
# Time in which all connections of a process are closed after it has ended.
CRASH_CLOSE_TIME_MS = 2.0


# Failures after which a connection is not used again: further responses on it may
# belong to other calls, or to the replica that had the address before.
_CLOSING_KINDS = frozenset({CALL_MISMATCH, REPLICA_REPLACED})


@dataclass(frozen=True, slots=True)
class _Budget:
    """Connections to each replica; see ``set_connection_budget``."""

    n_connections: int
    connected_ratio: float
    n_connections_in_zone: int | None = None


# Used until the group of a replica, and with it the budget, is known.
BUDGET_DEFAULT = _Budget(1, 0.0)


class HttpShardCaller:
    """Calls replicas over keep-alive connections, with a connection budget for each.

    The codec implements the protocol of the replicas. Budgets are set by group, or
    by shard if the shards of a group differ.
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
        self._same_zone_addresses: set[str] = set()
        # Time of the last response from each address.
        self._answered_ms_by_address: dict[str, float] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._leave_listeners: list[Callable[[LeaveNotice], None]] = []

    def add_leave_listener(self, listener: Callable[[LeaveNotice], None]) -> None:
        """Call ``listener`` for each statement of a response that a replica leaves.

        Responses that end no call count as well: those to cancelled calls, and those
        that belong to another call. The listener runs before a response is decoded.
        """
        self._leave_listeners.append(listener)

    def _report_leaves(self, replica: Replica, response: HttpResponse) -> None:
        for notice in self._codec.leave_notices(replica, response):
            for listener in self._leave_listeners:
                listener(notice)

    def set_connection_budget(
        self,
        group: str,
        n_connections: int,
        connected_ratio: float = 1.0,
        n_connections_in_zone: int | None = None,
    ) -> None:
        """Set how many connections may be open to each replica of a group.

        ``group`` may also be the id of a shard. If there is less than one connection
        for each instance, ``connected_ratio`` is the fraction of the replicas to which
        an idle connection stays open. ``n_connections_in_zone`` is the number of
        connections to each replica in the instance's own zone, if that has a separate
        budget.
        """
        budget = _Budget(n_connections, connected_ratio, n_connections_in_zone)
        is_known = self._budgets.get(group) == budget
        if is_known and self._pool_settings.idle_close_ms is not None:
            # Connections that were closed because they were idle are not reopened.
            return
        self._budgets[group] = budget
        for address, pool in self._pools.items():
            if self._group_of_address.get(address) == group:
                self._apply_budget(address, pool, budget)
                self._spawn(pool.warm_up())

    def set_default_budget(self, n_connections: int) -> None:
        """Set the connection budget of addresses whose group has none."""
        self._default_budget = _Budget(n_connections, 1.0)

    def _apply_budget(
        self, address: str, pool: ConnectionPool, budget: "_Budget"
    ) -> None:
        """Limit a pool and set how many of its connections stay open when idle.

        If a replica has fewer than two connections for each instance, one stays
        open to a fraction of the replicas, which differs between instances, and
        short-lived connections serve the other replicas. If the replicas in the
        instance's own zone have enough connections, idle ones stay open to these
        replicas only.
        """
        n_connections = budget.n_connections
        is_scarce = self._pool_settings.idle_close_ms is not None and n_connections < 2
        if (
            is_scarce
            and budget.n_connections_in_zone
            and address in self._same_zone_addresses
        ):
            is_scarce, n_connections = False, budget.n_connections_in_zone
        if not is_scarce:
            pool.n_idle_kept = n_connections
            pool.set_budget(n_connections)
            return
        is_kept_open = (
            not budget.n_connections_in_zone
            and _hash_to_ratio(self._name, address) < budget.connected_ratio
        )
        pool.n_idle_kept = 1 if is_kept_open else 0
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
            # The pool was opened to fetch a partition map, before the first call.
            self._group_of_address[address] = group
            budget = self._budgets.get(group, BUDGET_DEFAULT)
            pool.set_budget(budget.n_connections)
        return pool

    def open_connections(self, replica: Replica, shard_id: str) -> None:
        """Open connections to a replica ahead of the first call."""
        if replica.zone == self._zone:
            self._same_zone_addresses.add(replica.address)
        self._pool(replica.address, shard_id)

    def close_connections(self, address: str) -> None:
        """Close the connections to a replica that was removed."""
        pool = self._pools.pop(address, None)
        self._group_of_address.pop(address, None)
        self._same_zone_addresses.discard(address)
        self._answered_ms_by_address.pop(address, None)
        if pool is not None:
            pool.close()

    def reject_waiting(self, address: str) -> None:
        """Fail the calls that wait for a connection to a replica, as not sent."""
        pool = self._pools.get(address)
        if pool is not None:
            pool.reject_waiting(NO_REPLICA.with_reason(f"{address} leaves"))

    async def run(self) -> None:
        """Close connections that were idle for too long, until cancelled."""
        while True:
            await self._clock.sleep_ms(IDLE_CLOSE_INTERVAL_MS)
            for pool in self._pools.values():
                pool.close_long_idle()

    def _budget_key(self, call: ShardCall) -> str:
        if call.shard_id in self._budgets:
            return call.shard_id
        return call.request.group

    async def call(self, call: ShardCall) -> ShardAnswer | Failure:
        """Run one call and return the complete answer that echoes its id."""
        pool = self._pool(call.replica.address, self._budget_key(call))
        remaining_ms = call.deadline_ms - self._clock.now_ms()
        connection: ClientConnection | Failure | None
        if call.is_probe:
            connection = await pool.acquire_new(
                min(remaining_ms, PROBE_CONNECT_TIMEOUT_MS)
            )
        else:
            connection = pool.try_acquire_idle() or await pool.acquire(remaining_ms)
        if isinstance(connection, Failure):
            return connection
        remaining_ms = call.deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0.0:
            # The process may have stalled while it waited for the connection.
            pool.release(connection)
            return DEADLINE_PASSED.with_reason(
                "the deadline passed before the call was sent"
            )
        return await self._send_call(call, pool, connection, remaining_ms)

    def start_call(self, call: ShardCall, on_result: CallCallback) -> CancelCall | None:
        """Start a call if a connection is idle; return a function that cancels it.

        Returns None if the call needs a new connection or would have to wait for one,
        or if its deadline has passed. The call has no timeout: it has to be cancelled
        at its deadline.
        """
        if call.is_probe:
            return None
        pool = self._pool(call.replica.address, self._budget_key(call))
        remaining_ms = call.deadline_ms - self._clock.now_ms()
        connection = pool.try_acquire_idle() if remaining_ms > 0.0 else None
        if connection is None:
            return None
        is_cancelled = False

        def on_response(result: HttpResponse | Failure) -> None:
            if isinstance(result, HttpResponse):
                self._report_leaves(call.replica, result)
            if is_cancelled:
                return
            if isinstance(result, Failure):
                pool.release(connection)
                self._spawn(self._report_loss(pool, result, on_result))
                return
            on_result(self._decode_response(call, pool, connection, result))

        def cancel() -> None:
            nonlocal is_cancelled
            is_cancelled = True
            self._cancel_call(call, pool, connection)

        connection.send_with_callback(
            self._codec.encode_call(call, remaining_ms),
            on_response,
            self._foreign_test(call),
        )
        call.trace.is_written = True
        return cancel

    def _foreign_test(self, call: ShardCall) -> ResponseTest | None:
        """Return the test for responses to other calls, which are discarded.

        None if the call may be repeated: it is then sent again at once rather than
        kept waiting for an answer that may have been the one with a wrong id.
        """
        if is_idempotent(call.request):
            return None

        def is_foreign(response: HttpResponse) -> bool:
            if not self._codec.is_foreign(call, response):
                return False
            self._report_leaves(call.replica, response)
            _log.info(
                "foreign response discarded",
                extra={
                    "replica": call.replica.name,
                    "request_id": call.request.request_id,
                    "status": response.status,
                },
            )
            return True

        return is_foreign

    async def _report_loss(
        self, pool: ConnectionPool, failure: Failure, on_result: CallCallback
    ) -> None:
        on_result(await self._classify_loss(pool, failure))

    def _decode_response(
        self,
        call: ShardCall,
        pool: ConnectionPool,
        connection: ClientConnection,
        response: HttpResponse,
    ) -> ShardAnswer | Failure:
        """Decode a response and release its connection."""
        self._answered_ms_by_address[pool.address] = self._clock.now_ms()
        answer = self._codec.decode_answer(call, response)
        if isinstance(answer, Failure) and answer.kind in _CLOSING_KINDS:
            connection.close()
        pool.release(connection)
        return answer

    async def _send_call(
        self,
        call: ShardCall,
        pool: ConnectionPool,
        connection: ClientConnection,
        remaining_ms: float,
    ) -> ShardAnswer | Failure:
        loop = asyncio.get_running_loop()
        response: asyncio.Future[HttpResponse | Failure] = loop.create_future()

        def on_response(result: HttpResponse | Failure) -> None:
            if isinstance(result, HttpResponse):
                self._report_leaves(call.replica, result)
            if not response.done():
                response.set_result(result)

        connection.send_with_callback(
            self._codec.encode_call(call, remaining_ms),
            on_response,
            self._foreign_test(call),
        )
        call.trace.is_written = True
        # Each call runs this; a timer handle costs a fraction of asyncio.timeout.
        timer = loop.call_later(remaining_ms / 1000.0, _set_timed_out, response)
        try:
            result = await response
        except asyncio.CancelledError:
            self._cancel_call(call, pool, connection)
            raise
        finally:
            timer.cancel()
        if isinstance(result, Failure) and result.kind is CALL_TIMED_OUT:
            self._cancel_call(call, pool, connection)
            return result
        if isinstance(result, Failure):
            pool.release(connection)
            return await self._classify_loss(pool, result)
        return self._decode_response(call, pool, connection, result)

    def _cancel_call(
        self, call: ShardCall, pool: ConnectionPool, connection: ClientConnection
    ) -> None:
        """Cancel a call; release its connection once its late answer has been read.

        If the protocol has no message that cancels a call, the connection is closed,
        which makes the replica drop the call.
        """
        cancel_request = self._codec.encode_cancel(call)
        if cancel_request is None and self._codec.cancels_by_closing:
            connection.close()
            pool.release(connection)
            return
        loop = asyncio.get_running_loop()
        timer = loop.call_later(LATE_ANSWER_TIMEOUT_MS / 1000.0, connection.close)

        def release_connection() -> None:
            timer.cancel()
            pool.release(connection)

        connection.call_when_free(release_connection)
        if cancel_request is not None:
            self._spawn(self._send_cancel(cancel_request, pool))

    async def _send_cancel(
        self, cancel_request: HttpRequest, pool: ConnectionPool
    ) -> None:
        await self._exchange(pool, cancel_request, CANCEL_TIMEOUT_MS)

    async def _classify_loss(self, pool: ConnectionPool, failure: Failure) -> Failure:
        """Distinguish a lost connection from a process that has ended.

        A process that has ended has closed all of its connections and accepts no new
        one. If the process is running, the failure is ``ANSWER_CUT``.
        """
        if failure.kind is not CONNECTION_LOST:
            return failure
        if pool.has_open_idle:
            await self._clock.sleep_ms(CRASH_CLOSE_TIME_MS)
        if pool.has_open_idle or await pool.try_open(CRASH_CHECK_TIMEOUT_MS):
            return ANSWER_CUT.with_reason(failure.reason)
        return failure

    async def accepts_connections(self, replica: Replica, timeout_ms: float) -> bool:
        """Return whether a replica accepts a new connection, which is closed again.

        A replica that answers another call meanwhile is running, too: while its queue
        of new connections is full, it accepts none.
        """
        started_ms = self._clock.now_ms()
        connection = await connect(replica.address, timeout_ms)
        if isinstance(connection, Failure):
            return self.last_answer_ms(replica) > started_ms
        connection.close()
        return True

    def last_answer_ms(self, replica: Replica) -> float:
        """Return when the replica last answered any call; minus infinity for never."""
        return self._answered_ms_by_address.get(replica.address, float("-inf"))

    async def send_request(
        self, replica: Replica, group: str, request: HttpRequest, timeout_ms: float
    ) -> HttpResponse | Failure:
        """Send a request other than a shard call to a replica; return its response.

        ``group`` is used if the replica is not known yet; it is "" if the group is
        unknown, too.
        """
        group = self._group_of_address.get(replica.address) or group
        response = await self._exchange(
            self._pool(replica.address, group), request, timeout_ms
        )
        if isinstance(response, HttpResponse):
            self._report_leaves(replica, response)
        return response

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

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def close(self) -> None:
        """Close the idle connections."""
        for pool in self._pools.values():
            pool.close()


def _hash_to_ratio(name: str, address: str) -> float:
    """Return a hash of an instance and a replica address, from 0 to 1."""
    digest = blake2b(f"{name} {address}".encode(), digest_size=4).digest()
    return int.from_bytes(digest) / 2.0**32


def _set_timed_out(response: "asyncio.Future[HttpResponse | Failure]") -> None:
    if not response.done():
        response.set_result(
            CALL_TIMED_OUT.with_reason("the deadline passed during the call")
        )
