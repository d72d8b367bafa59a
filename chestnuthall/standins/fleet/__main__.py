"""Runs a local fleet until Ctrl-C, for trials of the operators' tool.

It starts three instances that follow trial and one that follows production,
and writes a profile for the tool. Production has no document at first.
"""

import argparse
import asyncio
import json
import signal
from pathlib import Path

from chestnuthall.standins.fleet._fleet import FleetPlan, GroupPlan, LocalFleet

N_TRIAL_INSTANCES = 3


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("document", type=Path, help="document for trial")
    parser.add_argument("--profile", type=Path, default=Path("chestnuthall.jsonc"))
    parser.add_argument("--operator", default="ada")
    return parser.parse_args()


async def _run(arguments: argparse.Namespace) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    plan = FleetPlan(
        groups=(
            GroupPlan(name="planner-desk", n_shards=4, n_replicas=2),
            GroupPlan(name="booking-ledger", n_shards=1, n_replicas=2, n_slots=4),
        ),
        document_text=arguments.document.read_text(),
        n_instances=N_TRIAL_INSTANCES,
    )
    async with LocalFleet(plan) as fleet:
        running = await fleet.start_instance(N_TRIAL_INSTANCES, "production")
        fleet.instances.append(running)
        # Without a document the instance is not ready, but it serves operators.
        await running.client.wait_for_status("/v1/admin/status", 200)
        profile = {
            "store_address": fleet.store_address,
            "operator": arguments.operator,
            "trial_min_ms": 10_000,
        }
        arguments.profile.write_text(json.dumps(profile, indent=2) + "\n")
        for item in fleet.instances:
            print(f"{item.name} {item.address} pid {item.process.pid}", flush=True)
        print(
            f"profile written to {arguments.profile}; press Ctrl-C to stop the fleet",
            flush=True,
        )
        await stopped.wait()


if __name__ == "__main__":
    asyncio.run(_run(_arguments()))
