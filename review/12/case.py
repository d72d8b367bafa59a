"""A store that is silent for a moment, and a route that is moved afterwards.

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
CONFIG_DEADLINE_S = 3.0
STABLE_WINDOW_S = 4.0
SILENCE_S = 0.3
STORM_S = 1.0
STORM_GAP_S = 0.08
OBSERVED_S = 8.0
REQUEST_INTERVAL_S = 0.05
HEARTBEAT_S = 1.2
SERVICES = ("ledger-a", "ledger-b")
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def document(version, service, timeout_ms):
    route = {
        "Name": "fetch",
        "Hostname": "h.example",
        "PathPrefix": "/fetch/",
        "Kind": "idempotent",
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 634,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 2,
    }
    services = [{"Name": x, "HealthPath": "/health", "MaxConns": 110} for x in SERVICES]
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
            Replica(f"i-{service}-{number}", service, "a", self.runs)
            for service in SERVICES
            for number in range(N_REPLICAS)
        ]
        self.instances = [
            Instance(f"front-{zone}-{number}", zone, self.store.server.port, folder)
            for zone in ZONES
            for number in range(2)
        ]
        self.acknowledged_s = None
        self.stable_s = None

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
        self.configure(document(5, SERVICES[0], 4_000))
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
        """Change the configuration in quick succession until the store is silent."""
        version = 7
        ends_s = now_s() + STORM_S
        while now_s() < ends_s:
            self.configure(document(version, SERVICES[0], 3_900 + version))
            version += 2
            await asyncio.sleep(STORM_GAP_S)
        self.store.server.is_silent = HAS_TROUBLE
        self.note(f"the store is silent: {HAS_TROUBLE}")
        await asyncio.sleep(SILENCE_S)
        self.store.server.is_silent = False
        self.stable_s = now_s() + STABLE_WINDOW_S
        self.note("the store answers again")
        await asyncio.sleep(0.1)
        self.configure(document(version, SERVICES[1], 3_900))
        self.acknowledged_s = now_s()

    def judge(self):
        due_s = max(self.acknowledged_s + CONFIG_DEADLINE_S, self.stable_s)
        service_by_id = {run["id"]: run["service"] for run in self.runs}
        late = [item for item in self.sent if item["sent_s"] > due_s]
        stale = [item for item in late if service_by_id.get(item["id"]) == SERVICES[0]]
        served = [item for item in late if item["status"] == 200]
        self.note(
            f"{len(late)} requests were sent later than ConfigDeadlineMs after the"
            " acknowledgement of the last version and StableWindowMs after the outage,"
            f" {len(served)} were served, {len(stale)} were run by the service of an"
            " older version"
        )
        by_instance = Counter(item["instance"] for item in stale)
        self.note(f"by instance: {dict(sorted(by_instance.items()))}")
        if stale:
            self.note(f"the last one was sent at {stale[-1]['sent_s']:.3f}")
        if not served:
            return 2
        return 1 if stale else 0

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
