"""A process of the platform's composition on a machine with lowered limits."""

import asyncio
import json
import os
import re
import resource
import signal
import subprocess
import sys
import tomllib
from collections import Counter
from pathlib import Path

from chestnuthall.adapters.http import HttpResponse
from chestnuthall.platform.tests.standins import (
    LOOPBACK,
    Deployment,
    document,
    forward_route,
    free_port,
    scatter_route,
)
from chestnuthall.standins.crowds import (
    N_BODY_BYTES_MAX,
    N_HEADER_BYTES_MAX,
    USUAL_HEADERS,
    ProcessWatch,
)

DEPLOY = Path(__file__).parents[3] / "deploy"
SYSTEM = DEPLOY / "system.toml"
TEMPLATE = DEPLOY / "instance.jsonc"
# The machine of the tests: less memory and fewer descriptors than any real one.
MEMORY_MB = 128
N_DESCRIPTORS = 600
# Descriptors that are reserved for files.
N_FILES = 200
N_SOCKETS_MAX = N_DESCRIPTORS - N_FILES
ANSWER_TIMEOUT_S = 20.0
ATTEMPT_TIMEOUT_S = 8.0
LISTENERS = ("caller", "ready", "metrics", "peer")
N_LARGE_ANSWER_BYTES = 1024 * 1024
# No timeout of the configuration ends what a crowd does during a test.
LONG_MS = 120_000
LIMITS = {
    "MaxHeaderBytes": N_HEADER_BYTES_MAX,
    "MaxBodyBytes": N_BODY_BYTES_MAX,
    "HeaderTimeoutMs": LONG_MS,
    "IdleTimeoutMs": LONG_MS,
}


def render(template, fields):
    """Fill in the fields of the settings template as the platform does."""

    def replace(match):
        value = fields
        for part in match[1].split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if match[2] else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", replace, template)


class Process:
    """One process of the system, with samples of its memory and descriptors."""

    def __init__(self, folder):
        self._settings = folder / "settings.jsonc"
        self.log = folder / "log"
        self.ports = {}
        self._process = None
        self.watch = None

    async def start(self, store_port):
        """Start the process with settings that the platform's template renders."""
        self.ports = {name: await free_port() for name in LISTENERS}
        addresses = {name: f"{LOOPBACK}:{port}" for name, port in self.ports.items()}
        fields = {
            "NodeName": "entry-1",
            "Zone": "a",
            "Ip": LOOPBACK,
            "ListenAddrs": {
                "Front": addresses["caller"],
                "Ready": addresses["ready"],
                "Control": addresses["peer"],
            },
            "InternalPorts": [self.ports["metrics"], self.ports["metrics"]],
            "Seeds": [],
            "platform": {"Address": f"{LOOPBACK}:{store_port}"},
            "Limits": {"MemoryMb": MEMORY_MB, "MaxFds": N_DESCRIPTORS},
            "Bounds": {
                "StableWindowMs": 4_000,
                "ConfigDeadlineMs": 3_000,
                "DrainMs": 3_000,
                "GraceS": 6,
                "RetryBudgetRatio": 0.2,
                "BudgetWindowS": 10,
                "RetryBudgetFloor": 58,
            },
        }
        self._settings.write_text(render(TEMPLATE.read_text(), fields))
        role = tomllib.loads(SYSTEM.read_text())["roles"]["entry"]
        variables = {name: render(text, fields) for name, text in role["env"].items()}
        self._start_process(os.environ | variables)

    def _start_process(self, environment):
        command = [sys.executable, "-m", "chestnuthall.platform", str(self._settings)]
        with self.log.open("wb") as log:
            self._process = subprocess.Popen(
                command, stdout=log, stderr=log, env=environment
            )
        resource.prlimit(
            self._process.pid, resource.RLIMIT_NOFILE, (N_DESCRIPTORS, N_DESCRIPTORS)
        )
        self.watch = ProcessWatch(
            self._process.pid,
            self.ports.values(),
            lambda: self.is_alive,
            MEMORY_MB,
            N_SOCKETS_MAX,
        )

    @property
    def is_alive(self):
        return self._process.poll() is None

    async def stop(self):
        if self._process is None:
            return
        if self.is_alive:
            self._process.send_signal(signal.SIGKILL)
        await asyncio.get_running_loop().run_in_executor(None, self._process.wait)


