"""Guards against a virtual-time loop that reorders timers or hangs in a deadlock."""

import asyncio

import pytest

from chestnuthall.standins.virtual_time import run_virtual


@pytest.mark.parametrize(
    ("delays_s", "order"),
    [
        pytest.param((3.0, 1.0, 2.0), [1, 2, 0], id="by-time"),
        pytest.param((1.0, 1.0), [0, 1], id="equal-times-keep-order"),
    ],
)
def test_timers_run_in_order(delays_s, order):
    async def record_order():
        finished = []

        async def wait(index, delay_s):
            await asyncio.sleep(delay_s)
            finished.append(index)

        await asyncio.gather(*(wait(i, d) for i, d in enumerate(delays_s)))
        return finished

    assert run_virtual(record_order()) == order


def test_deadlock_is_reported():
    async def wait_forever():
        await asyncio.get_running_loop().create_future()

    with pytest.raises(RuntimeError, match="every task waits"):
        run_virtual(wait_forever())
