"""Processor time that an idle instance spends on membership, by fleet size.

Run as ``python -m benchmarks.fleet.idle``. It covers only the decisions: the ticks, the
updates of two exchanges per interval, and the assignment of health checks.
``benchmarks.fleet.exchange`` measures the cost of the messages.
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
DURATION_S = 60
# Twice the mean number, which is 1 at 1,650 restarts and failures a day.
N_UPDATES_PER_MESSAGE = 2
HEALTH_CHECK_INTERVAL_S = 5.0


def _make_record(index: int, incarnation: int = 1) -> MemberRecord:
    name = f"entry-{index + 1000}"
    return MemberRecord(name, f"10.0.0.1:{index}", "z", MemberState.ALIVE, incarnation)


def measure_machine(n_instances: int) -> float:
    """Return the processor time of the membership machine as a ratio of a core."""
    settings = MembershipSettings()
    machine = MembershipMachine(_make_record(0), settings, Random(1))
    for index in range(1, n_instances):
        machine.handle(DigestReceived(0.0, _make_record(index), ()))
    n_ticks = int(DURATION_S * 1000.0 / settings.tick_ms)
    n_ticks_per_exchange = settings.interval_ms(n_instances) / settings.tick_ms / 2.0
    random = Random(2)
    started_s = time.process_time()
    for step in range(n_ticks):
        now_ms = step * settings.tick_ms
        machine.handle(Tick(now_ms))
        if step % round(n_ticks_per_exchange) == 0:
            indices = (
                random.randrange(1, n_instances) for _ in range(N_UPDATES_PER_MESSAGE)
            )
            updates = tuple(_make_record(index, step + 2) for index in indices)
            machine.handle(DigestReceived(now_ms, _make_record(1), updates))
            machine.select_updates("entry-1001")
    return (time.process_time() - started_s) / DURATION_S


def measure_health_duty(n_instances: int) -> float:
    """Return the processor time to assign health checks as a ratio of a core."""
    names = [f"entry-{index}" for index in range(n_instances)]
    replicas = [f"replica-{i}" for i in range(n_instances * N_REPLICAS_PER_INSTANCE)]
    started_s = time.process_time()
    ring = HashRing(names)
    for name in replicas:
        ring.owners(name, 1)
    return (time.process_time() - started_s) / HEALTH_CHECK_INTERVAL_S


def main() -> None:
    """Measure all fleet sizes and print the results as JSON."""
    rows = [
        {
            "n_instances": size,
            "machine_core_ratio": round(measure_machine(size), 6),
            "health_duty_core_ratio": round(measure_health_duty(size), 6),
        }
        for size in SIZES
    ]
    print(json.dumps({"idle": rows}, indent=1))


if __name__ == "__main__":
    main()