class CrowdedDeployment(Deployment):
    """A process with its stand-ins, and an ordinary client of each listener."""

    def __init__(self, folder):
        super().__init__()
        self.process = Process(folder)

    async def start(self):
        for service in ("s0", "s1", "t"):
            for index in range(2):
                await self.add_replica(f"{service}r{index}", service, b"A" * 16)
        slow = await self.add_replica("u0", "u")
        slow.delay_s = float("inf")
        large = await self.add_replica("v0", "v")
        large.respond = lambda request: HttpResponse(
            200,
            {
                b"x-server-stamp": b"v0.1",
                b"x-request-id": request.headers[b"x-request-id"],
            },
            b"x" * N_LARGE_ANSWER_BYTES,
        )
        long = {"TimeoutMs": LONG_MS, "TargetLatencyMs": LONG_MS}
        routes = [
            scatter_route(("s0", "s1"), TimeoutMs=5_000),
            forward_route("t", TimeoutMs=5_000),
            forward_route("u", Name="slow", PathPrefix="/slow/", **long),
            forward_route("v", Name="large", PathPrefix="/large/", **long),
            scatter_route(("u",), Name="hold", PathPrefix="/hold/", **long),
        ]
        services = ("s0", "s1", "t", "u", "v")
        value = document(1, routes, services) | {"Limits": LIMITS}
        self.store.put("config", "main", value)
        await self.listen()
        await self.process.start(self._store_port)
        await self.get_answer("ready", "/v1/ready", 200)

    async def get_answer(self, listener, path, *statuses):
        """Repeat an ordinary request until it is answered with one of the statuses."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + ANSWER_TIMEOUT_S
        seen = Counter()
        while loop.time() < ends_at_s and self.process.is_alive:
            status = await self._ask(listener, path)
            if status in statuses:
                return status
            seen[status] += 1
            self.process.watch.sample()
            await asyncio.sleep(0.05)
        raise AssertionError(
            f"{listener}{path} was not answered with {statuses}: {dict(seen)}, "
            f"alive: {self.process.is_alive}"
        )

    async def _ask(self, listener, path):
        return await self._exchange(
            listener,
            b"GET %s HTTP/1.1\r\nhost: h.example\r\nx-request-id: o1\r\n"
            b"x-request-deadline-ms: 4000\r\n\r\n" % path.encode(),
        )

    async def ask_once(self, line, headers, body):
        """Send one request as a caller; return the status of its answer."""
        if body and b"chunked" not in headers:
            headers += b"content-length: %d\r\n" % len(body)
        head = b"%s HTTP/1.1\r\n%s%s\r\n" % (line, USUAL_HEADERS, headers)
        return await self._exchange("caller", head + body)

    async def _exchange(self, listener, request):
        port = self.process.ports[listener]
        writer = None
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(LOOPBACK, port)
                writer.write(request)
                return int((await reader.readline()).split()[1])
        except (OSError, TimeoutError, IndexError) as error:
            return type(error).__name__
        finally:
            if writer is not None:
                writer.close()

    async def check_ordinary_clients(self, *, may_be_unready=False):
        """Each listener still answers, and callers' requests are served.

        An instance that a crowd keeps busy may report that it is not ready.
        """
        ready = (200, 503) if may_be_unready else (200,)
        await self.get_answer("caller", "/fetch/1", 200)
        await self.get_answer("caller", "/sweep/1", 200)
        await self.get_answer("ready", "/v1/ready", *ready)
        await self.get_answer("metrics", "/metrics", 200)
        await self.get_answer("peer", "/v1/feeds/config", 200, 404, 503)

    async def close(self):
        await self.process.stop()
        await super().close()
