"""Tests connections that are accepted while a server stops listening.

Guards against a request that is read after the server has counted its connections, and
that the end of the process then cuts off.
"""

import asyncio
import gc
import socket
import warnings

import pytest

from chestnuthall.adapters.http import HttpResponse, HttpServer

REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"


@pytest.mark.parametrize("n_iterations", range(8))
def test_request_is_answered_or_not_read(n_iterations):
    """``n_iterations`` of the loop lie between the connection and the stop."""

    async def scenario():
        handled = []

        async def handle(request):
            handled.append(request)
            await asyncio.sleep(0.02)
            return HttpResponse(200)

        server = HttpServer(handle)
        port = await server.start("127.0.0.1", 0)
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(REQUEST)
            for _ in range(n_iterations):
                await asyncio.sleep(0.0)
            await server.stop_listening()
            await server.wait_closed(1_000.0)
            await server.close()
            await asyncio.sleep(0.01)
            client.settimeout(0.2)
            try:
                answer = client.recv(1_000)
            except (ConnectionError, TimeoutError):
                # The loop may keep a connection without a transport until the end of
                # the process; nothing has been read from it.
                answer = b""
        return len(handled), answer

    n_handled, answer = asyncio.run(scenario())
    with warnings.catch_warnings():
        # The socket of such a connection warns when it is collected, here rather than
        # during another test.
        warnings.simplefilter("ignore", ResourceWarning)
        gc.collect()
    assert answer.startswith(b"HTTP/1.1 200") == (n_handled == 1)
