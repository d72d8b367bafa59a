"""Count the calls that instances make to the object store.

``python benchmarks/store_calls.py`` prints one JSON line per measurement: a fleet of
processes on loopback, idle and with mutations; the partition codec; and claims of
nine instances in virtual time, with a store that answers in 2 ms.
"""

import asyncio
import json
import sys
import time
from pathlib import Path
from random import Random

from chestnuthall.adapters.clock import LoopClock
from chestnuthall.adapters.documents import JsonPartitionCodec
from chestnuthall.adapters.metrics import NullMetrics
from chestnuthall.core.claims import (
    EMPTY_PARTITION,
    KeyClaim,
    LedgerSettings,
    add_claims,
)
from chestnuthall.core.model import MutationRequest
from chestnuthall.services import ClaimLedger, CountingObjectStore
from chestnuthall.standins.fleet import FleetPlan, GroupPlan, LocalFleet
from chestnuthall.standins.objectapi import (
    MemoryObjectStore,
    ObjectService,
    StoreFaults,
)
from chestnuthall.standins.virtual_time import run_virtual

DOCUMENT_PATH = Path(__file__).parents[1] / "examples" / "environment.jsonc"
N_FLEET_INSTANCES = 5
WINDOW_S = 60.0
N_CLAIM_INSTANCES = 9
CLAIM_DURATION_S = 20.0
STORE_DELAY_MS = 2.0


async def read_store_calls(fleet: LocalFleet) -> list[dict[str, int]]:
    """Return the store calls of each instance in the last minute."""
    replies = [
        await item.client.send("GET", "/v1/admin/status") for item in fleet.instances
    ]
    return [reply.body["store_calls_in_last_minute"] for reply in replies]


async def send_mutations(fleet: LocalFleet, n_per_s: float, duration_s: float) -> int:
    """Send mutations with new keys to the instances in turn; return the successes."""
    n_ok = 0
    for n in range(int(n_per_s * duration_s)):
        client = fleet.instances[n % len(fleet.instances)].client
        body = {
            "request_id": f"m{n}",
            "class": "planner",
            "group": "booking-ledger",
            "key": f"line-{n}",
            "payload": "hold",
            "idempotency_key": f"store-calls-{n:06d}",
            "issued_at_ms": time.time() * 1000.0,
        }
        reply = await client.send("POST", "/v1/mutate", body)
        n_ok += reply.body.get("result") == "OK"
        await asyncio.sleep(1.0 / n_per_s)
    return n_ok


async def measure_fleet() -> None:
    """Print the store calls per minute of an idle fleet and under mutations."""
    plan = FleetPlan(
        groups=(
            GroupPlan(name="planner-desk", n_shards=1, n_replicas=1),
            GroupPlan(name="booking-ledger", n_shards=1, n_replicas=2),
        ),
        document_text=DOCUMENT_PATH.read_text(),
        n_instances=N_FLEET_INSTANCES,
    )
    async with LocalFleet(plan) as fleet:
        await asyncio.sleep(WINDOW_S + 5.0)
        idle = await read_store_calls(fleet)
        print(json.dumps({"fleet": "idle", "calls_per_min": idle}), flush=True)
        n_ok = await send_mutations(fleet, 10.0, WINDOW_S)
        busy = await read_store_calls(fleet)
        print(json.dumps({"fleet": "busy", "n_ok": n_ok, "calls_per_min": busy}))


def make_request(n: int, clock: LoopClock) -> MutationRequest:
    """Return a mutation with a unique idempotency key."""
    return MutationRequest(
        request_id=f"m{n}",
        class_name="planner",
        group="desk",
        arrived_ms=clock.now_ms(),
        deadline_ms=clock.now_ms() + 1_000.0,
        fingerprint=str(n),
        key="k",
        payload="",
        idempotency_key=f"bench-key-{n:08d}",
        issued_at_ms=clock.wall_ms(),
    )


async def measure_claims(n_per_s: float, n_partitions: int) -> dict[str, object]:
    """Return the store calls per claim and the latency at a rate of claims."""
    service = ObjectService()
    service.set_faults(StoreFaults(delay_ms=STORE_DELAY_MS))
    clock = LoopClock(3_600_000.0, wall_from_loop=True)
    settings = LedgerSettings(n_partitions=n_partitions)
    ledgers = [
        ClaimLedger(
            CountingObjectStore(MemoryObjectStore(service), NullMetrics(), clock),
            clock,
            JsonPartitionCodec(),
            settings,
            lambda: N_CLAIM_INSTANCES,
            Random(index),
        )
        for index in range(N_CLAIM_INSTANCES)
    ]
    durations_ms: list[float] = []
    n_refused = 0

    async def claim(n: int) -> None:
        nonlocal n_refused
        started_ms = clock.now_ms()
        ledger = ledgers[n % N_CLAIM_INSTANCES]
        result = await ledger.claim(make_request(n, clock))
        if isinstance(result, KeyClaim):
            durations_ms.append(clock.now_ms() - started_ms)
        else:
            n_refused += 1

    random = Random(1)
    tasks = []
    while clock.now_ms() < CLAIM_DURATION_S * 1000.0:
        tasks.append(asyncio.ensure_future(claim(len(tasks))))
        await asyncio.sleep(random.expovariate(n_per_s))
    await asyncio.gather(*tasks)
    durations_ms.sort()
    return {
        "claims_per_s": n_per_s,
        "n_partitions": n_partitions,
        "n_refused": n_refused,
        "reads_per_claim": round(service.n_calls["get claims"] / len(tasks), 2),
        "writes_per_claim": round(service.n_calls["put claims"] / len(tasks), 2),
        "writes_per_s": round(service.n_calls["put claims"] / CLAIM_DURATION_S, 1),
        "p50_ms": round(durations_ms[len(durations_ms) // 2], 1),
        "p99_ms": round(durations_ms[int(len(durations_ms) * 0.99)], 1),
    }


def measure_codec(n_entries: int) -> dict[str, object]:
    """Return the processor time of each codec step for a partition of this size."""
    codec = JsonPartitionCodec()
    settings = LedgerSettings()
    keys = (KeyClaim(f"bench-key-{n:08d}", "0" * 16, 1e12) for n in range(n_entries))
    partition = add_claims(EMPTY_PARTITION, tuple(keys), settings, 1e12)[0]
    text = codec.encode(partition)
    operation_times_ms = []
    for operation in (
        lambda: codec.decode(text),
        lambda: add_claims(
            partition, (KeyClaim("another-key", "1" * 16, 1e12),), settings, 1e12
        ),
        lambda: codec.encode(partition),
    ):
        started_s = time.process_time()
        for _ in range(20):
            operation()
        operation_times_ms.append(round((time.process_time() - started_s) * 50.0, 2))
    return {
        "n_entries": n_entries,
        "n_bytes": len(text),
        "decode_ms": operation_times_ms[0],
        "add_ms": operation_times_ms[1],
        "encode_ms": operation_times_ms[2],
    }


def main() -> None:
    """Run all measurements; ``--no-fleet`` leaves out the fleet of processes."""
    if "--no-fleet" not in sys.argv:
        asyncio.run(measure_fleet())
    for n_entries in (100, 1_000, 5_900):
        print(json.dumps(measure_codec(n_entries)), flush=True)
    for n_per_s in (20.0, 100.0, 400.0, 800.0):
        print(json.dumps(run_virtual(measure_claims(n_per_s, 64))), flush=True)


if __name__ == "__main__":
    main()
