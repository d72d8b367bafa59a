"""Demonstrates a local fleet: search, lookup, mutation, and the loss of processes."""

import asyncio
import signal
import sys
import time
from pathlib import Path
from typing import Any

from chestnuthall.standins.fleet import FleetPlan, GroupPlan, LocalFleet, Reply

DOCUMENT = Path(__file__).with_name("environment.jsonc")


def _plan() -> FleetPlan:
    return FleetPlan(
        groups=(
            GroupPlan(name="planner-desk", n_shards=4, n_replicas=2),
            GroupPlan(name="booking-ledger", n_shards=1, n_replicas=2, n_slots=4),
        ),
        document_text=DOCUMENT.read_text(),
    )


def _search(number: int, class_name: str = "planner") -> dict[str, Any]:
    return {
        "request_id": f"demo-search-{number}",
        "class": class_name,
        "group": "planner-desk",
        "query": f"possession {number}",
        "n_hits_max": 3,
    }


def _print_reply(title: str, reply: Reply) -> None:
    body = reply.body
    print(f"\n{title}: HTTP {reply.status}, {body.get('result')}")
    for hit in body.get("hits", [])[:3]:
        print(f"  {hit['score']:.3f}  {hit['record']}")
    coverage = body.get("coverage")
    if coverage:
        print(
            f"  coverage {coverage['ratio']:.3f}"
            f" ({coverage['n_documents_covered']}"
            f" of {coverage['n_documents_total']} documents),"
            f" snapshot {body['snapshot_id']},"
            f" configuration {body['configuration_revision']}"
        )
    if "run" in body:
        print(
            f"  reason: {body['reason']}; run: {body['run']}, repeat: {body['repeat']}"
        )


def _print_account(title: str, account: dict[str, Any]) -> None:
    admission = account["admission"]
    fan_out = account["fan_out"]
    print(
        f"  {title}: class {account['class_name']}, rule {admission['rule']},"
        f" queued {admission['queued_ms']:.1f} ms"
        f" behind {admission['n_ahead_at_arrival']},"
        f" {fan_out['n_calls']} calls, {fan_out['n_hedges']} hedges,"
        f" {fan_out['n_retries']} retries,"
        f" slowest shard {fan_out['slowest_shard_ms']:.1f} ms"
    )


async def _show_requests(fleet: LocalFleet) -> None:
    client = fleet.instances[0].client
    _print_reply("search", await client.send("POST", "/v1/search", _search(1)))
    lookup = {
        "request_id": "demo-lookup-1",
        "class": "crew",
        "group": "planner-desk",
        "key": "a00000",
    }
    _print_reply("lookup", await client.send("POST", "/v1/lookup", lookup))
    mutation = {
        "request_id": "demo-hold-1",
        "class": "planner",
        "group": "booking-ledger",
        "key": "line-7",
        "payload": "hold Saturday",
        "idempotency_key": "demo-hold-key-1",
        "issued_at_ms": time.time() * 1000.0,
    }
    _print_reply("mutation", await client.send("POST", "/v1/mutate", mutation))
    other = fleet.instances[1].client
    _print_reply(
        "the same mutation through another instance",
        await other.send("POST", "/v1/mutate", mutation),
    )


async def _show_admission_order(fleet: LocalFleet) -> None:
    print("\ntwo classes compete for one instance:")
    client = fleet.instances[0].client
    requests = [_search(100 + n, "batch") for n in range(40)]
    requests += [_search(200 + n, "planner") for n in range(4)]
    replies = await asyncio.gather(
        *(client.send("POST", "/v1/search", body) for body in requests)
    )
    _print_account("last batch search", replies[39].body["account"])
    _print_account("last planner search", replies[43].body["account"])


async def _search_while_killing(fleet: LocalFleet) -> int:
    print("\nsearching while a replica and an entry instance are killed:")
    survivors = fleet.instances[1:]
    killed_replica = next(
        item for item in fleet.replicas if item.replica.name == "planner-desk-00-0"
    )
    n_complete = 0
    n_all = 120
    for number in range(n_all):
        if number == 30:
            killed_replica.process.send_signal(signal.SIGKILL)
            print(f"  killed replica {killed_replica.replica.name}")
        if number == 60:
            fleet.instances[0].process.send_signal(signal.SIGKILL)
            print(f"  killed instance {fleet.instances[0].name}")
        client = survivors[number % len(survivors)].client
        reply = await client.send("POST", "/v1/search", _search(1000 + number))
        is_complete = reply.status == 200 and reply.body["coverage"]["ratio"] == 1.0
        n_complete += is_complete
        if not is_complete:
            _print_reply(f"search {number} was incomplete", reply)
    print(f"  {n_complete} of {n_all} searches were answered completely")
    return n_all - n_complete


async def _run() -> int:
    print("starting the object API, 10 upstream replicas and 3 entry instances")
    async with LocalFleet(_plan()) as fleet:
        await _show_requests(fleet)
        await _show_admission_order(fleet)
        n_incomplete = await _search_while_killing(fleet)
    print("\nall processes have stopped")
    return 1 if n_incomplete else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(_run()))
