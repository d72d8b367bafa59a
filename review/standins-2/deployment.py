"""Stand-ins for the platform, its store, its replicas and its clients.

Only the standard library is used. The entry instances are separate processes, started
with the command of ``deploy/system.toml``.
"""

import asyncio
import http
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
# Bounds of the settings that both small site files state.
DRAIN_S = 3.0
GRACE_S = 6.0
STORE_ANSWER_S = 0.004
PORT_MIN, N_PORTS = 12_000, 18_000
_ports = itertools.count(os.getpid() * 61)


def free_port():
    """Return a port below the ephemeral range on which nothing listens."""
    while True:
        port = PORT_MIN + next(_ports) % N_PORTS
        with socket.socket() as probe, suppress(OSError):
            probe.bind((LOOPBACK, port))
            return port


@dataclass
class Message:
    """A request or a response with lower-case header names."""

    start: str
    headers: dict
    body: bytes = b""
    raw_head: bytes = b""


async def read_head(reader):
    """Read a head; raise IncompleteReadError at the end of the stream."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return Message(lines[0], headers, raw_head=raw)


async def read_message(reader):
    """Read a head and a body that has a length or comes in chunks."""
    message = await read_head(reader)
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int(await reader.readuntil(b"\r\n"), 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        await reader.readuntil(b"\r\n")
        message.body = b"".join(parts)
    else:
        n_bytes = int(message.headers.get("content-length", 0))
        message.body = await reader.readexactly(n_bytes)
    return message


def response(status, headers=None, body=b""):
    """Return the bytes of a response."""
    now = time.strftime("%a, %d %b %Y %H:%M:%S GMT", time.gmtime())
    lines = [f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}", f"Date: {now}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def as_json(status, value):
    """Return the bytes of a response with a JSON body."""
    body = json.dumps(value).encode()
    return response(status, {"Content-Type": "application/json"}, body)


class Server:
    """Accepts connections on loopback and serves each in a task."""

    def __init__(self):
        self.port = free_port()
        self.writers = set()
        self._server = None

    @property
    def address(self):
        return f"{LOOPBACK}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(
            self._accept, LOOPBACK, self.port, backlog=256
        )

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        errors = (asyncio.IncompleteReadError, ConnectionError, OSError)
        try:
            with suppress(*errors, asyncio.CancelledError):
                await self.serve(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def end(self):
        """End as a process does: no listener, and all connections closed."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: objects by kind and name, with watches."""

    def __init__(self):
        super().__init__()
        self.revision = 10
        self.objects = {}
        self.changes = []
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write an object as its owner would; the return is the acknowledgement."""
        old = self.objects.setdefault(kind, {}).get(name)
        if old is not None and old["spec"] == spec:
            return old
        self.revision += 1
        created = old["meta"]["Created"] if old else self.revision
        meta = {
            "Name": name,
            "Revision": self.revision,
            "Created": created,
            "Finalizers": [],
            "DeletionRequested": False,
        }
        item = {"meta": meta, "spec": spec, "status": None}
        self.objects[kind][name] = item
        self._note(kind, item, False)
        return item

    def remove(self, kind, name):
        """Delete an object."""
        item = self.objects[kind].pop(name)
        self.revision += 1
        self._note(kind, item, True)

    def _note(self, kind, item, is_deleted):
        self.changes.append((self.revision, kind, item, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader, writer):
        while True:
            request = await read_message(reader)
            await asyncio.sleep(STORE_ANSWER_S)
            writer.write(await self._answer(request))
            await writer.drain()

    async def _answer(self, request):
        method, target, _ = request.start.split(" ")
        path, _, query = target.partition("?")
        kind, _, name = path.removeprefix("/v1/objects/").partition("/")
        options = {key: value[0] for key, value in parse_qs(query).items()}
        kind, name = unquote(kind), unquote(name)
        items = self.objects.setdefault(kind, {})
        if method == "GET" and not name:
            if "Watch" in options:
                return await self._watch(kind, options)
            listed = [items[key] for key in sorted(items)]
            return as_json(200, {"items": listed, "More": False, "At": self.revision})
        if method == "POST":
            body = json.loads(request.body)
            name = body["meta"]["Name"]
            if name in items:
                return as_json(409, items[name])
            return as_json(201, self.put(kind, name, body["spec"]))
        if name not in items:
            return as_json(404, {})
        if method == "GET":
            return as_json(200, items[name])
        body = json.loads(request.body or b"{}")
        wanted = options.get("Revision") or body.get("meta", {}).get("Revision")
        if wanted is not None and int(wanted) != items[name]["meta"]["Revision"]:
            return as_json(409, items[name])
        if method == "DELETE":
            item = items[name]
            self.remove(kind, name)
            return as_json(200, item)
        return as_json(200, self.put(kind, name, body["spec"]))

    async def _watch(self, kind, options):
        after = int(options["Watch"])
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + int(options["WaitMs"]) / 1000.0
        while True:
            events = [
                {"Object": item, "Deleted": is_deleted}
                for revision, changed, item, is_deleted in self.changes
                if revision > after and changed == kind
            ]
            left_s = ends_at_s - loop.time()
            if events or left_s <= 0.0:
                return as_json(200, {"events": events, "At": self.revision})
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class Proxy(Server):
    """Passes connections on to one address; while silent, it holds all bytes back."""

    def __init__(self, port):
        super().__init__()
        self._to_port = port
        # When the replicas were last read through this proxy.
        self.read_replicas_s = float("-inf")
        self._passes = asyncio.Event()
        self._passes.set()

    def set_silent(self, is_silent):
        """Hold back or pass on; connections of a silent time stay silent for good."""
        if is_silent:
            self._passes.clear()
            return
        self._passes.set()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        await self._passes.wait()
        far_reader, far_writer = await asyncio.open_connection(LOOPBACK, self._to_port)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer), self._pump(far_reader, writer)
            )
        finally:
            far_writer.close()

    async def _pump(self, reader, writer):
        while data := await reader.read(65_536):
            if data.startswith(b"GET /v1/objects/servers"):
                self.read_replicas_s = time.monotonic()
            await self._passes.wait()
            writer.write(data)
            await writer.drain()
        writer.close()


class Replica(Server):
    """A replica that works on a bounded number of requests, and queues some more."""

    def __init__(
        self, name, service, world, *, zone="a", work_s=0.05, n_slots=4, warm_up_ms=0
    ):
        super().__init__()
        self.name, self.service, self.zone = name, service, zone
        self.world = world
        self.work_s, self.n_slots, self.n_queue = work_s, n_slots, 16
        self.is_leaving = False
        self.warm_up_ms = warm_up_ms
        self.has_ended = False
        self.n_held = 0
        self.records = b""
        # Called with the request, instead of the answer that a sound replica sends.
        self.misbehave = None
        self._slots = asyncio.Semaphore(n_slots)
        self.born = int(time.time() * 1000)
        self.sequence = 1

    def entry(self):
        """Return what the replica writes to the store about itself."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "MaxConcurrency": self.n_slots,
            "State": "draining" if self.is_leaving else "ready",
            "WarmupLeftMs": self.warm_up_ms,
            "Sequence": self.sequence,
            "born": self.born,
        }

    def register(self):
        """Write the entry to the store."""
        self.world.store.put("servers", self.name, self.entry())
        self.sequence += 1

    def leave(self):
        """Announce the end in the store, and in all answers from now on."""
        self.is_leaving = True
        self.register()
        self.world.note("replica leaves", replica=self.name)

    def leave_silently(self):
        """Remove the entry without a report; answers say so from now on."""
        self.is_leaving = True
        self.world.store.remove("servers", self.name)
        self.world.note("replica leaves without a report", replica=self.name)

    def exit(self):
        """End, as the page says: some time after ``DrainMs``."""
        self.has_ended = True
        self.world.note("replica exits", replica=self.name, n_held=self.n_held)
        self.end()
        if self.name in self.world.store.objects["servers"]:
            self.world.store.remove("servers", self.name)

    def leaving_headers(self):
        return {"Server-Leaving": "1"} if self.is_leaving else {}

    async def serve(self, reader, writer):
        while True:
            request = await read_message(reader)
            self.n_held += 1
            work = asyncio.ensure_future(self._work(request, writer))
            gone = asyncio.ensure_future(self._wait_for_end(reader, work))
            try:
                await work
            except asyncio.CancelledError:
                if not gone.done():
                    raise
                return
            finally:
                self.n_held -= 1
                gone.cancel()
            await writer.drain()

    async def _wait_for_end(self, reader, work):
        """Drop the request once its connection has been closed."""
        # A stream has no event for its end.
        while not reader.at_eof():  # noqa: ASYNC110
            await asyncio.sleep(0.02)
        if not work.done():
            work.cancel()

    async def _work(self, request, writer):
        request_id = request.headers.get("x-request-id", "")
        common = {"X-Request-Id": request_id, **self.leaving_headers()}
        expected = request.headers.get("x-expect-instance")
        if expected not in (None, self.name):
            headers = common | {"X-Instance-Id": self.name}
            writer.write(response(421, headers))
            return
        if self.n_held > self.n_slots + self.n_queue:
            writer.write(response(503, common | {"X-Not-Executed": "1"}))
            return
        async with self._slots:
            self.world.note_run(self, request)
            if self.misbehave is not None and await self.misbehave(request, writer):
                return
            limit_s = float(request.headers.get("x-request-deadline-ms", 1e6)) / 1e3
            work_s = self.world.work_s(self, request)
            await asyncio.sleep(min(work_s, limit_s))
            signature = f"{self.service}.{self.name}.{request_id}"
            headers = common | {"X-Server-Stamp": signature}
            if work_s > limit_s:
                writer.write(response(504, headers))
                return
            writer.write(response(200, headers, self.answer_body(request)))

    def answer_body(self, request):
        return self.records or b"body of " + request.headers["x-request-id"].encode()


