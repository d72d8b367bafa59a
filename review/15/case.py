"""A replica that turns requests away with 503 and Retry-After.

Exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import json
import os
import sys
import tempfile
from pathlib import Path

from harness_3 import (
    Instance,
    Replica,
    Store,
    fetch,
    new_id,
    now_s,
    wait_until_ready,
)

ZONES = ("a", "b")
N_REPLICAS = 3
# How long the replica wants nothing, as its answers say.
BUSY_S = 6.0
N_ARRIVALS_MAX = 2
SETTLED_S = 0.5
REQUEST_INTERVAL_S = 0.05
HEARTBEAT_S = 1.2
SERVICE = "ledger"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def document(version):
    route = {
        "Name": "fetch",
        "Hostname": "h.example",
        "PathPrefix": "/fetch/",
        "Kind": "idempotent",
        "TimeoutMs": 4_000,
        "TargetLatencyMs": 634,
        "Priority": 2,
        "Service": SERVICE,
        "MaxAttempts": 2,
    }
    services = [{"Name": SERVICE, "HealthPath": "/health", "MaxConns": 110}]
    limits = {"MaxBodyBytes": 10_000, "IdleTimeoutMs": 15_000}
    return {
        "Version": version,
        "Routes": [route],
        "Services": services,
        "Limits": limits,
    }


class Case:
    def __init__(self, folder):
        self.runs = []
        self.sent = []
        self.events = []
        self.store = Store()
        self.config = None
        self.replicas = [
            Replica(f"i-{number}", SERVICE, "a", self.runs)
            for number in range(N_REPLICAS)
        ]
        self.instances = [
            Instance(f"front-{zone}", zone, self.store.server.port, folder)
            for zone in ZONES
        ]

    def note(self, text):
        self.events.append((now_s(), text))

    def configure(self, config):
        """Write a configuration as the operator does."""
        self.config = config
        self.store.put("config", "main", config)
        self.note(
            f"version {config['Version']} acknowledged, service"
            f" {config['Routes'][0]['Service']}, store revision {self.store.revision}"
        )

    async def beat(self):
        """Let the replicas write their entries again at each heartbeat."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for replica in self.replicas:
                self.store.put("servers", replica.name, replica.entry())

    async def send_requests(self):
        tasks = set()
        while True:
            for instance in self.instances:
                task = asyncio.ensure_future(self.send(instance))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def send(self, instance):
        request_id, sent_s = new_id(), now_s()
        headers = {
            "Host": "h.example",
            "X-Request-Id": request_id,
            "X-Request-Deadline-Ms": "4000",
        }
        answer = await fetch(instance.ports["caller"], "/fetch/1", headers, 4.0)
        status, body = answer or (None, b"")
        self.sent.append(
            {
                "id": request_id,
                "instance": instance.name,
                "sent_s": sent_s,
                "status": status,
                "body": body.decode("latin-1")[:40],
            }
        )

    async def run(self):
        for replica in self.replicas:
            await replica.server.start()
            self.store.put("servers", replica.name, replica.entry())
        self.configure(document(5))
        await self.store.server.start()
        seeds = [item.address("peer") for item in self.instances[:3]]
        for instance in self.instances:
            instance.start(seeds)
        if not await wait_until_ready(self.instances):
            return 2
        self.note("all instances are ready")
        tasks = [
            asyncio.ensure_future(self.beat()),
            asyncio.ensure_future(self.send_requests()),
        ]
        try:
            await asyncio.sleep(8.0)
            if HAS_TROUBLE:
                self.note(f"{self.replicas[0].name} is full for {BUSY_S} s")
                self.replicas[0].busy_until_s = now_s() + BUSY_S
            await asyncio.sleep(BUSY_S + 2.0)
        finally:
            for task in tasks:
                task.cancel()
        return self.judge()

    def judge(self):
        instance_by_id = {item["id"]: item["instance"] for item in self.sent}
        n_most = 0
        for instance in self.instances:
            arrivals = [
                run
                for run in self.runs + self.replicas[0].refusals
                if run["replica"] == self.replicas[0].name
                and instance_by_id.get(run["id"]) == instance.name
            ]
            refusals = [
                run
                for run in self.replicas[0].refusals
                if instance_by_id.get(run["id"]) == instance.name
            ]
            for refusal in refusals:
                from_s = refusal["run_s"] + SETTLED_S
                until_s = refusal["run_s"] + refusal["retry_after_s"]
                n = sum(from_s < run["run_s"] < until_s for run in arrivals)
                n_most = max(n_most, n)
            self.note(f"{instance.name}: {len(refusals)} refusals")
        self.note(
            f"at most {n_most} requests of a machine reached the replica between half"
            " a second after its 503 and the end of Retry-After;"
            f" {N_ARRIVALS_MAX} are allowed"
        )
        if not any(item["status"] == 200 for item in self.sent):
            return 2
        return 1 if n_most > N_ARRIVALS_MAX else 0

    async def end(self):
        for instance in self.instances:
            instance.end()
        for replica in self.replicas:
            await replica.server.stop()
        await self.store.server.stop()

    def write_record(self, path, status):
        with path.open("w") as record:
            for event_s, text in self.events:
                record.write(f"{event_s:8.3f} {text}\n")
            record.write(f"exit status {status}\n\nrequests: sent, answered\n")
            for item in sorted(self.sent, key=lambda x: x["sent_s"]):
                record.write(json.dumps(item) + "\n")
            record.write("\nruns\n")
            for run in self.runs:
                record.write(json.dumps(run) + "\n")


async def main():
    with tempfile.TemporaryDirectory() as folder:
        case = Case(folder)
        status = 2
        try:
            async with asyncio.timeout(100.0):
                status = await case.run()
        finally:
            await case.end()
            case.write_record(Path(__file__).parent / "record.txt", status)
    return status


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
