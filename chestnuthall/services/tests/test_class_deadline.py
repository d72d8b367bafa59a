"""Guards the deadline of a class against requests that ask for more."""

from dataclasses import replace

import pytest

from chestnuthall.core.model import Refusal
from chestnuthall.services.tests._world import DEADLINE_MS, World
from chestnuthall.standins.virtual_time import run_virtual


class AlwaysSlow(dict):
    """Slows every call of every shard beyond any deadline."""

    def pop(self, shard_id, default):
        return 1e6


@pytest.mark.parametrize(
    ("asked_ratio", "ends_ratio"),
    [
        pytest.param(10.0, 1.0, id="more-than-its-class"),
        pytest.param(0.5, 0.5, id="less-than-its-class"),
    ],
)
def test_request_ends_by_the_deadline_of_its_class(asked_ratio, ends_ratio):
    """A caller of the class gave up long before its answer came."""

    async def scenario():
        world = World(seed=1)
        world.upstreams.slow_ms = AlwaysSlow()
        request = world.request("search")
        started_ms = request.arrived_ms
        asked = replace(request, deadline_ms=started_ms + asked_ratio * DEADLINE_MS)
        outcome = await world.query.serve(asked)
        return outcome, world.clock.now_ms() - started_ms

    outcome, elapsed_ms = run_virtual(scenario())
    assert isinstance(outcome, Refusal)
    assert elapsed_ms == pytest.approx(ends_ratio * DEADLINE_MS, abs=1.0)
