"""Processor time that one instance spends on the fleet, by its size.

Run as ``python -m benchmarks.fleet.idle``. It counts the decisions only: the
ticks, the news of two exchanges an interval, and the division of health
checks. ``benchmarks.fleet.exchange`` adds the cost of the messages.
"""

import json
import time
from random import Random

from chestnuthall.core.membership import (
    DigestReceived,
    MemberRecord,
    MembershipMachine,
    MembershipSettings,
    MemberState,
    Tick,
)
from chestnuthall.core.routing import HashRing

SIZES = (9, 100, 400, 1_900)
N_REPLICAS_PER_INSTANCE = 7
SECONDS = 60
# One update in a message is the mean at 1,650 restarts and failures a day.
N_NEWS = 2
CHECK_INTERVAL_S = 5.0


def _record(index: int, incarnation: int = 1) -> MemberRecord:
    name = f"entry-{index + 1000}"
    return MemberRecord(name, f"10.0.0.1:{index}", "z", MemberState.ALIVE, incarnation)


def measure_machine(n_instances: int) -> float:
    """Return the processor time of the machine as a part of one core."""
    settings = MembershipSettings()
    machine = MembershipMachine(_record(0), settings, Random(1))
    for index in range(1, n_instances):
        machine.handle(DigestReceived(0.0, _record(index), ()))
    n_ticks = int(SECONDS * 1000.0 / settings.tick_ms)
    n_between = settings.interval_ms(n_instances) / settings.tick_ms / 2.0
    random = Random(2)
    started_s = time.process_time()
    for step in range(n_ticks):
        now_ms = step * settings.tick_ms
        machine.handle(Tick(now_ms))
        if step % round(n_between) == 0:
            indices = (random.randrange(1, n_instances) for _ in range(N_NEWS))
            records = tuple(_record(index, step + 2) for index in indices)
            machine.handle(DigestReceived(now_ms, _record(1), records))
            machine.select_updates("entry-1001")
    return (time.process_time() - started_s) / SECONDS


def measure_duty(n_instances: int) -> float:
    """Return the cost of dividing the health checks as a part of one core."""
    names = [f"entry-{index}" for index in range(n_instances)]
    replicas = [f"replica-{i}" for i in range(n_instances * N_REPLICAS_PER_INSTANCE)]
    started_s = time.process_time()
    ring = HashRing(names)
    for name in replicas:
        ring.owners(name, 1)
    return (time.process_time() - started_s) / CHECK_INTERVAL_S


def main() -> None:
    """Measure all sizes and print them."""
    rows = [
        {
            "n_instances": size,
            "machine_core_ratio": round(measure_machine(size), 6),
            "health_duty_core_ratio": round(measure_duty(size), 6),
        }
        for size in SIZES
    ]
    print(json.dumps({"idle": rows}, indent=1))


if __name__ == "__main__":
    main()
