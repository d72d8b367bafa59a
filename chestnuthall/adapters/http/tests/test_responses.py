"""Tests of request encoding and response parsing.

Guards against responses that are accepted though they are truncated or malformed,
against reuse of a connection with extra bytes, and against header injection.
"""

import pytest

from chestnuthall.adapters.http import HttpRequest
from chestnuthall.adapters.http._responses import (
    ResponseError,
    ResponseParser,
    encode_request,
)

OK = b"HTTP/1.1 200 OK\r\n"
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


# (case, bytes)
INVALID_RESPONSES = [
    ("not HTTP", b"\x16\x03\x01 hello\r\n\r\n"),
    ("no status", b"HTTP/1.1 OK\r\n\r\n"),
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
    with pytest.raises(ResponseError):
        ResponseParser("GET").feed(data)


def test_request_keeps_header_order_and_duplicates():
    pairs = ((b"host", b"a"), (b"x", b"1"), (b"x", b"2"))
    request = HttpRequest("POST", "/p?q", dict(pairs), b"body", pairs)
    assert encode_request(request, b"other") == (
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
        encode_request(request_, b"a")
