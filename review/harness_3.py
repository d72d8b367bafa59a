"""Stand-ins of the review cases 11 to 15: the store, replicas and callers."""

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

LOOPBACK = "127.0.0.1"
REASONS = {
    200: "OK",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected",
}
STARTED_S = time.monotonic()


def now_s():
    """Return the time since the start of the case."""
    return time.monotonic() - STARTED_S


_ports = set()


def free_port():
    """Return a port that is free and that the system gives to no connection.

    The ports of outgoing connections start at 32768.
    """
    while True:
        port = random.randrange(15_000, 32_000)
        if port in _ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        _ports.add(port)
        return port


class HttpServer:
    """Minimal HTTP/1.1 server; ``handle`` returns a status, headers and a body.

    While ``is_silent``, requests and answers are lost, and a connection on which one
    was lost stays open and returns nothing further.
    """

    def __init__(self, handle):
        self._handle = handle
        self.is_silent = False
        self._server = None
        self._writers = set()
        self.port = free_port()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port, reuse_address=True
        )

    async def stop(self):
        """Refuse new connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                pairs = [line.split(":", 1) for line in lines[1:] if ":" in line]
                headers = {name.lower(): value.strip() for name, value in pairs}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if self.is_silent:
                    await reader.read()
                    return
                status, extra, answer = await self._handle(
                    method, target, headers, body
                )
                if self.is_silent:
                    await reader.read()
                    return
                lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
                lines += [f"{name}: {value}" for name, value in extra.items()]
                lines += [f"Content-Length: {len(answer)}", "", ""]
                writer.write("\r\n".join(lines).encode() + answer)
                await writer.drain()
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
            ValueError,
        ):
            # The caller has closed the connection, or the case has ended.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """The platform's store, which can come back from a copy of its state."""

    def __init__(self):
        self.objects = {}
        self.history = []
        self.revision = 100
        self.era = 1
        self._changed = asyncio.Event()
        self.server = HttpServer(self._handle)

    def copy(self):
        """Return a copy of the state, for a later ``restore``."""
        objects = {kind: dict(named) for kind, named in self.objects.items()}
        return objects, list(self.history), self.revision

    def restore(self, copy):
        """Replace the state by a copy; the era rises by one."""
        self.objects, self.history, self.revision = copy
        self.era += 1

    def put(self, kind, name, spec):
        """Write an object as its owner would; return whether that changed it."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return False
        self.revision += 1
        item = {"meta": {"Name": name, "Revision": self.revision}, "spec": spec}
        self.objects[kind][name] = item
        self._record(kind, item, False)
        return True

    def remove(self, kind, name):
        item = self.objects[kind].pop(name)
        self.revision += 1
        self._record(kind, item, True)

    def _record(self, kind, item, is_deleted):
        event = {"Object": item, "Deleted": is_deleted}
        self.history.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, method, target, headers, body):
        status, answer = await self._answer(method, urlsplit(target), body)
        extra = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        return status, extra, json.dumps(answer).encode()

    async def _answer(self, method, url, body):
        await asyncio.sleep(0.004)
        kind, _, name = url.path.removeprefix("/v1/objects/").partition("/")
        name = unquote(name)
        query = {key: value[0] for key, value in parse_qs(url.query).items()}
        named = self.objects.setdefault(kind, {})
        if method == "POST":
            sent = json.loads(body)
            name = sent["meta"]["Name"]
            if name in named:
                return 409, named[name]
            self.put(kind, name, sent["spec"])
            return 200, self.objects[kind][name]
        if not name:
            if "Watch" in query:
                return await self._watch(kind, int(query["Watch"]), query)
            items = list(named.values())
            return 200, {"items": items, "More": False, "At": self.revision}
        if name not in named:
            return 404, {}
        if method == "GET":
            return 200, named[name]
        sent = json.loads(body) if body else {}
        revision = query.get("Revision") or sent.get("meta", {}).get("Revision")
        if revision is not None and int(revision) != named[name]["meta"]["Revision"]:
            return 409, named[name]
        if method == "DELETE":
            item = named[name]
            self.remove(kind, name)
            return 200, item
        self.put(kind, name, sent["spec"])
        return 200, self.objects[kind][name]

    async def _watch(self, kind, after, query):
        if after > self.revision:
            return 410, {}
        ends_at_s = time.monotonic() + int(query["WaitMs"]) / 1000.0
        while True:
            events = [
                event
                for revision, changed_kind, event in self.history
                if revision > after and changed_kind == kind
            ]
            left_s = ends_at_s - time.monotonic()
            if events or left_s <= 0.0:
                return 200, {"events": events, "At": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue


class Replica:
    """A replica that signs its answers and records what it runs."""

    def __init__(self, name, service, zone, runs, work_s=0.01):
        self.name = name
        self.service = service
        self.zone = zone
        self.runs = runs
        self.work_s = work_s
        self.state = "ready"
        self.born_ms = int(time.time() * 1000)
        # The target of requests that crash the replica, and how long it is down.
        self.crashing_target = None
        self.down_s = 1.5
        self.is_down = False
        # Until then it turns requests away, with the time that is left.
        self.busy_until_s = 0.0
        self.refusals = []
        self.server = HttpServer(self._handle)

    async def _crash(self):
        """End with all connections, and start again after a while."""
        self.is_down = True
        # The requests that arrived in the same moment are lost, too.
        await asyncio.sleep(0.0)
        await self.server.stop()
        await asyncio.sleep(self.down_s)
        self.born_ms = int(time.time() * 1000)
        await self.server.start()
        self.is_down = False

    async def _handle(self, method, target, headers, body):
        request_id = headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id}
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {**echo, "X-Instance-Id": self.name}, b""
        run = {"id": request_id, "service": self.service, "replica": self.name}
        left_s = self.busy_until_s - now_s()
        if left_s > 0.0:
            refusal = {**run, "run_s": now_s(), "retry_after_s": left_s}
            self.refusals.append(refusal)
            extra = {"X-Not-Executed": "1", "Retry-After": f"{left_s:.3f}"}
            return 503, {**echo, **extra}, b""
        self.runs.append({**run, "target": target, "run_s": now_s()})
        if target == self.crashing_target:
            if not self.is_down:
                self._crashing = asyncio.ensure_future(self._crash())
            await asyncio.sleep(self.down_s)
        await asyncio.sleep(self.work_s)
        stamp = f"{self.name}.{request_id}"
        return 200, {**echo, "X-Server-Stamp": stamp}, self.service.encode()

    def entry(self):
        """Return what the replica says of itself in the store."""
        return {
            "Service": self.service,
            "Address": f"{LOOPBACK}:{self.server.port}",
            "Zone": self.zone,
            "Version": "v1",
            "MaxConcurrency": 4,
            "State": self.state,
            "WarmupLeftMs": 0,
            "Sequence": 1,
            "born": self.born_ms,
        }


class Instance:
    """One instance of the project, in a process of its own."""

    def __init__(self, name, zone, store_port, folder, memory_mb=300):
        self.memory_mb = memory_mb
        self.name = name
        self.zone = zone
        self.ports = {
            kind: free_port() for kind in ("caller", "ready", "metrics", "peer")
        }
        self._store_port = store_port
        self._folder = Path(folder)
        self.process = None

    def address(self, kind):
        return f"{LOOPBACK}:{self.ports[kind]}"

    def start(self, seed_addresses):
        """Start the process with the command of the deploy file."""
        settings = {
            "name": self.name,
            "zone": self.zone,
            **{f"{kind}_address": self.address(kind) for kind in self.ports},
            "seed_addresses": seed_addresses,
            "store_address": f"{LOOPBACK}:{self._store_port}",
            "store_settle_ms": 4000,
            "configuration_deadline_ms": 3000,
            "drain_ms": 3000,
            "grace_s": 6,
            "repeat_ratio": 0.2,
            "repeat_window_s": 10,
            "n_repeats_floor": 58,
        }
        path = self._folder / f"{self.name}.jsonc"
        path.write_text(json.dumps(settings))
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "chestnuthall.platform", str(path)],
            stdout=log,
            stderr=log,
            env={
                **os.environ,
                "PYTHONPATH": "target/deps",
                "CHESTNUTHALL_MEMORY_MB": str(self.memory_mb),
                "CHESTNUTHALL_DESCRIPTORS": "4100",
            },
        )
        log.close()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


_ids = itertools.count(1)


def new_id():
    return f"{next(_ids):016x}"


async def fetch(port, path, headers, timeout_s):
    """Send one request on a new connection; return its status and body, or None."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            try:
                lines = [f"GET {path} HTTP/1.1", "Connection: close"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                writer.write("\r\n".join([*lines, "", ""]).encode())
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                body = await reader.read()
            finally:
                writer.close()
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return None
    return int(head.split(" ")[1]), body


async def wait_until_ready(instances, timeout_s=30.0):
    """Return whether all instances report that they are ready in time."""
    ends_at_s = now_s() + timeout_s
    for instance in instances:
        while True:
            answer = await fetch(
                instance.ports["ready"], "/v1/ready", {"Host": "ready"}, 1.0
            )
            if answer is not None and answer[0] == 200:
                break
            if now_s() > ends_at_s:
                return False
            await asyncio.sleep(0.1)
    return True
