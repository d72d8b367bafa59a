"""Encoding of requests and parsing of responses on client connections.

Responses are parsed by ``httptools``. ``h11`` takes about 130 us for a request and
its response of 1,000 bytes, ``httptools`` about a tenth of that, and a search over
36 shards incurs this cost 36 times before its first answer. The server parses
requests with ``h11``.
"""

from collections.abc import Sequence

import httptools

from chestnuthall.adapters.http._messages import HttpRequest, HttpResponse

N_BODY_BYTES_MAX = 16 * 1024 * 1024
N_HEAD_BYTES_MAX = 64 * 1024
# Requests with these methods have a content-length header even without a body.
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


class ResponseError(Exception):
    """Raised for bytes that are not a valid response to the request."""


def encode_request(request: HttpRequest, host: bytes) -> bytes:
    """Return the bytes of a request.

    ``host`` is used if the request has no ``host`` header. Raises ``ValueError`` if
    the request line or a header contains a line break or a NUL byte.
    """
    lines = [b"%s %s HTTP/1.1" % (request.method.encode(), request.target.encode())]
    if b"host" not in request.headers:
        lines.append(b"host: " + host)
    lines += [b"%s: %s" % pair for pair in request.all_headers]
    if request.body or request.method in METHODS_WITH_BODY:
        lines.append(b"content-length: %d" % len(request.body))
    head = b"\r\n".join(lines)
    n_line_breaks = len(lines) - 1
    if (
        head.count(b"\n") != n_line_breaks
        or head.count(b"\r") != n_line_breaks
        or b"\0" in head
    ):
        raise ValueError("line break or NUL byte in the head of a request")
    return b"%s\r\n\r\n%s" % (head, request.body)


class ResponseParser:
    """Incremental parser of the response to one request.

    After the response, ``is_reusable`` tells whether the connection can carry
    another request: the response was complete before the end of the stream, no
    bytes followed it, and the server keeps the connection open.
    """

    def __init__(self, method: str) -> None:
        self._method = method
        self._parser = httptools.HttpResponseParser(self)
        self._pairs: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._n_head_bytes = 0
        self._n_body_bytes = 0
        self._has_head = False
        self._ends_at_eof = False
        self._is_complete = False
        self._has_extra_bytes = False
        self._keeps_alive = False

    @property
    def is_reusable(self) -> bool:
        """Whether another request may follow on the connection."""
        is_delimited = self._is_complete and not self._has_extra_bytes
        return is_delimited and self._keeps_alive and self._method != "HEAD"

    def feed(self, data: bytes) -> HttpResponse | None:
        """Parse received bytes; return the response once it is complete."""
        if not self._has_head:
            self._n_head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self._is_complete:
                raise ResponseError(str(error)) from error
            self._has_extra_bytes = True
        if not self._has_head and self._n_head_bytes > N_HEAD_BYTES_MAX:
            raise ResponseError("the response head is too large")
        return self._build_response() if self._is_complete else None

    def feed_eof(self) -> HttpResponse | None:
        """Handle the end of the stream; return a response that it delimits."""
        if self._has_head and self._ends_at_eof:
            return self._build_response()
        return None

    def _build_response(self) -> HttpResponse:
        pairs = tuple(self._pairs)
        return HttpResponse(
            self._parser.get_status_code(), dict(pairs), b"".join(self._body), pairs
        )

    def on_message_begin(self) -> None:
        """Detect a second message; called by the parser."""
        if self._is_complete:
            self._has_extra_bytes = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; called by the parser."""
        if not self._is_complete:
            self._pairs.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Determine how the body is delimited; called by the parser."""
        if self._is_complete or self._is_informational():
            return
        self._has_head = True
        # The parser provides this only until the message is complete.
        self._keeps_alive = self._parser.should_keep_alive()
        has_length = _header_values(self._pairs, b"content-length")
        encodings = _header_values(self._pairs, b"transfer-encoding")
        if has_length and encodings:
            raise ResponseError("both content-length and transfer-encoding are present")
        if self._method == "HEAD":
            self._is_complete = True
            return
        is_chunked = bool(encodings) and encodings[-1].lower().endswith(b"chunked")
        has_body = self._parser.get_status_code() not in _STATUSES_WITHOUT_BODY
        self._ends_at_eof = has_body and not has_length and not is_chunked

    def on_body(self, data: bytes) -> None:
        """Append data to the body; called by the parser."""
        if self._is_complete:
            return
        self._body.append(data)
        self._n_body_bytes += len(data)
        if self._n_body_bytes > N_BODY_BYTES_MAX:
            raise ResponseError("the response body is too large")

    def on_message_complete(self) -> None:
        """Complete the response or skip an interim one; called by the parser."""
        if self._is_informational() and not self._is_complete:
            self._pairs.clear()
            return
        self._is_complete = True

    def _is_informational(self) -> bool:
        return 100 <= self._parser.get_status_code() < 200


def _header_values(
    pairs: Sequence[tuple[bytes, bytes]], header_name: bytes
) -> list[bytes]:
    return [value for name, value in pairs if name == header_name]
