"""Tests of request encoding and response parsing.

Guards against responses that are accepted though they are truncated or malformed,
against reuse of a connection with extra bytes, and against header injection.
"""

import tracemalloc

import pytest

from chestnuthall.adapters.http import HttpRequest
from chestnuthall.adapters.http._responses import (
    ResponseError,
    ResponseParser,
    encode_head,
)

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
# (case, method, received pieces, whether the stream ends, body or None, is reusable)
RESPONSES = [
    ("length", "GET", [OK + b"content-length: 2\r\n\r\nok"], False, b"ok", True),
    (
        "in pieces",
        "GET",
        [OK + b"conte", b"nt-length: 2\r\n\r", b"\no", b"k"],
        False,
        b"ok",
        True,
    ),
    (
        "chunked",
        "GET",
        [OK + b"transfer-encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n"],
        False,
        b"ok",
        True,
    ),
    (
        "server closes",
        "GET",
        [OK + b"connection: close\r\ncontent-length: 2\r\n\r\nok"],
        False,
        b"ok",
        False,
    ),
    (
        "HTTP/1.0",
        "GET",
        [b"HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok"],
        False,
        b"ok",
        False,
    ),
    (
        "delimited by the end of the stream",
        "GET",
        [OK + b"\r\no", b"k"],
        True,
        b"ok",
        False,
    ),
    ("no length, stream open", "GET", [OK + b"\r\nok"], False, None, False),
    ("truncated body", "GET", [OK + b"content-length: 3\r\n\r\nok"], True, None, False),
    (
        "truncated chunk",
        "GET",
        [OK + b"transfer-encoding: chunked\r\n\r\n5\r\nok"],
        True,
        None,
        False,
    ),
    ("truncated head", "GET", [OK + b"content-le"], True, None, False),
    (
        "two responses at once",
        "GET",
        [OK + b"content-length: 2\r\n\r\nok" + OK + b"content-length: 1\r\n\r\nx"],
        False,
        b"ok",
        False,
    ),
    (
        "extra bytes after the response",
        "GET",
        [OK + b"content-length: 2\r\n\r\nok\x00\x01"],
        False,
        b"ok",
        False,
    ),
    (
        "interim response first",
        "GET",
        [
            b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n",
            OK + b"content-length: 2\r\n\r\nok",
        ],
        False,
        b"ok",
        True,
    ),
    ("no content", "GET", [b"HTTP/1.1 204 No Content\r\n\r\n"], False, b"", True),
    ("head", "HEAD", [OK + b"content-length: 9\r\n\r\n"], False, b"", False),
]


@pytest.mark.parametrize(
    ("method", "pieces", "is_at_eof", "body", "is_reusable"),
    [case[1:] for case in RESPONSES],
    ids=[case[0] for case in RESPONSES],
)
def test_response(method, pieces, is_at_eof, body, is_reusable):
    parser = ResponseParser(method)
    response = None
    for piece in pieces:
        response = parser.feed(piece) or response
    if is_at_eof:
        response = response or parser.feed_eof()
    assert (None if response is None else response.body) == body
    assert parser.is_reusable == is_reusable


def message(status, headers=b"content-length: 1\r\n", body=b"x"):
    return b"HTTP/1.1 %d S\r\n%s\r\n%s" % (status, headers, body)


# (case, status, complete response)
FIRST_MESSAGES = [
    ("success", 200, message(200)),
    ("error", 500, message(500)),
    ("rejection", 503, message(503)),
    ("chunked", 200, message(200, CHUNKED[:-2], b"1\r\nx\r\n0\r\n\r\n")),
    ("no content", 204, message(204, b"", b"")),
]
# (case, bytes after the response)
FURTHER_MESSAGES = [
    ("success", message(200)),
    ("rejection", message(503)),
    ("part of a head", message(421)[:30]),
    ("part of a body", message(503, b"content-length: 9\r\n")),
    ("interim response", b"HTTP/1.1 103 E\r\n\r\n"),
]


@pytest.mark.parametrize(
    "further",
    [case[1] for case in FURTHER_MESSAGES],
    ids=[case[0] for case in FURTHER_MESSAGES],
)
@pytest.mark.parametrize(
    ("status", "first"),
    [case[1:] for case in FIRST_MESSAGES],
    ids=[case[0] for case in FIRST_MESSAGES],
)
def test_further_message_does_not_change_the_status(status, first, further):
    """A success was reported with the status of a rejection that followed it."""
    parser = ResponseParser("GET")
    response = parser.feed(first + further)
    assert response.status == status
    assert not parser.is_reusable


