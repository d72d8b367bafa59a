"""Encoding of requests and parsing of responses on client connections.

The parser is ``httptools``; ``h11`` takes some 130 us for a request and its
response of 1,000 bytes, this takes about a tenth, and a search over 36 shards pays
it 36 times before its first answer. Callers are read by ``h11``.
"""

from collections.abc import Sequence

import httptools

from chestnuthall.adapters.http._messages import HttpRequest, HttpResponse

N_BODY_BYTES_MAX = 16 * 1024 * 1024
N_HEAD_BYTES_MAX = 64 * 1024
# A request with one of these methods states the length of an empty body too.
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


class ResponseError(Exception):
    """Bytes that are no response to the request."""


def encode_request(request: HttpRequest, host: bytes) -> bytes:
    """Return the bytes of a request; ``host`` serves one that names none.

    Raises ``ValueError`` for a part that would end its line.
    """
    lines = [b"%s %s HTTP/1.1" % (request.method.encode(), request.target.encode())]
    if b"host" not in request.headers:
        lines.append(b"host: " + host)
    lines += [b"%s: %s" % pair for pair in request.all_headers]
    if request.body or request.method in METHODS_WITH_BODY:
        lines.append(b"content-length: %d" % len(request.body))
    head = b"\r\n".join(lines)
    n_ends = len(lines) - 1
    if head.count(b"\n") != n_ends or head.count(b"\r") != n_ends or b"\0" in head:
        raise ValueError("a line end inside the head of a request")
    return b"%s\r\n\r\n%s" % (head, request.body)


class ResponseParser:
    """Reads the response to one request.

    After the response, ``is_reusable`` says whether the connection may serve
    another request: the response had a length, nothing followed it, and the
    server does not close.
    """

    def __init__(self, method: str) -> None:
        self._method = method
        self._parser = httptools.HttpResponseParser(self)
        self._pairs: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._n_head_bytes = 0
        self._n_body_bytes = 0
        self._has_head = False
        self._ends_with_stream = False
        self._is_whole = False
        self._has_more = False
        self._keeps_alive = False

    @property
    def is_reusable(self) -> bool:
        """Whether another request may follow on the connection."""
        is_clean = self._is_whole and not self._has_more
        return is_clean and self._keeps_alive and self._method != "HEAD"

    def feed(self, data: bytes) -> HttpResponse | None:
        """Take bytes; return the response once it is whole."""
        if not self._has_head:
            self._n_head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self._is_whole:
                raise ResponseError(str(error)) from error
            self._has_more = True
        if not self._has_head and self._n_head_bytes > N_HEAD_BYTES_MAX:
            raise ResponseError("the head is too large")
        return self._response() if self._is_whole else None

    def end(self) -> HttpResponse | None:
        """Take the end of the stream; return a response that ends with it."""
        if self._has_head and self._ends_with_stream:
            return self._response()
        return None

    def _response(self) -> HttpResponse:
        pairs = tuple(self._pairs)
        return HttpResponse(
            self._parser.get_status_code(), dict(pairs), b"".join(self._body), pairs
        )

    def on_message_begin(self) -> None:
        """Note a message; called by the parser."""
        if self._is_whole:
            self._has_more = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; called by the parser."""
        if not self._is_whole:
            self._pairs.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Decide how the body ends; called by the parser."""
        if self._is_whole or self._is_informational():
            return
        self._has_head = True
        # The parser knows this only until the message is complete.
        self._keeps_alive = self._parser.should_keep_alive()
        has_length = _values(self._pairs, b"content-length")
        encodings = _values(self._pairs, b"transfer-encoding")
        if has_length and encodings:
            raise ResponseError("both a length and a transfer encoding")
        if self._method == "HEAD":
            self._is_whole = True
            return
        is_chunked = bool(encodings) and encodings[-1].lower().endswith(b"chunked")
        has_body = self._parser.get_status_code() not in _STATUSES_WITHOUT_BODY
        self._ends_with_stream = has_body and not has_length and not is_chunked

    def on_body(self, data: bytes) -> None:
        """Take a part of the body; called by the parser."""
        if self._is_whole:
            return
        self._body.append(data)
        self._n_body_bytes += len(data)
        if self._n_body_bytes > N_BODY_BYTES_MAX:
            raise ResponseError("the body is too large")

    def on_message_complete(self) -> None:
        """Note the end of the response; called by the parser."""
        if self._is_informational() and not self._is_whole:
            self._pairs.clear()
            return
        self._is_whole = True

    def _is_informational(self) -> bool:
        return 100 <= self._parser.get_status_code() < 200


def _values(pairs: Sequence[tuple[bytes, bytes]], wanted: bytes) -> list[bytes]:
    return [value for name, value in pairs if name == wanted]
