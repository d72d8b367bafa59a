"""Tests of the bound on the memory of incomplete messages, on real sockets.

Guards against a process that is killed for its memory because faulty peers send
messages without an end, each of which is within its own limit.
"""

import asyncio
import gc
import tracemalloc

import pytest

from chestnuthall.adapters.http import (
    ClientConnection,
    HttpRequest,
    HttpResponse,
    HttpServer,
    connect,
)
from chestnuthall.adapters.http._reception import ReceptionBudget
from chestnuthall.adapters.http._server import ServerLimits
from chestnuthall.core.results import ANSWER_CUT, Failure

N_BYTES_MAX = 4 * 1024 * 1024
N_ENDLESS = 12
PIECE = b"0123456789abcdef" * 4096
OK = b"HTTP/1.1 200 OK\r\n"
# (case, head of the endless response, what is sent before each piece)
ENDLESS_RESPONSES = [
    ("body up to the end of the stream", OK + b"\r\n", b""),
    ("body with a length", OK + b"content-length: 16000000\r\n\r\n", b""),
    ("chunks", OK + b"transfer-encoding: chunked\r\n\r\n", b"10000\r\n"),
]


class EndlessServer:
    """Sends an endless response to ``/endless``, and a small one in two pieces."""

    def __init__(self, head, chunk_head):
        self._head = head
        self._chunk_head = chunk_head

    async def serve(self, reader, writer):
        try:
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                if b"/endless" in request:
                    await self._send_endlessly(writer)
                writer.write(OK + b"content-length: 2\r\n\r\no")
                await asyncio.sleep(0.005)
                writer.write(b"k")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _send_endlessly(self, writer):
        writer.write(self._head)
        end = b"\r\n" if self._chunk_head else b""
        while True:
            writer.write(self._chunk_head + PIECE + end)
            await writer.drain()


@pytest.mark.parametrize(
    ("head", "chunk_head"),
    [case[1:] for case in ENDLESS_RESPONSES],
    ids=[case[0] for case in ENDLESS_RESPONSES],
)
def test_endless_responses_are_dropped_and_others_arrive(head, chunk_head):
    """All of them together must stay within the bound, at no cost to the others."""

    async def scenario():
        server = await asyncio.start_server(
            EndlessServer(head, chunk_head).serve, "127.0.0.1", 0
        )
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        budget = ReceptionBudget(N_BYTES_MAX)
        n_peak_bytes = 0
        connections = [await connect(address, 1_000.0) for _ in range(N_ENDLESS + 1)]
        for connection in connections:
            connection._reception = budget
        small, *others = connections
        endless = [x.send(HttpRequest("GET", "/endless")) for x in others]
        statuses = []
        while not all(item.done() for item in endless):
            n_peak_bytes = max(n_peak_bytes, budget.n_bytes)
            response = await small.request(HttpRequest("GET", "/"))
            statuses.append(response.status)
        results = [item.result() for item in endless]
        for connection in connections:
            connection.close()
        server.close()
        return results, n_peak_bytes, statuses, budget.n_bytes

    results, n_peak_bytes, statuses, n_left = asyncio.run(scenario())
    assert all(isinstance(item, Failure) for item in results)
    assert any(item.kind is ANSWER_CUT for item in results)
    assert n_peak_bytes <= N_BYTES_MAX
    assert set(statuses) == {200}
    assert n_left == 0


def test_response_longer_than_the_limit_is_rejected_by_its_length():
    """Its body must not be received up to the limit first."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK + b"content-length: 99999999\r\n\r\n")

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        connection = await connect(address, 1_000.0)
        async with asyncio.timeout(2.0):
            result = await connection.request(HttpRequest("GET", "/"))
        server.close()
        return result

    assert "too large" in asyncio.run(scenario()).reason


class SilentTransport(asyncio.Transport):
    """Transport that sends nothing."""

    def get_extra_info(self, name, default=None):
        return ("127.0.0.1", 80)

    def is_closing(self):
        return False

    def write(self, data):
        pass

    close = abort = lambda self: None


N_RECEIVED_BYTES = 1024 * 1024
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n100000\r\n"
# (case, how a response ends of which the first megabyte has been received)
ENDS = [
    ("dropped", lambda connection: connection.drop_message("test")),
    ("cancelled", lambda connection: connection.close()),
    ("connection lost", lambda connection: connection.connection_lost(None)),
    ("invalid", lambda connection: connection.data_received(b"\r\nno size\r\n")),
    ("complete", lambda connection: connection.data_received(b"\r\n0\r\n\r\n")),
]


@pytest.mark.parametrize("end", [x[1] for x in ENDS], ids=[x[0] for x in ENDS])
def test_memory_of_a_response_is_free_once_it_has_ended(end):
    """It was kept until a garbage collection, of which an idle process has few."""

    async def scenario():
        kept = []
        for _ in range(20):
            connection = ClientConnection(ReceptionBudget(N_BYTES_MAX))
            connection.connection_made(SilentTransport())
            connection.send_with_callback(HttpRequest("GET", "/"), lambda result: None)
            connection.data_received(CHUNKED + b"x" * N_RECEIVED_BYTES)
            end(connection)
            kept.append(connection)
        return kept

    gc.disable()
    tracemalloc.start()
    try:
        kept = asyncio.run(scenario())
        n_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert len(kept) == 20
    assert n_bytes < N_RECEIVED_BYTES


async def echo_length(request):
    return HttpResponse(200, {}, b"%d" % len(request.body))


def test_large_requests_that_do_not_end_are_refused_and_others_served():
    """Callers that send without an end must not exhaust the memory together."""

    async def scenario():
        budget = ReceptionBudget(N_BYTES_MAX)
        server = HttpServer(
            echo_length, ServerLimits(n_body_bytes_max=1024 * 1024), reception=budget
        )
        port = await server.start("127.0.0.1", 0)
        head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n\r\n"
        streams = [
            await asyncio.open_connection("127.0.0.1", port) for _ in range(N_ENDLESS)
        ]
        for _, writer in streams:
            writer.write(head + b"x" * 900_000)
        client = await connect(f"127.0.0.1:{port}", 1_000.0)
        responses = [
            await client.request(HttpRequest("POST", "/", {}, b"y" * 100_000))
            for _ in range(20)
        ]
        await asyncio.sleep(0.1)
        n_bytes = budget.n_bytes
        refused = []
        for reader, writer in streams:
            try:
                async with asyncio.timeout(0.01):
                    refused.append((await reader.readline())[9:12])
            except (TimeoutError, ConnectionError):
                pass
            writer.close()
        client.close()
        await server.close()
        return responses, n_bytes, refused

    responses, n_bytes, refused = asyncio.run(scenario())
    assert [(x.status, x.body) for x in responses] == [(200, b"100000")] * 20
    assert n_bytes <= N_BYTES_MAX
    assert set(refused) <= {b"503", b""}
    assert b"503" in refused
