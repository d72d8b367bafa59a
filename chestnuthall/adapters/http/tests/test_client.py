"""Tests of the client and its pool with misbehaving servers.

Guards against responses that are delivered to the wrong request, and against
connections in excess of the budget.
"""

import asyncio

import pytest

from chestnuthall.adapters.http import (
    ConnectionPool,
    HttpRequest,
    PoolSettings,
)
from chestnuthall.core.results import CONNECTION_LOST, CONNECTION_REFUSED, Failure

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
REQUEST = HttpRequest("GET", "/")


async def with_server(script, use_pool):
    """Run ``use_pool`` on a pool of two connections to a scripted server.

    For each request, the script holds the bytes to write and whether the connection
    is closed after them.
    """
    replies = iter(script)
    open_writers = []

    async def serve(reader, writer):
        open_writers.append(writer)
        while await reader.readuntil(b"\r\n\r\n"):
            reply, must_close = next(replies, (b"", True))
            writer.write(reply)
            if must_close:
                writer.close()
                return

    async def serve_until_disconnect(reader, writer):
        try:
            await serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(serve_until_disconnect, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = ConnectionPool(f"127.0.0.1:{port}", PoolSettings(n_connections_max=2))
    try:
        return await use_pool(pool)
    finally:
        pool.close()
        for writer in open_writers:
            writer.close()
        server.close()


async def exchange(pool):
    connection = await pool.acquire(1000.0)
    if isinstance(connection, Failure):
        return connection.kind
    try:
        async with asyncio.timeout(1.0):
            result = await connection.request(REQUEST)
    finally:
        pool.release(connection)
    return result.kind if isinstance(result, Failure) else result.status


OK_KEEP_ALIVE = (OK, False)


@pytest.mark.parametrize(
    ("script", "results"),
    [
        pytest.param([OK_KEEP_ALIVE, OK_KEEP_ALIVE], [200, 200], id="keep-alive"),
        pytest.param(
            [(OK[:-1], True), OK_KEEP_ALIVE],
            [CONNECTION_LOST, 200],
            id="truncated-body",
        ),
        pytest.param([(b"garbage\r\n\r\n", False)], [CONNECTION_LOST], id="not-http"),
        pytest.param([(b"", True)], [CONNECTION_LOST], id="closed-without-reply"),
        pytest.param(
            [(OK + OK, False), OK_KEEP_ALIVE], [200, 200], id="duplicate-reply"
        ),
    ],
)
def test_exchanges(script, results):
    """A response must never be delivered to a request other than its own."""

    async def use_pool(pool):
        received = []
        for _ in results:
            received.append(await exchange(pool))
            await asyncio.sleep(0.02)
        return received, pool.n_open

    received, n_open = asyncio.run(with_server(script, use_pool))
    assert received == results
    assert n_open <= 2


@pytest.mark.parametrize("reply", [OK + OK, OK + b"x"])
def test_connection_with_unsolicited_bytes_is_not_used_again(reply):
    """A duplicate response must not be delivered to the next request."""
    errors = []

    async def use_pool(pool):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: errors.append(context))
        connection = await pool.acquire(1000.0)
        await connection.request(REQUEST)
        await asyncio.sleep(0.02)
        pool.release(connection)
        return connection.is_open

    assert asyncio.run(with_server([(reply, False)], use_pool)) is False
    assert errors == []


def test_budget_is_never_exceeded():
    """The connection limit of an upstream must hold while many calls wait."""

    async def use_pool(pool):
        peaks = []

        async def run_exchange():
            result = await exchange(pool)
            peaks.append(pool.n_open)
            return result

        results = await asyncio.gather(*(run_exchange() for _ in range(20)))
        return results, max(peaks)

    results, peak = asyncio.run(with_server([OK_KEEP_ALIVE] * 20, use_pool))
    assert results == [200] * 20
    assert peak <= 2


def test_refused_connection_is_reported():
    """The failure kind must show that nothing was sent to the server."""

    async def scenario():
        pool = ConnectionPool("127.0.0.1:1", PoolSettings())
        return await exchange(pool), pool.n_open

    assert asyncio.run(scenario()) == (CONNECTION_REFUSED, 0)


def test_connection_of_cancelled_request_is_busy_until_its_reply():
    """The late reply to a cancelled request must not reach the next request."""

    async def use_pool(pool):
        connection = await pool.acquire(1000.0)
        response = connection.send(REQUEST)
        response.cancel()
        is_idle_before = connection.is_idle
        freed = asyncio.Event()
        connection.call_when_free(freed.set)
        await asyncio.wait_for(freed.wait(), 1.0)
        return is_idle_before, connection.is_idle

    assert asyncio.run(with_server([OK_KEEP_ALIVE], use_pool)) == (False, True)
