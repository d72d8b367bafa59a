"""HTTP interface of the object API emulator."""

import asyncio
import json
from dataclasses import asdict
from urllib.parse import parse_qs, unquote

from chestnuthall.adapters.http import HttpRequest, HttpResponse, HttpServer
from chestnuthall.standins.objectapi._faults import StoreFaults
from chestnuthall.standins.objectapi._objects import (
    N_VALUE_BYTES_MAX,
    Entry,
    ObjectTable,
    UnknownObject,
    VersionConflict,
)

WATCH_TIMEOUT_MAX_MS = 60_000.0
# Long enough that every client gives up on an answer that is withheld.
WITHHELD_S = 3_600.0
_JSON = {b"content-type": b"application/json"}


def _respond(status: int, body: object) -> HttpResponse:
    return HttpResponse(status, dict(_JSON), json.dumps(body).encode())


class ObjectApiServer:
    """Serves an object table over HTTP/1.1 with JSON."""

    def __init__(self) -> None:
        self.table = ObjectTable()
        self.faults = StoreFaults()
        self.n_calls: dict[str, int] = {}
        self._calls_in_second: tuple[int, int] = (0, 0)
        self._server = HttpServer(self.handle)

    async def start(self, host: str, port: int) -> int:
        """Listen; return the port."""
        return await self._server.start(host, port)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._server.close()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve one request, with the faults that are set."""
        if request.path == "/faults":
            return self._set_faults(request)
        if request.path == "/calls":
            return _respond(200, self.n_calls)
        if self.faults.is_down:
            await asyncio.sleep(WITHHELD_S)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000.0)
        if self._is_over_rate():
            return _respond(429, {"error": "too many calls"})
        return await self._route(request)

    def _set_faults(self, request: HttpRequest) -> HttpResponse:
        if request.method == "PUT":
            self.faults = StoreFaults(**json.loads(request.body))
        return _respond(200, asdict(self.faults))

    def _is_over_rate(self) -> bool:
        n_max = self.faults.n_calls_per_s_max
        second = int(asyncio.get_running_loop().time())
        last_second, n_calls = self._calls_in_second
        n_calls = n_calls + 1 if second == last_second else 1
        self._calls_in_second = (second, n_calls)
        return n_max > 0 and n_calls > n_max

    async def _route(self, request: HttpRequest) -> HttpResponse:
        parts = [unquote(part) for part in request.path.strip("/").split("/")]
        self._count(f"{request.method} {'/'.join(parts[:3])}")
        try:
            if parts[:2] == ["v1", "objects"] and len(parts) == 4:
                return await self._serve_object(request, parts[2], parts[3])
            if parts[:2] == ["v1", "objects"] and len(parts) == 3:
                objects = [asdict(item) for item in self.table.list_kind(parts[2])]
                body = {"version": self.table.version, "objects": objects}
                return _respond(200, body)
            if parts[:2] == ["v1", "watch"] and len(parts) == 3:
                return await self._serve_watch(request, parts[2])
        except VersionConflict as error:
            return _respond(412, {"error": str(error)})
        except UnknownObject as error:
            return _respond(404, {"error": str(error)})
        except ValueError as error:
            return _respond(400, {"error": str(error)})
        return _respond(404, {"error": "no such path"})

    def _count(self, name: str) -> None:
        self.n_calls[name] = self.n_calls.get(name, 0) + 1

    async def _serve_object(
        self, request: HttpRequest, kind: str, name: str
    ) -> HttpResponse:
        if request.method == "GET":
            return _respond(200, asdict(self.table.get(kind, name)))
        entry = self._write(request, kind, name)
        if self.faults.n_lost_write_answers > 0:
            self.faults.n_lost_write_answers -= 1
            await asyncio.sleep(WITHHELD_S)
        return _respond(200, asdict(entry))

    def _write(self, request: HttpRequest, kind: str, name: str) -> Entry:
        expected = _expected_version(request)
        if request.method == "DELETE":
            return self.table.delete(kind, name, expected)
        if request.method != "PUT":
            raise ValueError(f"method {request.method} is not supported")
        if len(request.body) > N_VALUE_BYTES_MAX:
            raise ValueError("the value is larger than one megabyte")
        return self.table.put(kind, name, request.body.decode(), expected)

    async def _serve_watch(self, request: HttpRequest, kind: str) -> HttpResponse:
        options = parse_qs(request.query)
        after = int(options.get("after", ["0"])[0])
        timeout_ms = float(options.get("timeout_ms", ["30000"])[0])
        changes = await self.table.wait_changes(
            kind, after, min(timeout_ms, WATCH_TIMEOUT_MAX_MS) / 1000.0
        )
        body = {
            "version": max((item.version for item in changes), default=after),
            "changed": [asdict(item.entry) for item in changes if item.entry],
            "deleted_names": [item.name for item in changes if item.entry is None],
        }
        return _respond(200, body)


def _expected_version(request: HttpRequest) -> int | None:
    if request.headers.get(b"if-none-match") == b"*":
        return 0
    match = request.headers.get(b"if-match")
    return None if match is None else int(match)
