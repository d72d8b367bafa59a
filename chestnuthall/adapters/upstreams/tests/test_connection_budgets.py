"""Guards how many connections an instance keeps to replicas near and far."""

import asyncio

import pytest

from chestnuthall.adapters.clock import LoopClock
from chestnuthall.adapters.http import PoolSettings
from chestnuthall.adapters.searchapi import SearchCodec
from chestnuthall.adapters.upstreams import HttpShardCaller
from chestnuthall.core.model import Replica

# Nobody listens there, so that no connection is opened.
NEAR = Replica("near", "127.0.0.1:9", "a")
FAR = Replica("far", "127.0.0.2:9", "b")

# (case, budget, near: most and kept, far: most and kept)
BUDGETS = [
    ("enough for all", (3, 1.0, None), (3, 3), (3, 3)),
    ("scarce, kept by all", (1, 1.0, None), (2, 1), (2, 1)),
    ("scarce, kept by none", (1, 0.0, None), (2, 0), (2, 0)),
    ("scarce, part of the zone", (1, 1.0, 2), (2, 2), (2, 0)),
    ("scarce, one each in the zone", (1, 1.0, 1), (1, 1), (2, 0)),
]


@pytest.mark.parametrize(
    ("budget", "near", "far"),
    [case[1:] for case in BUDGETS],
    ids=[case[0] for case in BUDGETS],
)
def test_connections_to_each_replica(budget, near, far):
    """Half of the calls of a large fleet paid for a new connection."""

    async def scenario():
        settings = PoolSettings(connect_timeout_ms=10.0, idle_close_ms=1_000.0)
        caller = HttpShardCaller(LoopClock(), SearchCodec(), settings, "i", "a")
        n_connections, connected_ratio, n_connections_in_zone = budget
        caller.set_connection_budget(
            "s", n_connections, connected_ratio, n_connections_in_zone
        )
        for replica in (NEAR, FAR):
            caller.prepare(replica, "s")
        pools = [caller._pools[item.address] for item in (NEAR, FAR)]
        found = [(pool.n_connections_max, pool.n_idle_kept) for pool in pools]
        await asyncio.sleep(0.05)
        caller.close()
        return found

    assert asyncio.run(scenario()) == [near, far]
