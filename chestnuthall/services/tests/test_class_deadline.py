"""Guards against requests that run longer than the deadline of their class.

A request whose own deadline was later than that of its class was served until then,
long after its caller had given up.
"""

from dataclasses import replace

import pytest

from chestnuthall.core.model import Refusal
from chestnuthall.services.tests._harness import DEADLINE_MS, QueryHarness
from chestnuthall.standins.virtual_time import run_virtual


class AlwaysSlow(dict):
    """Delays every call of every shard beyond any deadline."""

    def pop(self, shard_id, default):
        return 1e6


@pytest.mark.parametrize(
    ("requested_ratio", "expected_ratio"),
    [
        pytest.param(10.0, 1.0, id="longer-than-class-deadline"),
        pytest.param(0.5, 0.5, id="shorter-than-class-deadline"),
    ],
)
def test_deadline_is_limited_to_that_of_the_class(requested_ratio, expected_ratio):
    """The deadline of a request is limited to that of its class."""

    async def scenario():
        harness = QueryHarness(seed=1)
        harness.upstreams.slow_ms = AlwaysSlow()
        request = harness.request("search")
        started_ms = request.arrived_ms
        with_deadline = replace(
            request, deadline_ms=started_ms + requested_ratio * DEADLINE_MS
        )
        outcome = await harness.query.serve(with_deadline)
        return outcome, harness.clock.now_ms() - started_ms

    outcome, elapsed_ms = run_virtual(scenario())
    assert isinstance(outcome, Refusal)
    assert elapsed_ms == pytest.approx(expected_ratio * DEADLINE_MS, abs=1.0)
