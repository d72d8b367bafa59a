"""Tests the records that instances keep of requests that lost replicas.

Guards against a change that is lost while an earlier one is being written.
"""

import asyncio
from random import Random

import pytest

from chestnuthall.core.model import Replica
from chestnuthall.core.quarantine import QuarantineRegistry, QuarantineSettings
from chestnuthall.services import QuarantineRecords
from chestnuthall.services.tests._harness import LoopTimeClock
from chestnuthall.services.tests.test_quarantine_over_time import Objects, StoreClient
from chestnuthall.standins.virtual_time import run_virtual


def lose_replica(registry, number):
    now_ms = LoopTimeClock().now_ms()
    replica = Replica(f"r{number}", f"r{number}", "z")
    registry.record_loss("f", replica, "s", now_ms, now_ms, is_probe=number > 0)
    registry.end_run("f", f"q{number}", f"q{number}", now_ms, has_lost_replica=True)


# (case, seconds from the suspicion to the quarantine); a write takes 4 ms
DELAYS = [
    ("before the write", 0.0),
    ("during the write", 0.002),
    ("after the write", 0.02),
]


@pytest.mark.parametrize(
    "delay_s", [case[1] for case in DELAYS], ids=[case[0] for case in DELAYS]
)
def test_quarantine_is_written_whenever_it_follows_the_suspicion(delay_s):
    async def scenario():
        objects = Objects()
        clock = LoopTimeClock()
        registry = QuarantineRegistry(QuarantineSettings())
        records = QuarantineRecords(
            registry,
            StoreClient(objects),
            clock,
            Random(1),
            lambda stored: stored.value,
            lambda record: record,
            4_000.0,
        )
        task = asyncio.get_running_loop().create_task(records.run())
        await asyncio.sleep(1.0)
        lose_replica(registry, 0)
        await asyncio.sleep(delay_s)
        lose_replica(registry, 1)
        await asyncio.sleep(3.0)
        task.cancel()
        return objects.by_name["f"].value

    assert run_virtual(scenario()).is_quarantined