def is_rejection(response):
    return response.status == 503


# (case, pieces, status, whether the response is complete)
FOREIGN_RESPONSES = [
    ("before, in one piece", [message(503) + message(200)], 200),
    ("before, in two pieces", [message(503), message(200)], 200),
    ("cut anywhere", [message(503)[:30], message(503)[30:] + message(200)], 200),
    (
        "two of them",
        [message(503), message(503, CHUNKED[:-2], b"0\r\n\r\n"), message(200)],
        200,
    ),
    ("after", [message(200) + message(503)], 200),
    ("alone", [message(503)], None),
]


@pytest.mark.parametrize(
    ("pieces", "status"),
    [case[1:] for case in FOREIGN_RESPONSES],
    ids=[case[0] for case in FOREIGN_RESPONSES],
)
def test_foreign_responses_are_discarded(pieces, status):
    """A request must get its own response although that of another one came first."""
    parser = ResponseParser("GET", is_rejection)
    responses = [x for x in map(parser.feed, pieces) if x is not None]
    assert [x.status for x in responses] == ([] if status is None else [status])
    assert [x.body for x in responses] == ([] if status is None else [b"x"])
    assert not parser.is_reusable


# (case, bytes)
INVALID_RESPONSES = [
    ("switched protocol", b"HTTP/1.1 101 Switching\r\nupgrade: x\r\n\r\n"),
    ("HTTP/0.9", b"HTTP/0.9 200 OK\r\ncontent-length: 2\r\n\r\nok"),
    ("compressed", OK + b"transfer-encoding: gzip\r\n\r\nok"),
    ("compressed chunks", OK + b"transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
    ("chunked twice", OK + b"transfer-encoding: chunked\r\n" + CHUNKED + b"0\r\n\r\n"),
    ("too many headers", OK + b"x: y\r\n" * 300 + b"\r\n"),
    ("not HTTP", b"\x16\x03\x01 hello\r\n\r\n"),
    ("no status", b"HTTP/1.1 OK\r\n\r\n"),
    ("status 000", message(0).replace(b" 0 ", b" 000 ")),
    ("status below 100", message(99).replace(b" 99 ", b" 099 ")),
    ("status 600", message(600)),
    ("no content, with a length", message(204)),
    ("no content, chunked", message(204, CHUNKED[:-2], b"0\r\n\r\n")),
    ("status 999", message(999)),
    (
        "length and transfer encoding",
        OK + b"content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    ),
    ("two lengths", OK + b"content-length: 2\r\ncontent-length: 3\r\n\r\nokk"),
    ("invalid length", OK + b"content-length: +2\r\n\r\nok"),
    ("invalid chunk size", OK + b"transfer-encoding: chunked\r\n\r\nzz\r\nok\r\n"),
    ("head too large", OK + b"x: " + b"y" * 70_000),
    ("body too large", OK + b"content-length: 99999999\r\n\r\n" + b"x" * 17_000_000),
]


@pytest.mark.parametrize(
    "data",
    [case[1] for case in INVALID_RESPONSES],
    ids=[case[0] for case in INVALID_RESPONSES],
)
def test_invalid_response_is_rejected(data):
    with pytest.raises(ResponseError, match=r"^(?!.*callback)"):
        ResponseParser("GET").feed(data)


def test_request_keeps_header_order_and_duplicates():
    pairs = ((b"host", b"a"), (b"x", b"1"), (b"x", b"2"))
    request = HttpRequest("POST", "/p?q", dict(pairs), b"body", pairs)
    assert encode_head(request, b"other") + request.body == (
        b"POST /p?q HTTP/1.1\r\nhost: a\r\nx: 1\r\nx: 2\r\n"
        b"content-length: 4\r\n\r\nbody"
    )


@pytest.mark.parametrize(
    "request_",
    [
        HttpRequest("GET", "/a\r\nx: y"),
        HttpRequest("GET", "/", {b"x": b"1\nsmuggled: 2"}),
        HttpRequest("GET", "/", {b"x\r\ny": b"1"}),
        HttpRequest("GET", "/", {b"x": b"\0"}),
    ],
)
def test_line_breaks_in_the_head_are_rejected(request_):
    """Header injection must not produce a second request at a replica."""
    with pytest.raises(ValueError, match="line break"):
        encode_head(request_, b"a")


# (case, bytes before the endless ones, bytes that are repeated)
ENDLESS_RESPONSES = [
    ("status line", b"HTTP/1.1 200 ", b"K"),
    ("bytes that are not HTTP", b"", b"\x00\xff"),
    ("line breaks before the status line", b"", b"\r\n"),
    ("header name", OK, b"x"),
    ("header value", OK + b"x: ", b"y"),
    ("headers", OK, b"x: y\r\n"),
    ("interim responses", b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    ("chunk size", OK + CHUNKED, b"0"),
    ("chunk extension", OK + CHUNKED + b"1;", b"e"),
    ("trailer name", OK + CHUNKED + b"0\r\n", b"x"),
    ("trailer value", OK + CHUNKED + b"0\r\nx: ", b"y"),
    ("trailers", OK + CHUNKED + b"0\r\n", b"x: y\r\n"),
    ("chunks with extensions", OK + CHUNKED, b"1;" + b"e" * 400 + b"\r\nx\r\n"),
    ("small chunks", OK + CHUNKED, b"1\r\nx\r\n"),
    ("body up to the end of the stream", OK + b"\r\n", b"x"),
    ("body with a length", OK + b"content-length: 999999999\r\n\r\n", b"x"),
]
N_ENDLESS_BYTES = 48 * 1024 * 1024
N_PIECE_BYTES = 256 * 1024
# One piece, the limit of the body, and copies of both while they are joined.
N_HELD_BYTES_MAX = 2 * 17 * 1024 * 1024


@pytest.mark.parametrize(
    ("start", "repeated"),
    [case[1:] for case in ENDLESS_RESPONSES],
    ids=[case[0] for case in ENDLESS_RESPONSES],
)
def test_endless_response_is_rejected_in_bounded_memory(start, repeated):
    """An upstream that sends without end must not exhaust the memory."""
    parser = ResponseParser("GET")
    piece = repeated * (N_PIECE_BYTES // len(repeated))
    tracemalloc.start()
    try:
        with pytest.raises(ResponseError):
            _feed_without_end(parser, start, piece)
        _, n_peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert n_peak_bytes < N_HELD_BYTES_MAX


def _feed_without_end(parser, start, piece):
    parser.feed(start)
    for _ in range(N_ENDLESS_BYTES // len(piece)):
        parser.feed(piece)


# (case, complete response)
COMPLETE_RESPONSES = [
    ("length", OK + b"x: y\r\ncontent-length: 5\r\n\r\nhello"),
    ("empty body", OK + b"content-length: 0\r\n\r\n"),
    ("chunked", OK + CHUNKED + b"3;e=1\r\nhel\r\n2\r\nlo\r\n0\r\nt: u\r\n\r\n"),
    (
        "interim response first",
        b"HTTP/1.1 103 Early Hints\r\n\r\n" + OK + b"content-length: 1\r\n\r\nx",
    ),
    ("no content", b"HTTP/1.1 204 No Content\r\n\r\n"),
]


@pytest.mark.parametrize(
    "data",
    [case[1] for case in COMPLETE_RESPONSES],
    ids=[case[0] for case in COMPLETE_RESPONSES],
)
def test_response_cut_at_any_byte_is_not_complete(data):
    """A replica that stops in its head or body must not yield an empty success."""
    for n_bytes in range(len(data)):
        parser = ResponseParser("GET")
        assert parser.feed(data[:n_bytes]) is None, data[:n_bytes]
        assert parser.feed_eof() is None, data[:n_bytes]
    assert ResponseParser("GET").feed(data) is not None


@pytest.mark.parametrize("data", [OK + b"x: y\r\n\r\nhello"])
def test_response_without_length_needs_its_whole_head(data):
    n_head_bytes = data.index(b"\r\n\r\n") + 4
    for n_bytes in range(n_head_bytes):
        parser = ResponseParser("GET")
        parser.feed(data[:n_bytes])
        assert parser.feed_eof() is None, data[:n_bytes]


def test_trailers_are_not_headers():
    """A trailer must not change how the response is interpreted."""
    trailers = b"x-signature: forged\r\nx-not-run: 1\r\n"
    data = OK + CHUNKED + b"2\r\nok\r\n0\r\n" + trailers + b"\r\n"
    response = ResponseParser("GET").feed(data)
    assert response.header_pairs == ((b"transfer-encoding", b"chunked"),)
