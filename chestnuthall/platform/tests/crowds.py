"""A process of the platform's composition on a machine with lowered limits."""

import asyncio
import json
import os
import re
import resource
import signal
import socket
import subprocess
import sys
from collections import Counter
from pathlib import Path

from chestnuthall.adapters.http import HttpResponse
from chestnuthall.platform.tests.crowds.members import (
    N_BODY_BYTES_MAX,
    N_HEADER_BYTES_MAX,
    USUAL_HEADERS,
)
from chestnuthall.platform.tests.standins import (
    LOOPBACK,
    Deployment,
    document,
    forward_route,
    free_port,
    scatter_route,
)

TEMPLATE = Path(__file__).parents[4] / "deploy" / "instance.jsonc"
# The machine of the tests: less memory and fewer descriptors than any real one.
MEMORY_MB = 128
N_DESCRIPTORS = 600
# Descriptors that are reserved for files.
N_FILES = 200
MB = 1024 * 1024
SAMPLE_INTERVAL_S = 0.02
# A crowd in which nothing was sent for this long has sent all that it can.
QUIET_S = 0.7
CROWD_TIMEOUT_S = 25.0
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
        self.n_bytes_peak = 0
        self.n_unread_bytes_peak = 0
        self.n_sockets_peak = 0

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
        self._start_process()

    def _start_process(self):
        command = [sys.executable, "-m", "chestnuthall.platform", str(self._settings)]
        with self.log.open("wb") as log:
            self._process = subprocess.Popen(command, stdout=log, stderr=log)
        resource.prlimit(
            self._process.pid, resource.RLIMIT_NOFILE, (N_DESCRIPTORS, N_DESCRIPTORS)
        )

    @property
    def is_alive(self):
        return self._process.poll() is None

    def sample(self):
        """Measure memory, with the bytes that the kernel holds unread, and sockets."""
        if not self.is_alive:
            return
        n_unread_bytes = self._n_unread_bytes()
        self.n_unread_bytes_peak = max(self.n_unread_bytes_peak, n_unread_bytes)
        n_bytes = self._n_resident_bytes("VmRSS") + n_unread_bytes
        n_peak = max(n_bytes, self._n_resident_bytes("VmHWM"))
        self.n_bytes_peak = max(self.n_bytes_peak, n_peak)
        self.n_sockets_peak = max(self.n_sockets_peak, self._count_sockets())

    def _n_resident_bytes(self, field):
        for line in Path(f"/proc/{self._process.pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) * 1024
        return 0

    def _count_sockets(self):
        folder = f"/proc/{self._process.pid}/fd"
        n_sockets = 0
        for name in os.listdir(folder):
            try:
                n_sockets += os.readlink(f"{folder}/{name}").startswith("socket:")
            except FileNotFoundError:
                continue
        return n_sockets

    def _n_unread_bytes(self):
        """Sum the receive queues of the listeners' connections, accepted or not."""
        ports = set(self.ports.values())
        n_bytes = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            if int(local.partition(":")[2], 16) in ports and state != "0A":
                n_bytes += int(queues.partition(":")[2], 16)
        return n_bytes

    @property
    def exceeds_its_machine(self):
        return (
            not self.is_alive
            or self.n_bytes_peak > MEMORY_MB * MB
            or self.n_sockets_peak > N_DESCRIPTORS - N_FILES
        )

    async def stop(self):
        if self._process is None:
            return
        if self.is_alive:
            self._process.send_signal(signal.SIGKILL)
        await asyncio.get_running_loop().run_in_executor(None, self._process.wait)


class Member:
    """One client of a crowd, which sends what it can and reads nothing."""

    def __init__(self, sending):
        self._sending = sending
        self._socket = None
        self.n_sent_bytes = 0
        self.is_done = False

    async def connect(self, port):
        self._socket = socket.socket()
        self._socket.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(
                self._socket, (LOOPBACK, port)
            )
        except OSError:
            self.is_done = True

    async def send(self):
        """Send as much as the process takes."""
        loop = asyncio.get_running_loop()
        try:
            for piece in self._sending.pieces():
                view = memoryview(piece)
                while view and not self.is_done:
                    n_sent = await self._send_some(loop, view)
                    self.n_sent_bytes += n_sent
                    view = view[n_sent:]
        except OSError:
            pass
        self.is_done = True

    async def _send_some(self, loop, view):
        try:
            return self._socket.send(view)
        except BlockingIOError:
            writable = loop.create_future()
            loop.add_writer(self._socket, _set_done, writable)
            try:
                await writable
            finally:
                loop.remove_writer(self._socket)
            return 0

    def close(self):
        if self._socket is not None:
            self._socket.close()


def _set_done(future):
    if not future.done():
        future.set_result(None)


class Crowd:
    """Members that all connect to one listener, and then all send at once."""

    def __init__(self, process, listener, sending, n_members):
        self._process = process
        self._port = process.ports[listener]
        self._members = [Member(sending) for _ in range(n_members)]
        self._tasks = []

    async def act(self):
        """Connect and send until nothing more is taken; the connections stay open."""
        # A process that accepts no more connections leaves members waiting.
        connecting = [
            asyncio.ensure_future(member.connect(self._port))
            for member in self._members
        ]
        await self._watch(lambda: all(task.done() for task in connecting))
        for task in connecting:
            task.cancel()
        await asyncio.gather(*connecting, return_exceptions=True)
        self._tasks = [asyncio.ensure_future(x.send()) for x in self._members]
        await self._watch(lambda: all(member.is_done for member in self._members))

    async def _watch(self, has_ended):
        """Sample the process until the crowd is quiet or the process has failed."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + CROWD_TIMEOUT_S
        changed_s, last = loop.time(), None
        while loop.time() < ends_at_s and not self._process.exceeds_its_machine:
            self._process.sample()
            progress = (
                sum(x.n_sent_bytes for x in self._members),
                sum(x.is_done for x in self._members),
                has_ended(),
            )
            if progress != last:
                changed_s, last = loop.time(), progress
            if loop.time() - changed_s > QUIET_S:
                return
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def describe(self):
        """Return what the crowd did and what it cost, for the report of a failure."""
        process = self._process
        return (
            f"members done: {sum(x.is_done for x in self._members)}, "
            f"MB sent: {sum(x.n_sent_bytes for x in self._members) / MB:.1f}, "
            f"alive: {process.is_alive}, peak MB: {process.n_bytes_peak / MB:.1f}, "
            f"of these unread: {process.n_unread_bytes_peak / MB:.1f}, "
            f"sockets: {process.n_sockets_peak}"
        )

    async def leave(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for member in self._members:
            member.close()


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
            self.process.sample()
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
