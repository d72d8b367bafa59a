"""Tests of the number of pooled connections.

Guards against connections that stay open in excess of a lowered budget.
"""

import asyncio

import pytest

from chestnuthall.adapters.http import ConnectionPool, PoolSettings


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
