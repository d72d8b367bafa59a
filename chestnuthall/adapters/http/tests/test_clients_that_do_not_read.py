"""Tests of the server with clients that do not read, or that send ahead.

Guards against responses and requests that add up in memory, and against responses that
are cut because their client reads slowly.
"""

import asyncio
import socket

import pytest

from chestnuthall.adapters.http import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    ServerLimits,
    connect,
)
from chestnuthall.adapters.http._reception import ReceptionBudget
from chestnuthall.core.intake import ConnectionState

LARGE_BODY = bytes(range(256)) * 16_384
MB = 1024 * 1024
BOUNDED = ServerLimits(limits_kernel_buffers=True)
GET = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"
CLOSE = b"GET /0 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"


class Handler:
    """Answers with a large body; waits at ``/wait`` until it is released."""

    def __init__(self, body=LARGE_BODY):
        self.body = body
        self.n_calls = 0
        self.released = asyncio.Event()

    async def handle(self, request):
        self.n_calls += 1
        if request.path.startswith("/wait"):
            await self.released.wait()
        return HttpResponse(200, {}, self.body)


async def open_raw(port):
    """Return a socket whose kernel buffer is small."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client, ("127.0.0.1", port))
    return client


async def wait_until(condition):
    async with asyncio.timeout(5.0):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


async def read_all(client):
    loop = asyncio.get_running_loop()
    data = b""
    async with asyncio.timeout(10.0):
        while piece := await loop.sock_recv(client, 65_536):
            data += piece
    return data


# (case, request, whether the client ends its stream after it)
SLOW_READERS = [
    ("connection: close", CLOSE, False),
    ("end of the stream", GET % 0, True),
]


@pytest.mark.parametrize(
    ("request_", "ends_stream"),
    [x[1:] for x in SLOW_READERS],
    ids=[x[0] for x in SLOW_READERS],
)
def test_slow_reader_gets_the_whole_response(request_, ends_stream):
    """Closing must wait for the pieces that have not been written yet."""

    async def scenario():
        server = HttpServer(Handler().handle, BOUNDED)
        client = await open_raw(await server.start("127.0.0.1", 0))
        await asyncio.get_running_loop().sock_sendall(client, request_)
        await wait_until(
            lambda: any(x.state is ConnectionState.SENDING for x in server._connections)
        )
        if ends_stream:
            client.shutdown(socket.SHUT_WR)
        data = await read_all(client)
        client.close()
        await server.close()
        return data

    assert asyncio.run(scenario()).endswith(LARGE_BODY)


def test_no_request_is_served_before_the_last_response_is_taken():
    """Each response of a client that does not read would be held."""

    async def scenario():
        handler = Handler()
        server = HttpServer(handler.handle, BOUNDED)
        client = await open_raw(await server.start("127.0.0.1", 0))
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(client, b"".join(GET % x for x in range(100)))
        await asyncio.sleep(0.2)
        n_unread = handler.n_calls
        data = b""
        while data.count(b"HTTP/1.1 200") < 3:
            data += await loop.sock_recv(client, MB)
        client.close()
        await server.close()
        return n_unread

    assert asyncio.run(scenario()) == 1


def test_unread_responses_are_bounded_together():
    """Each was bounded, but not their sum; the connections of some are closed."""

    async def scenario():
        budget = ReceptionBudget(10 * len(LARGE_BODY))
        server = HttpServer(Handler().handle, BOUNDED, reception=budget)
        port = await server.start("127.0.0.1", 0)
        clients = [await open_raw(port) for _ in range(20)]
        n_bytes_peak = 0
        for client in clients:
            await asyncio.get_running_loop().sock_sendall(client, GET % 0)
            await asyncio.sleep(0.01)
            n_bytes_peak = max(n_bytes_peak, budget.n_bytes)
        n_left = server.n_connections
        for client in clients:
            client.close()
        await wait_until(lambda: server.n_connections == 0)
        await server.close()
        return n_bytes_peak, n_left, budget.n_bytes

    n_bytes_peak, n_left, n_bytes_after = asyncio.run(scenario())
    assert n_bytes_peak <= 10 * len(LARGE_BODY)
    assert 5 <= n_left < 20
    assert n_bytes_after == 0


def test_connection_of_a_client_that_reads_nothing_is_closed():
    """It stayed open for as long as the client liked, and kept a stop waiting."""

    async def scenario():
        limits = ServerLimits(idle_timeout_ms=100.0, limits_kernel_buffers=True)
        server = HttpServer(Handler().handle, limits)
        client = await open_raw(await server.start("127.0.0.1", 0))
        await asyncio.get_running_loop().sock_sendall(client, GET % 0)
        await wait_until(lambda: server.n_connections == 0)
        client.close()
        await server.close()

    asyncio.run(scenario())


def test_client_that_reads_slowly_is_not_closed():
    """The timeout is for clients that read nothing."""

    async def scenario():
        limits = ServerLimits(idle_timeout_ms=400.0, limits_kernel_buffers=True)
        server = HttpServer(Handler().handle, limits)
        client = await open_raw(await server.start("127.0.0.1", 0))
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(client, CLOSE)
        data = b""
        for _ in range(20):
            data += await loop.sock_recv(client, 100_000)
            await asyncio.sleep(0.05)
        data += await read_all(client)
        client.close()
        await server.close()
        return data

    assert asyncio.run(scenario()).endswith(LARGE_BODY)


# (case, state of the connections in the order in which they open, index of the one
# that a new connection replaces, or None)
REPLACED = [
    ("earliest idle one", ["idle", "idle", "idle"], 0),
    ("used idle one is kept", ["used", "idle", "idle"], 1),
    ("running one is kept", ["running", "idle", "running"], 1),
    ("running one with a request ahead", ["running", "ahead", "running"], 1),
    ("unread response", ["running", "unread", "running"], 1),
    ("all run", ["running", "running", "running"], None),
]


@pytest.mark.parametrize(
    ("states", "replaced"), [x[1:] for x in REPLACED], ids=[x[0] for x in REPLACED]
)
def test_new_connection_replaces_the_least_recently_used(states, replaced):
    """Clients that only keep connections open kept all others out."""

    async def scenario():
        handler = Handler()
        limits = ServerLimits(n_connections_max=3, limits_kernel_buffers=True)
        server = HttpServer(handler.handle, limits)
        port = await server.start("127.0.0.1", 0)
        loop = asyncio.get_running_loop()
        clients = []
        for index, _ in enumerate(states):
            clients.append(await open_raw(port))
            await wait_until(lambda n=index + 1: server.n_connections == n)
        connections = list(server._connections)
        sent = {
            "idle": b"",
            "used": GET % 0,
            "running": b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n",
            "ahead": b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n" + GET % 1,
            "unread": GET % 0,
        }
        for client, state in zip(clients, states, strict=True):
            handler.body = LARGE_BODY if state == "unread" else b"x"
            await loop.sock_sendall(client, sent[state])
            await asyncio.sleep(0.03)
        newcomer = await open_raw(port)
        await asyncio.sleep(0.05)
        closed = [x for x in connections if x not in server._connections]
        n_connections = server.n_connections
        for client in (*clients, newcomer):
            client.close()
        handler.released.set()
        await server.close()
        return [connections.index(x) for x in closed], n_connections

    closed, n_connections = asyncio.run(scenario())
    assert closed == ([] if replaced is None else [replaced])
    assert n_connections == 3


def test_requests_beyond_the_memory_for_running_ones_are_refused():
    """A running request keeps its memory, so it must not start without room."""

    async def scenario():
        handler = Handler(b"x")
        budget = ReceptionBudget(4 * MB)
        server = HttpServer(handler.handle, BOUNDED, reception=budget)
        port = await server.start("127.0.0.1", 0)
        clients = [await connect(f"127.0.0.1:{port}", 1_000.0) for _ in range(8)]
        request = HttpRequest("POST", "/wait", {}, b"y" * 900_000)
        responses = []
        for index, client in enumerate(clients):
            responses.append(client.send(request))
            await wait_until(
                lambda n=index: handler.n_calls > n or responses[-1].done()
            )
        handler.released.set()
        statuses = [(await response).status for response in responses]
        again = (await clients[0].request(request)).status
        for client in clients:
            client.close()
        await server.close()
        return sorted(statuses), handler.n_calls, again

    statuses, n_calls, again = asyncio.run(scenario())
    assert statuses == [200] * 2 + [503] * 6
    assert n_calls == 3
    assert again == 200


def test_long_request_reaches_a_server_that_reads_slowly():
    """It is written in pieces, of which none may be lost or doubled."""

    async def scenario():
        received = asyncio.get_running_loop().create_future()

        async def serve(reader, writer):
            writer.transport.pause_reading()
            await asyncio.sleep(0.1)
            writer.transport.resume_reading()
            head = await reader.readuntil(b"\r\n\r\n")
            body = await reader.readexactly(len(LARGE_BODY))
            received.set_result((head, body))
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = await connect(f"127.0.0.1:{port}", 1_000.0)
        async with asyncio.timeout(10.0):
            request = HttpRequest("POST", "/", {}, LARGE_BODY)
            response = await client.request(request)
        is_idle = client.is_idle
        client.close()
        server.close()
        return await received, response.status, is_idle

    (head, body), status, is_idle = asyncio.run(scenario())
    assert b"content-length: %d" % len(LARGE_BODY) in head
    assert (body == LARGE_BODY, status, is_idle) == (True, 200, True)


def test_connection_with_an_unsent_request_is_not_reused():
    """The next request would be read as a part of the body."""

    async def scenario():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.pause_reading()
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            await asyncio.sleep(1.0)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = await connect(f"127.0.0.1:{port}", 1_000.0)
        body = bytes(64 * MB)
        response = await client.request(HttpRequest("POST", "/", {}, body))
        is_idle = client.is_idle
        client.close()
        server.close()
        return response.status, is_idle

    assert asyncio.run(scenario()) == (200, False)
