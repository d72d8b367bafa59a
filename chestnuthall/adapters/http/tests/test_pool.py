"""Tests of the number of pooled connections.

Guards against connections that stay open in excess of a lowered budget.
"""

import asyncio

import pytest

from chestnuthall.adapters.http import ConnectionPool, PoolSettings
from chestnuthall.core.results import NO_REPLICA, Failure


@pytest.mark.parametrize(
    ("budgets", "n_in_use", "n_open"),
    [
        pytest.param([3], 0, 3, id="warmed"),
        pytest.param([3, 1], 0, 1, id="lowered-while-idle"),
        pytest.param([4, 2], 3, 3, id="lowered-while-in-use"),
        pytest.param([1, 3], 0, 3, id="raised"),
    ],
)
def test_open_connections_follow_the_budget(budgets, n_in_use, n_open):
    """Connections in excess of a lowered budget must be closed on release."""

    async def scenario():
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        settings = PoolSettings(n_connections_max=budgets[0])
        pool = ConnectionPool(f"{host}:{port}", settings)
        await pool.warm_up()
        in_use = [await pool.acquire(100.0) for _ in range(n_in_use)]
        for budget in budgets[1:]:
            pool.set_budget(budget)
            await pool.warm_up()
        assert pool.n_open == n_open
        for connection in in_use:
            pool.release(connection)
        assert pool.n_open <= budgets[-1]
        pool.close()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("n_max", "n_idle", "n_open"),
    [
        pytest.param(3, 1, 2, id="another-one-is-opened"),
        pytest.param(2, 2, 2, id="an-idle-one-is-replaced"),
    ],
)
def test_new_connection_is_not_an_idle_one(n_max, n_idle, n_open):
    """An idle connection does not tell whether its server still runs."""

    async def scenario():
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        settings = PoolSettings(n_connections_max=n_max, n_connections_warm=n_idle)
        pool = ConnectionPool(f"{host}:{port}", settings)
        await pool.warm_up()
        idle = list(pool._idle)
        connection = await pool.acquire_new(100.0)
        assert connection not in idle
        assert pool.n_open == n_open
        pool.release(connection)
        server.close()
        await server.wait_closed()
        failure = await pool.acquire_new(100.0)
        assert isinstance(failure, Failure)
        pool.close()

    asyncio.run(scenario())


def test_requests_that_wait_for_a_connection_are_rejected():
    """A request that waits for a replica that leaves must be sent elsewhere."""

    async def scenario():
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        pool = ConnectionPool(f"{host}:{port}", PoolSettings(n_connections_max=1))
        connection = await pool.acquire(100.0)
        waiting = [asyncio.ensure_future(pool.acquire(5_000.0)) for _ in range(2)]
        await asyncio.sleep(0.01)
        waiting[0].cancel()
        pool.reject_waiting(NO_REPLICA.with_reason("it leaves"))
        results = await asyncio.gather(*waiting, return_exceptions=True)
        pool.release(connection)
        again = await pool.acquire(100.0)
        pool.close()
        server.close()
        return results[1], again

    rejected, again = asyncio.run(scenario())
    assert rejected == NO_REPLICA.with_reason("it leaves")
    assert not isinstance(again, Failure)
