"""End-to-end tests with separate processes on loopback.

Guards against faults in the composition that tests of single services cannot show:
requests that do not reach the shards, wrong result codes, and searches or updates
that fail because of a store outage.
"""

import asyncio
from pathlib import Path

import pytest

from chestnuthall.adapters.clock import LoopClock
from chestnuthall.standins.fleet import FleetPlan, GroupPlan, LocalFleet

DOCUMENT = Path(__file__).parents[3] / "examples" / "environment.jsonc"
MUTATION = {
    "class": "planner",
    "group": "booking-ledger",
    "key": "line-7",
    "idempotency_key": "test-hold-key-1",
    "issued_at_ms": 4_000_000_000_000.0,
}


@pytest.mark.processes
def test_search_and_invalid_requests():
    """Searches must succeed, and invalid requests get a specific result code."""

    async def scenario():
        plan = FleetPlan(
            groups=(
                GroupPlan(name="planner-desk", n_shards=3, n_replicas=1),
                GroupPlan(name="booking-ledger", n_shards=1, n_replicas=1),
            ),
            document_text=DOCUMENT.read_text(),
            n_instances=1,
        )
        async with LocalFleet(plan) as fleet:
            client = fleet.instances[0].client
            search = {
                "request_id": "t1",
                "class": "planner",
                "group": "planner-desk",
                "query": "x",
            }
            return [
                await client.send("POST", "/v1/search", search),
                await client.send("POST", "/v1/search", {**search, "class": "nobody"}),
                await client.send("POST", "/v1/search", {"request_id": "t2"}),
                await client.send(
                    "POST", "/v1/mutate", {**MUTATION, "request_id": "t3"}
                ),
                await client.send("GET", "/nowhere"),
                await client.send("POST", "/v1/search", search),
            ]

    replies = asyncio.run(scenario())
    result_codes = [reply.body["result"] for reply in replies]
    assert result_codes == [
        "OK",
        "UNKNOWN_CLASS",
        "INVALID_REQUEST",
        "INVALID_REQUEST",
        "NOT_FOUND",
        "OK",
    ]
    assert replies[0].body["coverage"]["ratio"] == 1.0
    assert "class: Field required" in replies[2].body["reason"]


@pytest.mark.processes
def test_store_outage_affects_only_mutations():
    """In a store outage mutations must be refused as not run; all else must work."""

    async def scenario():
        plan = FleetPlan(
            groups=(
                GroupPlan(name="planner-desk", n_shards=1, n_replicas=1),
                GroupPlan(name="booking-ledger", n_shards=1, n_replicas=1),
            ),
            document_text=DOCUMENT.read_text(),
            n_instances=2,
        )
        mutation = {
            **MUTATION,
            "issued_at_ms": LoopClock().wall_ms(),
            "payload": "hold",
        }
        search = {"class": "planner", "group": "planner-desk", "query": "x"}
        async with LocalFleet(plan) as fleet:
            first, second = (item.client for item in fleet.instances)
            faults = {"outage": "refused", "outage_ms": 1_500.0}
            await fleet.store.send("PUT", "/faults", faults)
            await asyncio.sleep(0.3)
            during_outage = [
                await first.send(
                    "POST", "/v1/mutate", {**mutation, "request_id": "m1"}
                ),
                await first.send("POST", "/v1/search", {**search, "request_id": "s1"}),
            ]
            await asyncio.sleep(2.5)
            after_outage = [
                await first.send(
                    "POST", "/v1/mutate", {**mutation, "request_id": "m2"}
                ),
                await second.send(
                    "POST", "/v1/mutate", {**mutation, "request_id": "m3"}
                ),
            ]
            await fleet.put_document(plan.document_text, revision=2)
            await asyncio.sleep(2.0)
            revisions = [
                (await client.send("GET", "/v1/admin/status")).body[
                    "configuration_revision"
                ]
                for client in (first, second)
            ]
            return during_outage, after_outage, revisions

    during_outage, after_outage, revisions = asyncio.run(scenario())
    result_codes = [reply.body["result"] for reply in (*during_outage, *after_outage)]
    assert result_codes == ["STORE_UNAVAILABLE", "OK", "OK", "KEY_ALREADY_CLAIMED"]
    assert during_outage[0].body["run"] == "no"
    assert revisions == [2, 2]