class Instance:
    """One entry instance in its own process, behind a proxy to the store."""

    def __init__(self, number, zone, world):
        self.name = f"frontend-{zone}-{number}"
        self.zone, self.world = zone, world
        self.store_proxy = Proxy(world.store.port)
        names = ("caller", "ready", "metrics", "peer")
        self.ports = {name: free_port() for name in names}
        self.process = None
        self.log = None

    def write_settings(self, seeds):
        """Write what the platform renders from ``deploy/instance.jsonc``."""
        values = {
            f"{name}_address": f"{LOOPBACK}:{port}" for name, port in self.ports.items()
        }
        values |= {
            "name": self.name,
            "zone": self.zone,
            "seed_addresses": seeds,
            "store_address": self.store_proxy.address,
            "store_settle_ms": 4000,
            "configuration_deadline_ms": 3000,
            "drain_ms": int(1000 * DRAIN_S),
            "grace_s": int(GRACE_S),
            "repeat_ratio": 0.2,
            "repeat_window_s": 10,
            "n_repeats_floor": 58,
        }
        self.settings = self.world.folder / f"{self.name}.jsonc"
        self.settings.write_text(json.dumps(values))

    def start(self):
        """Start the process with the command of the deploy file."""
        command = [sys.executable, "-m", "chestnuthall.platform", str(self.settings)]
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment |= {"PYTHONPATH": str(ROOT / "target" / "deps")}
        environment["CHESTNUTHALL_BOOT"] = str(self.settings)
        self.log = (self.world.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        self.world.note("instance starts", instance=self.name)

    def send_signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.world.note("signal", instance=self.name, number=int(number))

    async def is_ready(self):
        """Ask as the platform's balancer does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    LOOPBACK, self.ports["ready"]
                )
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.start.split(" ")[1] == "200"


@dataclass
class Answer:
    """What a client has seen of one request; ``status`` 0 is a closed connection."""

    request_id: str
    sent_s: float
    ended_s: float
    status: int
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    why: str = ""


class Client:
    """A client that keeps one connection to one instance for many requests."""

    def __init__(self, instance, world):
        self.instance, self.world = instance, world
        self._streams = None

    async def send(self, path, *, method="GET", body=b"", deadline_ms=4000):
        """Send a request and return its answer; clients never repeat it here."""
        world = self.world
        request_id = world.new_request_id()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n"
            f"X-Request-Id: {request_id}\r\nX-Request-Deadline-Ms: {deadline_ms}\r\n"
        )
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        sent_s = world.now_s()
        status, headers, answer_body, why = 0, {}, b"", ""
        try:
            async with asyncio.timeout(deadline_ms / 1000.0 + 1.5):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        LOOPBACK, self.instance.ports["caller"]
                    )
                reader, writer = self._streams
                sent_s = world.now_s()
                writer.write(head.encode() + b"\r\n" + body)
                message = await read_message(reader)
            status = int(message.start.split(" ")[1])
            headers, answer_body = message.headers, message.body
            if headers.get("connection", "").lower() == "close":
                self.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            why = type(error).__name__
            self.close()
        answer = Answer(
            request_id, sent_s, world.now_s(), status, headers, answer_body, why
        )
        world.note_answer(self.instance, method, path, answer)
        return answer

    def close(self):
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class World:
    """A small deployment, and the record of what was sent, run and answered."""

    def __init__(self):
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.store = Store()
        self.replicas = {}
        self.instances = []
        self.lines = []
        self.runs = {}
        self.answers = {}
        self.work_s = lambda replica, request: replica.work_s
        self._started_s = time.monotonic()
        self._n_requests = 0

    def now_s(self):
        return time.monotonic() - self._started_s

    def new_request_id(self):
        self._n_requests += 1
        return f"q{self._n_requests:06d}"

    def note(self, what, **values):
        """Add a line to the record."""
        rest = " ".join(f"{key}={value}" for key, value in values.items())
        self.lines.append(f"{self.now_s():9.3f} {what} {rest}".rstrip())

    def note_run(self, replica, request):
        """Record that a replica has begun to work on a request."""
        request_id = request.headers.get("x-request-id", "")
        run = (self.now_s(), replica.name, request.start, request.body)
        self.runs.setdefault(request_id, []).append(run)
        self.note("run", request=request_id, replica=replica.name)

    def note_answer(self, instance, method, path, answer):
        """Record the answer that a client got."""
        self.answers[answer.request_id] = (instance.name, answer)
        leaving = answer.headers.get("server-leaving", "")
        self.note(
            "answer",
            request=answer.request_id,
            instance=instance.name,
            call=f"{method}:{path}",
            sent=f"{answer.sent_s:.3f}",
            status=answer.status,
            stamp=answer.headers.get("x-server-stamp", "-"),
            leaving=leaving or "-",
            why=answer.why or "-",
        )

    async def start(self, zones, routes, services):
        """Start the store and the instances; wait until all are ready."""
        await self.store.start()
        self.configure(1, routes, services)
        self.instances = [
            Instance(number, zone, self) for number, zone in enumerate(zones, 1)
        ]
        seeds = [f"{LOOPBACK}:{item.ports['peer']}" for item in self.instances[:3]]
        for instance in self.instances:
            await instance.store_proxy.start()
            instance.write_settings(seeds)
            instance.start()
        ends_at_s = self.now_s() + 30.0
        while not all([await item.is_ready() for item in self.instances]):
            if self.now_s() > ends_at_s:
                raise NotRunnable("the instances did not become ready within 30 s")
            await asyncio.sleep(0.2)

    def configure(self, version, routes, services):
        """Write the operator's configuration."""
        self.store.put(
            "config",
            "main",
            {
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
            },
        )

    async def add_replica(self, name, service, **options):
        """Start a replica and register it."""
        replica = self.replicas[name] = Replica(name, service, self, **options)
        await replica.start()
        replica.register()
        return replica

    def close(self, record=None):
        """End all processes of this deployment and write the record."""
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                instance.process.wait()
            if instance.log is not None:
                instance.log.close()
        if record is not None:
            record.write_text("\n".join(self.lines) + "\n")
        self._folder.cleanup()


class NotRunnable(Exception):
    """Raised if a case cannot run."""


def route(
    name, prefix, service, *, kind="non_idempotent", timeout_ms=4000, target_ms=634
):
    """Return a route to one service."""
    return {
        "Name": name,
        "Hostname": "h.example",
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": target_ms,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 2,
    }


def gather_route(name, prefix, services, *, top=5, share=0.75, timeout_ms=800):
    """Return a route to all of some services."""
    return {
        "Name": name,
        "Hostname": "h.example",
        "PathPrefix": prefix,
        "Kind": "idempotent",
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 183,
        "Priority": 1,
        "Gather": list(services),
        "MaxAttempts": 2,
        "TopK": top,
        "MinShardShare": share,
    }


def main(play, folder):
    """Play a case; exit with 1 if its rule was broken, 0 if it held, 2 if neither."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World()
    try:
        broken = asyncio.run(asyncio.wait_for(play(world, has_trouble), 110.0))
        for line in broken:
            world.note("BROKEN", rule=line)
            print(line)
    except Exception as error:
        world.note("the case could not run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        raise SystemExit(2) from None
    finally:
        world.close(folder / "record.txt")
    raise SystemExit(1 if broken else 0)
