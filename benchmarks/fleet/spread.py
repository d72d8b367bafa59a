"""Time until a drain notice has reached every instance, by fleet size.

Run as ``python -m benchmarks.fleet.spread [SIZE ...]``. The fleet runs in virtual time
with one-way delays of 0.5 ms that vary by half.
"""

import asyncio
import json
import sys
import time
from functools import lru_cache
from random import Random

from chestnuthall.core.drains import DrainSignal
from chestnuthall.core.membership import MembershipSettings
from chestnuthall.daemon.tests import virtual_fleet
from chestnuthall.daemon.tests.virtual_fleet import VirtualFleet, VirtualInstance
from chestnuthall.services import Directory, DrainExchange
from chestnuthall.standins.virtual_time import run_virtual

# A size of 1,900 takes 101 s per seed, so it is run only on request.
SIZES = (9, 100, 400)
SEEDS = (1, 2, 3)
POLL_INTERVAL_S = 0.005


def _add_drains(instance: VirtualInstance, clock, listed) -> None:  # type: ignore[no-untyped-def]
    directory = Directory(None, None, clock, None, "zone-a", Random(1))  # type: ignore[arg-type]
    drains = DrainExchange(
        directory, clock, listed, instance.membership.disseminate_now
    )
    instance.membership.add_section(drains)
    instance.services["drains"] = drains


def _address(index: int) -> str:
    return f"10.0.{index // 256}.{index % 256}:1"


def _make_fleet(n_instances: int, seed: int) -> VirtualFleet:
    # The instances share this process, so each list entry is parsed only once.
    virtual_fleet.read_entry = lru_cache(None)(virtual_fleet.read_entry)
    # Just after its start the fleet knows few live instances; the setting makes it
    # probe at the interval of its full size anyway.
    interval_ms = MembershipSettings().interval_ms(n_instances)
    settings = MembershipSettings(
        probe_interval_ms=interval_ms, n_instances_at_base_interval=1_000_000
    )
    fleet = VirtualFleet(0, seed, _add_drains, settings)
    for index in range(n_instances):
        fleet.add_to_instance_list(f"entry-{index}", _address(index))
    for index in range(n_instances):
        fleet.start(f"entry-{index}", _address(index), is_listed=False)
    return fleet


async def _measure_dissemination(n_instances: int, seed: int) -> dict[str, float]:
    fleet = _make_fleet(n_instances, seed)
    await asyncio.sleep(2.0)
    origin = fleet.instances["entry-0"].services["drains"]
    n_before = fleet.network.n_messages
    origin.on_signal("replica-1", DrainSignal.ANSWER)
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    waiting = list(fleet.instances.values())
    n_waiting_after_200_ms = n_instances
    while waiting:
        await asyncio.sleep(POLL_INTERVAL_S)
        waiting = [
            item for item in waiting if not item.services["drains"].active_notices()
        ]
        if loop.time() - started_s < 0.2:
            n_waiting_after_200_ms = len(waiting)
        if loop.time() - started_s > 10.0:
            break
    elapsed_s = loop.time() - started_s
    n_messages = fleet.network.n_messages - n_before
    return {
        "seconds": round(elapsed_s, 3),
        "n_not_reached": len(waiting),
        "n_not_reached_after_200_ms": n_waiting_after_200_ms,
        "n_messages_per_instance": round(n_messages / n_instances, 2),
    }


def main() -> None:
    """Measure the fleet sizes given on the command line, or the default ones."""
    sizes = tuple(int(item) for item in sys.argv[1:]) or SIZES
    rows = []
    for size in sizes:
        for seed in SEEDS:
            started_s = time.monotonic()
            row = run_virtual(_measure_dissemination(size, seed))
            real_s = round(time.monotonic() - started_s, 1)
            rows.append({"n_instances": size, "seed": seed, **row, "real_s": real_s})
    print(json.dumps({"spread": rows}, indent=1))


if __name__ == "__main__":
    main()
