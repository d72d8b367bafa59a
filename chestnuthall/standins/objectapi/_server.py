"""HTTP interface of the object API emulator."""

import asyncio
import json
from dataclasses import asdict
from enum import Enum
from urllib.parse import parse_qs, unquote

from chestnuthall.adapters.http import (
    DropConnection,
    HttpRequest,
    HttpResponse,
    HttpServer,
    ServerLimits,
)
from chestnuthall.standins.objectapi._faults import Outage, StoreFaults
from chestnuthall.standins.objectapi._objects import N_VALUE_BYTES_MAX, ObjectTable
from chestnuthall.standins.objectapi._service import (
    Call,
    ConnectionDrop,
    DeleteCall,
    GetCall,
    ListCall,
    ObjectService,
    PutCall,
    WatchCall,
)

_JSON = {b"content-type": b"application/json"}
# Lets the response to ``PUT /faults`` be sent before connections are closed.
LISTENER_CLOSE_DELAY_S = 0.02
_LIMITS = ServerLimits(n_body_bytes_max=2 * N_VALUE_BYTES_MAX)


def _respond(status: int, body: object) -> HttpResponse:
    return HttpResponse(
        status, dict(_JSON), json.dumps(body, default=_encode_enum).encode()
    )


def _encode_enum(value: object) -> object:
    if isinstance(value, Enum):
        return value.value
    raise TypeError(f"not a JSON value: {type(value).__name__}")


class ObjectApiServer:
    """Serves an object table over HTTP/1.1 with JSON."""

    def __init__(self) -> None:
        self.service = ObjectService()
        self._address = ("", 0)
        self._server: HttpServer | None = None
        self._outage_task: asyncio.Task[None] | None = None

    @property
    def table(self) -> ObjectTable:
        """The table of the served objects."""
        return self.service.table

    async def start(self, host: str, port: int) -> int:
        """Listen; return the port."""
        self._server = HttpServer(self.handle, _LIMITS)
        port = await self._server.start(host, port)
        self._address = (host, port)
        return port

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._outage_task is not None:
            self._outage_task.cancel()
        await self._close_server()

    async def _close_server(self) -> None:
        server, self._server = self._server, None
        if server is not None:
            await server.close()

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the faults; connections are refused by closing the listener."""
        self.service.set_faults(faults)
        if self._outage_task is not None:
            self._outage_task.cancel()
        self._outage_task = asyncio.get_running_loop().create_task(self._apply_outage())

    async def _apply_outage(self) -> None:
        if self.service.outage is Outage.REFUSED:
            await asyncio.sleep(LISTENER_CLOSE_DELAY_S)
            await self._close_server()
            if self.service.faults.outage_ms == 0.0:
                return
            await asyncio.sleep(self.service.faults.outage_ms / 1000.0)
        if self._server is None:
            await self.start(*self._address)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve one request, subject to the active faults."""
        if request.path == "/faults":
            return self._serve_faults(request)
        if request.path == "/calls":
            return _respond(200, self.service.n_calls)
        if request.path == "/trim":
            self.table.trim_history()
            return _respond(200, {"trimmed_version": self.table.trimmed_version})
        call = _read_call(request)
        if call is None:
            return _respond(400, {"error": "unknown path, method or option"})
        reply = await self.service.serve(call)
        if isinstance(reply, ConnectionDrop):
            raise DropConnection(reply.value)
        return _respond(reply.status, reply.body)

    def _serve_faults(self, request: HttpRequest) -> HttpResponse:
        if request.method == "PUT":
            try:
                faults = StoreFaults.from_json(json.loads(request.body))
            except (TypeError, ValueError) as error:
                return _respond(400, {"error": str(error)})
            self.set_faults(faults)
        return _respond(200, asdict(self.service.faults))


def _read_call(request: HttpRequest) -> Call | None:
    segments = [unquote(segment) for segment in request.path.strip("/").split("/")]
    if segments[:2] == ["v1", "objects"] and len(segments) == 4:
        return _read_object_call(request, segments[2], segments[3])
    if segments[:2] == ["v1", "objects"] and len(segments) == 3:
        return ListCall(segments[2]) if request.method == "GET" else None
    if segments[:2] == ["v1", "watch"] and len(segments) == 3:
        return _read_watch(request, segments[2])
    return None


def _read_object_call(request: HttpRequest, kind: str, name: str) -> Call | None:
    try:
        expected = _expected_version(request)
        if request.method == "GET":
            return GetCall(kind, name)
        if request.method == "PUT":
            return PutCall(kind, name, request.body.decode(), expected)
    except ValueError:
        return None
    return DeleteCall(kind, name, expected) if request.method == "DELETE" else None


def _read_watch(request: HttpRequest, kind: str) -> Call | None:
    options = parse_qs(request.query)
    try:
        after = int(options.get("after", ["0"])[0])
        timeout_ms = float(options.get("timeout_ms", ["30000"])[0])
    except ValueError:
        return None
    return WatchCall(kind, after, timeout_ms)


def _expected_version(request: HttpRequest) -> int | None:
    if request.headers.get(b"if-none-match") == b"*":
        return 0
    match = request.headers.get(b"if-match")
    return None if match is None else int(match)
