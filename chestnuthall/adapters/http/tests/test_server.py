"""Tests of the server with clients that violate the protocol or its limits.

Guards against unhandled exceptions, and against connections that stay open although
the request is invalid or too slow.
"""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chestnuthall.adapters.http import HttpRequest, HttpResponse, HttpServer
from chestnuthall.adapters.http._server import ServerLimits, _ServerConnection

LIMITS = ServerLimits(n_header_bytes_max=2048, n_body_bytes_max=100)
GOOD = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi"
CLOSE = b"GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"


class RecordingTransport(asyncio.Transport):
    """Transport that records written bytes and sends nothing."""

    def __init__(self):
        super().__init__()
        self.written = b""
        self.closed = False

    def write(self, data):
        self.written += data

    def close(self):
        self.closed = True

    abort = close

    def is_closing(self):
        return self.closed

    def pause_reading(self):
        pass

    resume_reading = pause_reading

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def get_write_buffer_size(self):
        return 0


async def echo(request: HttpRequest) -> HttpResponse:
    await asyncio.sleep(0)
    return HttpResponse(200, {}, request.method.encode() + request.body)


def serve(chunks, limits=LIMITS, handler=echo):
    """Feed chunks to one connection and return its transport."""

    async def scenario():
        connection = _ServerConnection(HttpServer(handler, limits))
        transport = RecordingTransport()
        connection.connection_made(transport)
        for chunk in chunks:
            if not transport.closed:
                connection.data_received(chunk)
            await asyncio.sleep(0)
        for _ in range(20):
            await asyncio.sleep(0)
        connection.connection_lost(None)
        return transport

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    ("chunks", "statuses", "closed"),
    [
        pytest.param([GOOD], [b"200"], False, id="single-request"),
        pytest.param([GOOD[:30], GOOD[30:]], [b"200"], False, id="split"),
        pytest.param([GOOD + GOOD + CLOSE], [b"200"] * 3, True, id="pipelined"),
        pytest.param([b"\x00\x01nonsense\r\n\r\n"], [b"400"], True, id="not-http"),
        pytest.param(
            [b"GET /" + b"a" * 4096], [b"431"], True, id="request-line-too-long"
        ),
        pytest.param(
            [b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\n\r\n" + b"a" * 101],
            [b"413"],
            True,
            id="body-too-large",
        ),
        pytest.param(
            [b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n"],
            [b"400"],
            True,
            id="bad-chunk",
        ),
        pytest.param(
            [b"HEAD /x HTTP/1.1\r\nhost: a\r\n\r\n", GOOD],
            [b"200", b"200"],
            False,
            id="head-has-no-body",
        ),
        pytest.param(
            [
                b"POST /x HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n"
                b"content-length: 2\r\n\r\n",
                b"hi",
            ],
            [b"100", b"200"],
            False,
            id="expect-continue",
        ),
        pytest.param(
            [GOOD, b"\x00\r\n\r\n"], [b"200", b"400"], True, id="valid-then-invalid"
        ),
        pytest.param(
            [b"CONNECT a:1 HTTP/1.1\r\nhost: a:1\r\n\r\n"],
            [b"501"],
            True,
            id="tunnel",
        ),
        pytest.param(
            [
                b"GET /x HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\n"
                b"upgrade: h2c\r\n\r\n",
                GOOD,
            ],
            [b"200", b"200"],
            False,
            id="upgrade-is-declined",
        ),
    ],
)
def test_statuses(chunks, statuses, closed):
    transport = serve(chunks)
    lines = transport.written.split(b"HTTP/1.1 ")[1:]
    assert [line[:3] for line in lines] == statuses
    assert transport.closed == closed


# (case, response of the handler)
INVALID_RESPONSES = [
    ("status 000", HttpResponse(0)),
    ("status 099", HttpResponse(99, {}, b"x")),
    ("interim status", HttpResponse(101)),
    ("status 1000", HttpResponse(1000)),
    ("line break in a header", HttpResponse(200, {b"a": b"1\r\nb: 2"})),
    ("invalid header name", HttpResponse(200, {b"a b": b"1"})),
    ("second length", HttpResponse(200, {b"content-length": b"7"}, b"x")),
]


@pytest.mark.parametrize(
    "response",
    [case[1] for case in INVALID_RESPONSES],
    ids=[case[0] for case in INVALID_RESPONSES],
)
def test_response_that_cannot_be_encoded_is_replaced_by_an_error(response):
    """The client was never answered, and its connection stayed open."""

    async def respond(request):
        return response

    transport = serve([GOOD], handler=respond)
    assert transport.written.startswith(b"HTTP/1.1 500 ")


def test_connection_is_closed_if_the_response_cannot_be_sent(monkeypatch):
    """A client must not wait on a connection on which nothing will be sent."""

    def fail(connection, response, data):
        raise RuntimeError("test")

    monkeypatch.setattr(_ServerConnection, "_write", fail)
    assert serve([GOOD]).closed


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(
    st.lists(
        st.one_of(
            st.binary(min_size=1, max_size=60),
            st.sampled_from([GOOD, CLOSE, GOOD[:25]]),
        ),
        max_size=6,
    )
)
def test_any_bytes_leave_the_server_standing(chunks):
    """No input may raise out of the connection; each response is well formed."""
    transport = serve(chunks)
    for line in transport.written.split(b"HTTP/1.1 ")[1:]:
        assert line[:3] in (b"200", b"400", b"413", b"431", b"501", b"505")


def test_slow_request_is_closed():
    """A client that sends its body too slowly must not keep its connection."""

    async def scenario():
        limits = ServerLimits(idle_timeout_ms=20.0)
        connection = _ServerConnection(HttpServer(echo, limits))
        transport = RecordingTransport()
        connection.connection_made(transport)
        connection.data_received(GOOD[:-1])
        await asyncio.sleep(0.06)
        return transport.closed

    assert asyncio.run(scenario())
