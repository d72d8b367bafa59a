"""A store that is silent for a moment, and a replica that leaves afterwards.

Exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import json
import os
import sys
import tempfile
from collections import Counter
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

ZONES = ("a", "b", "c", "d")
N_REPLICAS = 3
N_STARTED = 6
DRAIN_S = 3.0
STABLE_WINDOW_S = 4.0
# From the start of further replicas to the silence.
LEAD_S = 0.25
SILENCE_S = 0.5
OBSERVED_S = 8.0
REQUEST_INTERVAL_S = 0.05
HEARTBEAT_S = 1.2
SERVICE = "ledger"
NEXT_SERVICE = "ledger-next"
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
    services = [
        {"Name": name, "HealthPath": "/health", "MaxConns": 110}
        for name in (SERVICE, NEXT_SERVICE)
    ]
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
        self.started = [
            Replica(f"i-next-{number}", NEXT_SERVICE, "a", self.runs)
            for number in range(N_STARTED)
        ]
        self.instances = [
            Instance(f"front-{zone}-{number}", zone, self.store.server.port, folder)
            for zone in ZONES
            for number in range(2)
        ]
        self.left = None
        self.left_s = None

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
                if replica is not self.left and not self.store.server.is_silent:
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
            await self.disrupt()
            await asyncio.sleep(OBSERVED_S)
        finally:
            for task in tasks:
                task.cancel()
        return self.judge()

    async def disrupt(self):
        """Start further replicas, silence the store, and let a replica leave."""
        for replica in self.started:
            await replica.server.start()
        for replica in self.started:
            self.store.put("servers", replica.name, replica.entry())
        self.replicas += self.started
        self.note(f"{N_STARTED} replicas of another service have started")
        await asyncio.sleep(LEAD_S)
        self.store.server.is_silent = HAS_TROUBLE
        self.note(f"the store is silent: {HAS_TROUBLE}")
        await asyncio.sleep(SILENCE_S)
        self.store.server.is_silent = False
        self.note("the store answers again")
        await asyncio.sleep(STABLE_WINDOW_S + 0.02)
        self.left = self.replicas[0]
        self.store.remove("servers", self.left.name)
        self.left_s = now_s()
        self.note(f"the entry of {self.left.name} is removed; it goes on serving")

    def judge(self):
        late = [
            run
            for run in self.runs
            if run["replica"] == self.left.name and run["run_s"] > self.left_s + DRAIN_S
        ]
        instance_by_id = {item["id"]: item["instance"] for item in self.sent}
        self.note(
            f"{len(late)} requests reached {self.left.name} later than DrainMs after"
            " its entry was removed"
        )
        by_instance = Counter(instance_by_id.get(run["id"], "?") for run in late)
        self.note(f"by instance: {dict(sorted(by_instance.items()))}")
        if late:
            self.note(f"the last one at {late[-1]['run_s']:.3f}")
        if not any(item["status"] == 200 for item in self.sent):
            return 2
        return 1 if late else 0

    async def end(self):
        for instance in self.instances:
            instance.end()
        for replica in {*self.replicas, *self.started}:
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
