"""Minimal HTTP/1.1 server and client for the stand-ins."""

import asyncio
from dataclasses import dataclass, field

LOOPBACK = "127.0.0.1"
N_BYTES_MAX = 64 * 1024 * 1024


@dataclass
class Request:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self):
        return self.target.partition("?")[0]

    @property
    def query(self):
        return self.target.partition("?")[2]


@dataclass
class Answer:
    """An answer as a client saw it; ``status`` is None if there was none."""

    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""


def encode_answer(status, headers, body=b""):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'Status'}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def split_head(data):
    """Return the start line, the headers and the rest of ``data``, or None."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    start_line, *lines = data[:end].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return start_line, headers, data[end + 4 :]


class ServerConnection(asyncio.Protocol):
    """One connection to a stand-in, which serves one request at a time."""

    def __init__(self, handler, connections):
        self._handler = handler
        self._connections = connections
        self._data = b""
        self._task = None
        self.transport = None
        self.is_open = False

    def connection_made(self, transport):
        self.transport = transport
        self.is_open = True
        self._connections.add(self)

    def connection_lost(self, exc):
        self.is_open = False
        self._connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data):
        self._data += data
        self._start_next()

    def _start_next(self):
        if self._task is not None or not self.is_open:
            return
        request = self._pop_request()
        if request is not None:
            self._task = asyncio.get_running_loop().create_task(self._serve(request))

    def _pop_request(self):
        found = split_head(self._data)
        if found is None:
            return None
        start_line, headers, rest = found
        n_bytes = int(headers.get("content-length", 0))
        if len(rest) < n_bytes:
            return None
        method, target, _ = start_line.split(" ")
        self._data = rest[n_bytes:]
        return Request(method, target, headers, rest[:n_bytes])

    async def _serve(self, request):
        await self._handler(self, request)
        self._task = None
        self._start_next()

    def write(self, data):
        """Write bytes unless the connection is closed."""
        if self.is_open:
            self.transport.write(data)

    def close(self):
        if self.transport is not None:
            self.transport.close()


class Server:
    """Listens on a loopback port and passes each request to ``handler``."""

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self.connections = set()
        self.address = ""

    async def start(self):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self._handler, self.connections), LOOPBACK, 0
        )
        self.address = f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    def stop_accepting(self):
        """Accept no further connections; the open ones stay."""
        if self._server is not None:
            self._server.close()

    async def close(self):
        self.stop_accepting()
        for connection in tuple(self.connections):
            connection.close()


class ClientConnection:
    """A client's connection, which carries one request at a time."""

    def __init__(self, address):
        self._address = address
        self._reader = None
        self._writer = None
        self.is_open = False

    async def connect(self):
        host, _, port = self._address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port), limit=N_BYTES_MAX
        )
        self.is_open = True

    async def exchange(self, method, target, headers, body, timeout_s):
        """Send a request and return its answer, or one without a status."""
        try:
            async with asyncio.timeout(timeout_s):
                if not self.is_open:
                    await self.connect()
                self._write_request(method, target, headers, body)
                return await self._read_answer()
        except TimeoutError:
            self.close()
            return Answer(error="no answer")
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            return Answer(error=f"connection ended: {error}")

    def _write_request(self, method, target, headers, body):
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def _read_answer(self):
        head = await self._reader.readuntil(b"\r\n\r\n")
        start_line, headers, _ = split_head(head)
        n_bytes = int(headers.get("content-length", 0))
        body = await self._reader.readexactly(n_bytes)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(start_line.split(" ")[1]), headers, body)

    def close(self):
        self.is_open = False
        if self._writer is not None:
            self._writer.close()
