"""A deployment of stand-ins and instances, and the frame of a case."""

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from pathlib import Path

from standins.http import ClientConnection
from standins.instances import ROOT, Instance
from standins.record import Record
from standins.replica import Replica
from standins.store import Store

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
READY_TIMEOUT_S = 20.0
# A case runs for 120 s at most, with the time to end its processes.
DURATION_MAX_S = 115.0
N_BREACHES_SHOWN = 20
HOST = "register.example"


class NotRunError(Exception):
    """Raised if a case cannot run on this machine."""


def has_trouble():
    """Return whether the disruption of the case is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def forward_route(name, service, kind, **changes):
    """Return a route to one replica of a service."""
    return {
        "Name": name,
        "Hostname": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 2000,
        "TargetLatencyMs": 500,
        "Priority": 1,
        "MaxAttempts": 2,
        "Service": service,
        **changes,
    }


class Deployment:
    """A store, replicas, instances and what they did."""

    def __init__(self, folder):
        self._folder = folder
        self.record = Record()
        self.store = Store()
        self.replicas = []
        self.instances = []
        self._n_requests = 0
        self._tasks = set()

    def start_task(self, coroutine):
        """Run a coroutine beside the case."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def add_replica(self, name, service, **settings):
        await self.register(Replica(self.record, name, service, **settings))

    async def register(self, replica):
        """Start a replica and write its entry to the store."""
        await replica.server.start()
        self.replicas.append(replica)
        self.store.put("servers", replica.name, replica.entry())

    def configure(self, version, routes):
        services = sorted({item.service for item in self.replicas})
        document = {
            "Version": version,
            "Routes": routes,
            "Services": [
                {"Name": name, "HealthPath": "/health", "MaxConns": 110}
                for name in services
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 262144,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
        }
        self.store.put("config", "main", document)
        self.record.add("configuration", version)

    async def start_instances(self, n_instances):
        """Start the store and instances, and wait until they are ready."""
        await self.store.server.start()
        for number in range(n_instances):
            name = f"frontend-hobart-{number + 1}"
            address = self.store.server.address
            instance = Instance(self.record, self._folder, name, address)
            self.instances.append(instance)
        for instance in self.instances:
            instance.start()
        await self.wait_ready()

    async def wait_ready(self):
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + READY_TIMEOUT_S
        for instance in self.instances:
            while not await instance.is_ready():
                if loop.time() > ends_at_s:
                    raise NotRunError(f"{instance.name} does not get ready")
                await asyncio.sleep(0.05)

    def next_id(self):
        self._n_requests += 1
        return f"{os.getpid():08x}{self._n_requests:08x}"

    async def send(self, connection, method, target, body, deadline_ms):
        """Send one attempt with an id of its own; return the id and the answer."""
        request_id = self.next_id()
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Request-Deadline-Ms": str(deadline_ms),
        }
        self.record.add("sent", request_id, method, target)
        answer = await connection.exchange(
            method, target, headers, body, deadline_ms / 1000.0
        )
        self.record.add(
            "answered",
            request_id,
            answer.status,
            answer.headers.get("x-server-stamp", "-"),
            answer.error or "-",
        )
        return request_id, answer

    async def run_holds(self, instance, pause_s, ends_at_s, random):
        """Send holds on a kept connection; repeat those that have not run."""
        connection = ClientConnection(instance.addresses["Front"])
        loop = asyncio.get_running_loop()
        n_sent = 0
        while loop.time() < ends_at_s:
            n_sent += 1
            target = f"/hold/{id(connection):x}/{n_sent}"
            _, answer = await self.send(connection, "POST", target, b"hold", 2000)
            if answer.status in (429, 503):
                wait_s = min(0.6, float(answer.headers.get("retry-after", 0.1)))
                await asyncio.sleep(wait_s)
                connection.close()
                await self.send(connection, "POST", target, b"hold", 2000)
            await asyncio.sleep(random.uniform(0.0, 2.0 * pause_s))
        connection.close()

    async def close(self):
        for instance in self.instances:
            instance.end()
        for replica in self.replicas:
            await replica.server.close()
        await self.store.server.close()


def run_case(script, play):
    """Play a case and exit with its result; ``play`` returns the breaches.

    An error of the case itself is no breach: then the case could not run.
    """
    if not (ROOT / "target/deps").is_dir():
        print("target/deps is missing: run the build line of deploy/system.toml")
        sys.exit(EXIT_NOT_RUN)
    try:
        breaches = asyncio.run(_run(Path(script).resolve().parent, play))
        print(f"{len(breaches)} breaches, the first of them:" if breaches else "")
        print("\n".join(breaches[:N_BREACHES_SHOWN]))
        print("the rule was broken" if breaches else "the rule held", flush=True)
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        sys.exit(EXIT_NOT_RUN)
    sys.exit(EXIT_BROKEN if breaches else EXIT_HELD)


async def _run(case_folder, play):
    """Play a case; end all processes that it started, also if it is terminated."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder))
        try:
            async with asyncio.timeout(DURATION_MAX_S):
                return await play(deployment)
        finally:
            await deployment.close()
            deployment.record.write(case_folder / "record.txt")
