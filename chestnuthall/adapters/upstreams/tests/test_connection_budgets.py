"""Tests of the number of connections to same-zone and remote replicas.

Guards against idle connections that are closed although the budget allows them:
half of the calls of a large fleet then had to open a new connection.
"""

import asyncio

import pytest

from chestnuthall.adapters.clock import LoopClock
from chestnuthall.adapters.http import PoolSettings
from chestnuthall.adapters.searchapi import SearchCodec
from chestnuthall.adapters.upstreams import HttpShardCaller
from chestnuthall.core.model import Replica

# No server listens at these addresses, so that no connection is opened.
SAME_ZONE = Replica("same-zone", "127.0.0.1:9", "a")
REMOTE = Replica("remote", "127.0.0.2:9", "b")

# (case, budget, same zone: limit and number kept when idle, remote: the same)
BUDGETS = [
    ("sufficient", (3, 1.0, None), (3, 3), (3, 3)),
    ("scarce, one kept to each replica", (1, 1.0, None), (2, 1), (2, 1)),
    ("scarce, none kept", (1, 0.0, None), (2, 0), (2, 0)),
    ("scarce, two each in the zone", (1, 1.0, 2), (2, 2), (2, 0)),
    ("scarce, one each in the zone", (1, 1.0, 1), (1, 1), (2, 0)),
]


@pytest.mark.parametrize(
    ("budget", "same_zone", "remote"),
    [case[1:] for case in BUDGETS],
    ids=[case[0] for case in BUDGETS],
)
def test_connections_to_each_replica(budget, same_zone, remote):
    """Idle connections must stay open to as many replicas as the budget allows."""

    async def scenario():
        settings = PoolSettings(connect_timeout_ms=10.0, idle_close_ms=1_000.0)
        caller = HttpShardCaller(LoopClock(), SearchCodec(), settings, "i", "a")
        n_connections, connected_ratio, n_connections_in_zone = budget
        caller.set_connection_budget(
            "s", n_connections, connected_ratio, n_connections_in_zone
        )
        for replica in (SAME_ZONE, REMOTE):
            caller.open_connections(replica, "s")
        pools = [caller._pools[item.address] for item in (SAME_ZONE, REMOTE)]
        limits = [(pool.n_connections_max, pool.n_idle_kept) for pool in pools]
        await asyncio.sleep(0.05)
        caller.close()
        return limits

    assert asyncio.run(scenario()) == [same_zone, remote]
