"""In-process stand-ins for the platform's store and replicas, and test deployments."""

import asyncio
import itertools
import json
import os
from contextlib import asynccontextmanager
from dataclasses import replace
from urllib.parse import parse_qs, unquote

from chestnuthall.adapters.http import (
    ConnectionPool,
    DropConnection,
    HttpRequest,
    HttpResponse,
    HttpServer,
    PoolSettings,
    ServerLimits,
)
from chestnuthall.platform._instance import PlatformInstance
from chestnuthall.platform._settings import PlatformSettings

LOOPBACK = "127.0.0.1"
JSON = {b"content-type": b"application/json"}


class Store:
    """Stand-in for the store: objects by kind and name, with watches.

    A single revision number counts the writes of all objects.
    """

    def __init__(self):
        self.objects = {}
        self.changes = []
        self.revision = 10
        self.is_unavailable = False
        self.calls = []
        # Bytes that the store sends in place of the specs equal to the keys.
        self.raw_specs = {}
        self._changed = asyncio.Event()
        self.server = HttpServer(self.handle)

    def put(self, kind, name, spec):
        """Write an object as its owner would."""
        self.revision += 1
        body = {"meta": {"Name": name, "Revision": self.revision}, "spec": spec}
        self.objects.setdefault(kind, {})[name] = body
        self._record_change(kind, body, False)

    def remove(self, kind, name):
        """Delete an object."""
        body = self.objects[kind].pop(name)
        self.revision += 1
        self._record_change(kind, body, True)

    def _record_change(self, kind, body, is_deleted):
        self.changes.append((self.revision, kind, body, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request):
        """Serve one call."""
        response = await self._handle(request)
        for spec, raw in self.raw_specs.items():
            quoted = json.dumps(spec).encode()
            response = replace(response, body=response.body.replace(quoted, raw))
        return response

    async def _handle(self, request):
        self.calls.append((request.method, request.target))
        if self.is_unavailable:
            return HttpResponse(503, dict(JSON), b"{}")
        kind = request.path.split("/")[3]
        if request.method == "POST":
            return self._create(kind, json.loads(request.body))
        name = unquote("/".join(request.path.split("/")[4:]))
        if name:
            return self._handle_object(kind, name, request)
        options = {name: value[0] for name, value in parse_qs(request.query).items()}
        if "Watch" in options:
            return await self._watch(kind, options)
        items = list(self.objects.get(kind, {}).values())
        return json_response({"items": items, "More": False, "At": self.revision})

    def _create(self, kind, body):
        name = body["meta"]["Name"]
        if name in self.objects.get(kind, {}):
            return HttpResponse(409, dict(JSON), b"{}")
        self.put(kind, name, body["spec"])
        return json_response(self.objects[kind][name])

    def _handle_object(self, kind, name, request):
        """Read, replace or delete one object; writes name the revision to change."""
        body = self.objects.get(kind, {}).get(name)
        if body is None:
            return HttpResponse(404, dict(JSON), b"{}")
        if request.method == "GET":
            return json_response(body)
        if request.method == "DELETE":
            revision = int(parse_qs(request.query)["Revision"][0])
        else:
            new_body = json.loads(request.body)
            revision = new_body["meta"]["Revision"]
        if revision != body["meta"]["Revision"]:
            return HttpResponse(409, dict(JSON), json.dumps(body).encode())
        if request.method == "DELETE":
            self.remove(kind, name)
            return json_response(body)
        self.put(kind, name, new_body["spec"])
        return json_response(self.objects[kind][name])

    async def _watch(self, kind, options):
        after = int(options["Watch"])
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + int(options["WaitMs"]) / 1000.0
        while True:
            events = [
                {"Object": body, "Deleted": is_deleted}
                for revision, changed_kind, body, is_deleted in self.changes
                if revision > after and changed_kind == kind
            ]
            if events or loop.time() >= ends_at_s:
                return json_response({"events": events, "At": self.revision})
            try:
                async with asyncio.timeout_at(ends_at_s):
                    await self._changed.wait()
            except TimeoutError:
                continue


class StoreFront:
    """The store as one instance reaches it, which may refuse the calls of that one."""

    def __init__(self, store, fault=""):
        self.fault = fault
        self._store = store
        self.server = HttpServer(self.handle, ServerLimits(cancels_at_eof=True))

    async def handle(self, request):
        """Serve one call; a watch that is waiting when a fault begins is cut."""
        if not self.fault:
            response = await self._store.handle(request)
        if self.fault == "is silent":
            await asyncio.sleep(float("inf"))
        if self.fault:
            status = 429 if self.fault == "limits rates" else 503
            return HttpResponse(status, dict(JSON), b"{}")
        return response


def json_response(body):
    return HttpResponse(200, dict(JSON), json.dumps(body).encode())


class ReplicaServer:
    """A replica that answers with its records, or with the result of ``respond``."""

    def __init__(self, name, service, records=b""):
        self.name = name
        self.service = service
        self.records = records
        self.delay_s = 0.0
        self.respond = None
        # Returns whether a request crashes this replica as soon as it runs.
        self.is_crashed_by = None
        # Time from the start of a run to its crash, also if the caller has left.
        self.crash_delay_s = 0.0
        # Whether a crash leaves the connections open, as a loss of power does.
        self.is_crash_silent = False
        self.is_silent = False
        # Further headers of the refusal of calls to another replica.
        self.refusal_headers = {}
        self.n_refused = 0
        self.n_starts = 1
        self.fault = ""
        self.received = []
        self.n_cancelled = 0
        self.server = HttpServer(self.handle, ServerLimits(cancels_at_eof=True))
        self.address = ""

    async def start(self):
        port = await self.server.start(LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{port}"

    async def restart(self, name):
        """Start again as a new incarnation at the same address."""
        self.name = name
        self.n_starts += 1
        self.is_silent = False
        for connection in tuple(self.server._connections):
            connection.close()
        await self.server.start(LOOPBACK, int(self.address.rpartition(":")[2]))

    async def handle(self, request):
        """Serve one call."""
        if self.is_silent:
            await asyncio.sleep(float("inf"))
        if request.headers.get(b"x-expect-instance") != self.name.encode():
            self.n_refused += 1
            headers = {
                b"x-instance-id": self.name.encode(),
                b"x-request-id": request.headers[b"x-request-id"],
                **self.refusal_headers,
            }
            return HttpResponse(421, headers)
        self.received.append(request)
        if self.is_crashed_by is not None and self.is_crashed_by(request):
            await asyncio.shield(asyncio.ensure_future(self._crash()))
        try:
            await asyncio.sleep(self.delay_s)
        except asyncio.CancelledError:
            self.n_cancelled += 1
            raise
        if self.is_silent:
            await asyncio.sleep(float("inf"))
        if self.respond is not None:
            response = self.respond(request)
            if response is None:
                raise DropConnection
            return response
        return self.signed_response(request)

    async def _crash(self):
        await asyncio.sleep(self.crash_delay_s)
        if not self.is_crash_silent:
            await self.server.close()
            raise DropConnection
        self.is_silent = True
        self.server._server.close()
        await asyncio.sleep(float("inf"))

    def signed_response(self, request, status=200):
        """Return a complete response with this replica's signature."""
        headers = {
            b"x-server-stamp": f"{self.name}.{len(self.received)}".encode(),
            b"x-request-id": request.headers[b"x-request-id"],
        }
        return HttpResponse(status, headers, self.records)

    def entry(self, **changes):
        """Return the registration that the replica writes to the store."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "a",
            "Version": "v1",
            "MaxConcurrency": 3,
            "State": "ready",
            "WarmupLeftMs": 0,
            "Sequence": 1,
            "born": self.n_starts,
            **changes,
        }


class RawReplica:
    """A replica whose bytes a test writes itself.

    ``serve`` is called with the connection, and the id and target of each request,
    which has no body.
    """

    def __init__(self, name, service, serve):
        self.name = name
        self.service = service
        self.address = ""
        self._serve = serve
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().lower().split("\r\n")
                ids = [x.partition(": ")[2] for x in lines if x.startswith("x-request")]
                target = lines[0].split(" ")[1]
                await self._serve(writer, next(iter(ids), ""), target)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def stop_listening(self):
        """Refuse new connections; the open ones stay open."""
        self._server.close()

    async def close(self):
        for writer in self._writers:
            writer.close()
        self._server.close()

    entry = ReplicaServer.entry
    n_starts = 1


def scatter_route(shards, **changes):
    return {
        "Name": "sweep",
        "Hostname": "h.example",
        "PathPrefix": "/sweep/",
        "Kind": "idempotent",
        "TimeoutMs": 800,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Gather": list(shards),
        "MaxAttempts": 2,
        "TopK": 3,
        "MinShardShare": 0.6,
        **changes,
    }


def forward_route(service, **changes):
    return {
        "Name": "fetch",
        "Hostname": "h.example",
        "PathPrefix": "/fetch/",
        "Kind": "idempotent",
        "TimeoutMs": 800,
        "TargetLatencyMs": 400,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 2,
        **changes,
    }


def document(version, routes, services):
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": x, "HealthPath": "/h", "MaxConns": 31} for x in services],
        "Limits": {"MaxBodyBytes": 1000, "IdleTimeoutMs": 5000},
    }


class Deployment:
    """An instance with its store, replicas, peers and a client."""

    def __init__(self):
        self.store = Store()
        self.replicas = {}
        self.raw_replicas = []
        self.instance = None
        self.pool = None
        self.instance_task = None
        self.peer_tasks = {}
        self._store_port = 0
        # The store as each instance reaches it, if ``has_store_fronts``.
        self.has_store_fronts = False
        self.store_fronts = {}
        self.new_store_fault = ""

    async def add_replica(self, name, service, records=b"", **changes):
        replica = ReplicaServer(name, service, records)
        await replica.start()
        self.replicas[name] = replica
        self.store.put("servers", name, replica.entry(**changes))
        return replica

    async def add_raw_replica(self, replica):
        """Start a replica whose bytes a test writes itself, and register it."""
        await replica.start()
        self.raw_replicas.append(replica)
        self.store.put("servers", replica.name, replica.entry())

    def configure(self, version, routes):
        replicas = [*self.replicas.values(), *self.raw_replicas]
        services = sorted({item.service for item in replicas})
        self.store.put("config", "main", document(version, routes, services))

    async def start(self, *, wait=True, grace_s=6.0, zone="a", seeds=()):
        await self.listen()
        settings = await self._settings("entry-1", zone, grace_s, seeds)
        self.instance = PlatformInstance(settings)
        self.instance_task = asyncio.get_running_loop().create_task(self.instance.run())
        await self.wait_until(lambda: self.instance.caller_server.is_listening)
        self.pool = ConnectionPool(settings.caller_address, PoolSettings())
        if wait:
            await self.wait_until(self.instance.is_ready)

    async def listen(self):
        """Start the store unless it is running."""
        if not self.store.server.is_listening:
            self._store_port = await self.store.server.start(LOOPBACK, 0)

    async def add_peer(self, name, zone):
        """Start another instance and return it once it is ready."""
        await self.listen()
        peer = PlatformInstance(await self._settings(name, zone, 6.0))
        self.peer_tasks[name] = asyncio.get_running_loop().create_task(peer.run())
        await self.wait_until(peer.is_ready)
        return peer

    async def _settings(self, name, zone, grace_s, seeds=()):
        ports = [await free_port() for _ in range(4)]
        return PlatformSettings(
            name=name,
            zone=zone,
            caller_address=f"{LOOPBACK}:{ports[0]}",
            ready_address=f"{LOOPBACK}:{ports[1]}",
            metrics_address=f"{LOOPBACK}:{ports[2]}",
            peer_address=f"{LOOPBACK}:{ports[3]}",
            seed_addresses=seeds,
            store_address=f"{LOOPBACK}:{await self._store_port_of(name)}",
            store_settle_ms=4_000.0,
            configuration_deadline_ms=3_000.0,
            drain_ms=3_000.0,
            grace_s=grace_s,
            repeat_ratio=0.2,
            repeat_window_s=10.0,
            n_repeats_floor=58.0,
        )

    async def _store_port_of(self, name):
        if not self.has_store_fronts:
            return self._store_port
        front = self.store_fronts[name] = StoreFront(self.store, self.new_store_fault)
        return await front.server.start(LOOPBACK, 0)

    async def wait_until(self, condition, timeout_s=5.0):
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + timeout_s
        while not condition():
            if self.instance_task is not None and self.instance_task.done():
                await self.instance_task
            assert loop.time() < ends_at_s, "the condition did not become true in time"
            await asyncio.sleep(0.005)

    async def send(self, path, *, request_id="q1", method="GET", body=b"", **headers):
        """Send one request as a client and return the response."""
        pairs = {
            b"host": b"h.example",
            b"x-request-id": request_id.encode(),
            **{
                name.replace("_", "-").encode(): value.encode()
                for name, value in headers.items()
            },
        }
        connection = await self.pool.acquire(1_000.0)
        request = HttpRequest(method, path, pairs, body)
        try:
            async with asyncio.timeout(5.0):
                return await connection.request(request)
        finally:
            self.pool.release(connection)

    async def close(self):
        if self.instance_task is not None:
            self.instance_task.cancel()
            await asyncio.gather(self.instance_task, return_exceptions=True)
        for task in self.peer_tasks.values():
            task.cancel()
        await asyncio.gather(*self.peer_tasks.values(), return_exceptions=True)
        if self.pool is not None:
            self.pool.close()
        for replica in self.replicas.values():
            await replica.server.close()
        for replica in self.raw_replicas:
            await replica.close()
        for front in self.store_fronts.values():
            await front.server.close()
        await self.store.server.close()


# Ports are below the system's ephemeral range, since an outgoing connection could
# take an ephemeral port between its selection and its use.
PORT_MIN = 12_000
N_PORTS = 18_000
_ports = itertools.count(os.getpid() * 97)


async def free_port():
    """Return a port without a listener that was not returned before."""
    for offset in _ports:
        port = PORT_MIN + offset % N_PORTS
        server = HttpServer(lambda request: None)
        try:
            await server.start(LOOPBACK, port)
        except OSError:
            continue
        await server.close()
        return port


@asynccontextmanager
async def open_deployment():
    """Yield a deployment without an instance; close it at the end."""
    deployment = Deployment()
    try:
        yield deployment
    finally:
        await deployment.close()
