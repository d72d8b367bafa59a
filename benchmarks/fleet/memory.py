"""Memory of the membership state of one instance, by fleet size.

Run as ``python -m benchmarks.fleet.memory``.
"""

import json
import tracemalloc
from random import Random

from chestnuthall.core.membership import (
    DigestReceived,
    MemberRecord,
    MembershipMachine,
    MembershipSettings,
    MemberState,
    Tick,
)

SIZES = (9, 100, 400, 1_900)


def _make_record(index: int) -> MemberRecord:
    return MemberRecord(
        f"entry-{index + 1000}",
        f"10.20.{index // 256}.{index % 256}:7001",
        "region-1-zone-a",
        MemberState.ALIVE,
        1_760_000_000_000 + index,
    )


def measure(n_instances: int) -> int:
    """Return the memory of one membership machine for a fleet, in bytes."""
    tracemalloc.start()
    machine = MembershipMachine(_make_record(0), MembershipSettings(), Random(1))
    for index in range(1, n_instances):
        machine.handle(DigestReceived(0.0, _make_record(index), ()))
    for step in range(20):
        machine.handle(Tick(step * 100.0))
        machine.select_updates()
    n_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return n_bytes


def main() -> None:
    """Measure all fleet sizes and print the bytes per size and per member."""
    n_bytes = {size: measure(size) for size in SIZES}
    slope = (n_bytes[SIZES[-1]] - n_bytes[SIZES[0]]) / (SIZES[-1] - SIZES[0])
    body = {"n_bytes_by_size": n_bytes, "n_bytes_per_member": round(slope)}
    print(json.dumps(body, indent=1))


if __name__ == "__main__":
    main()
