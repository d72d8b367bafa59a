"""A request that crashes replicas, and a store that comes back from a copy.

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

ZONES = ("a", "b", "c", "d")
N_REPLICAS = 8
N_RETRIES_MAX = 3
STABLE_WINDOW_S = 4.0
# From the copy to the moment at which the store is away.
COPY_AGE_S = 5.0
AWAY_S = 1.0
# From the return of the store to the next time that the request comes.
CALM_S = 6.0
OBSERVED_S = 8.0
REQUEST_INTERVAL_S = 0.05
HEARTBEAT_S = 1.2
SERVICE = "ledger"
CRASHING_TARGET = "/fetch/crash"
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
        self.crashing = []
        self.store = Store()
        self.config = None
        self.replicas = [
            Replica(f"i-{number}", SERVICE, ZONES[number % len(ZONES)], self.runs)
            for number in range(N_REPLICAS)
        ]
        for replica in self.replicas:
            replica.crashing_target = CRASHING_TARGET
        self.instances = [
            Instance(f"front-{zone}", zone, self.store.server.port, folder)
            for zone in ZONES
        ]
        self.is_away = False

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
            await asyncio.sleep(0.1)
            if not self.is_away:
                self.write_entries()

    def write_entries(self):
        """Write the entries that have changed, as their replicas do."""
        for replica in self.replicas:
            if not replica.is_down:
                self.store.put("servers", replica.name, replica.entry())

    async def send_requests(self):
        tasks = set()
        while True:
            for instance in self.instances:
                task = asyncio.ensure_future(self.send(instance))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def send(self, instance, target="/fetch/1"):
        request_id, sent_s = new_id(), now_s()
        headers = {
            "Host": "h.example",
            "X-Request-Id": request_id,
            "X-Request-Deadline-Ms": "4000",
        }
        answer = await fetch(instance.ports["caller"], target, headers, 4.0)
        status, body = answer or (None, b"")
        self.sent.append(
            {
                "id": request_id,
                "instance": instance.name,
                "target": target,
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
            copy = self.store.copy()
            self.note(f"a copy is taken at store revision {self.store.revision}")
            await self.send_crashing()
            await asyncio.sleep(COPY_AGE_S / 2.0)
            await self.send_crashing()
            await asyncio.sleep(COPY_AGE_S / 2.0)
            if HAS_TROUBLE:
                await self.restore(copy)
            for _ in range(3):
                await asyncio.sleep(CALM_S)
                await self.send_crashing()
            await asyncio.sleep(2.0)
        finally:
            for task in tasks:
                task.cancel()
        return self.judge()

    async def send_crashing(self):
        """Send the request that crashes replicas to each instance once."""
        self.note("the request that crashes replicas comes at each instance")
        for instance in self.instances:
            self.crashing.append(
                asyncio.ensure_future(self.send(instance, CRASHING_TARGET))
            )

    async def restore(self, copy):
        """Let the store come back from the copy."""
        self.is_away = True
        names = list(self.store.objects.get("chestnuthall-quarantines", {}))
        self.note(
            f"the store is away at revision {self.store.revision}, with the records"
            f" {names}"
        )
        await self.store.server.stop()
        await asyncio.sleep(AWAY_S)
        self.store.restore(copy)
        # The operator and the replicas write again what they wrote.
        self.write_entries()
        await self.store.server.start()
        self.is_away = False
        self.note(
            f"the store is back, era {self.store.era}, revision {self.store.revision}"
        )

    def judge(self):
        crashes = [run for run in self.runs if run["target"] == CRASHING_TARGET]
        self.note(
            "the request reached replicas at "
            + ", ".join(f"{run['run_s']:.3f}" for run in crashes)
        )
        if len(crashes) < N_RETRIES_MAX:
            return 2
        due_s = crashes[N_RETRIES_MAX - 1]["run_s"] + STABLE_WINDOW_S
        late = [run for run in crashes if run["run_s"] > due_s]
        self.note(
            f"{len(late)} times later than StableWindowMs after the third crash;"
            f" {N_RETRIES_MAX} are allowed"
        )
        return 1 if len(late) > N_RETRIES_MAX else 0

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
