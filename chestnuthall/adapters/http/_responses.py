"""Encoding of requests and parsing of responses on client connections.

Responses are parsed by ``httptools``. ``h11`` takes about 130 us for a request and
its response of 1,000 bytes, ``httptools`` about a tenth of that, and a search over
36 shards incurs this cost 36 times before its first answer. The server parses
requests with ``h11``.
"""

from collections.abc import Callable, Sequence

import httptools

from chestnuthall.adapters.http._messages import HttpRequest, HttpResponse

N_BODY_BYTES_MAX = 16 * 1024 * 1024
# Limit of the status lines and headers of a response and its interim responses.
N_HEAD_BYTES_MAX = 64 * 1024
N_HEADERS_MAX = 256
# Limit of the bytes of a body that are not content: chunk sizes, chunk extensions and
# trailers. It grows with the content, since each chunk has a size of its own.
N_FRAMING_BYTES_MAX = 64 * 1024
FRAMING_RATIO_MAX = 1
# Requests with these methods have a content-length header even without a body.
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
_NO_CONTENT = 204
_STATUSES_WITHOUT_BODY = frozenset({_NO_CONTENT, 304})
_SWITCHING_PROTOCOLS = 101
_HTTP_VERSIONS = frozenset({"1.0", "1.1"})
# The parser accepts any three digits.
_STATUS_MIN, _STATUS_MAX = 100, 599


class ResponseError(Exception):
    """Raised for bytes that are not a valid response to the request."""


def encode_head(request: HttpRequest, host: bytes) -> bytes:
    """Return the request line and the headers of a request.

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
    return head + b"\r\n\r\n"


ResponseTest = Callable[[HttpResponse], bool]


class ResponseParser:
    """Incremental parser of the response to one request.

    Complete responses for which ``is_foreign`` is true belong to other requests and
    are discarded.

    After the response, ``is_reusable`` tells whether the connection can carry
    another request: the response was complete before the end of the stream, no
    bytes followed it, and the server keeps the connection open.

    Each component of a response is bounded, so that a server that sends bytes
    without end cannot exhaust the memory. Trailers are discarded.
    """

    def __init__(self, method: str, is_foreign: ResponseTest | None = None) -> None:
        self._method = method
        self._is_foreign = is_foreign
        self._has_foreign = False
        self._parser = httptools.HttpResponseParser(self)
        self._status = 0
        self._pairs: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._n_received_bytes = 0
        self._n_head_bytes = 0
        self._has_head = False
        self._ends_at_eof = False
        self._is_complete = False
        self._has_extra_bytes = False
        self._keeps_alive = False
        self._error: ResponseError | None = None

    @property
    def is_reusable(self) -> bool:
        """Whether another request may follow on the connection."""
        has_other_bytes = self._has_extra_bytes or self._has_foreign
        is_delimited = self._is_complete and not has_other_bytes
        return is_delimited and self._keeps_alive and self._method != "HEAD"

    @property
    def n_held_bytes(self) -> int:
        """Number of bytes of the response that are kept so far."""
        if not self._has_head:
            return self._n_received_bytes
        return self._n_head_bytes + len(self._body)

    def feed(self, data: bytes) -> HttpResponse | None:
        """Parse received bytes; return the response once it is complete.

        Raises ``ResponseError`` if the bytes are not a valid response, or if a
        component of the response exceeds its limit.
        """
        self._n_received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._is_complete:
                # The parser replaces an error raised in a callback by its own.
                raise self._error or ResponseError(str(error)) from error
            self._has_extra_bytes = True
        if self._is_complete:
            return self._build_response()
        self._check_overhead()
        return None

    def close(self) -> None:
        """Free the memory of the response.

        This object and the parser refer to each other, so without this the body would
        be kept until the next garbage collection.
        """
        self._body = bytearray()
        self._pairs = []
        del self._parser

    def _check_overhead(self) -> None:
        """Raise ``ResponseError`` for too many bytes that are not body content.

        The parser reports a header, a trailer and a chunk only after its end, so the
        bytes received are counted instead.
        """
        if not self._has_head:
            if self._n_received_bytes > N_HEAD_BYTES_MAX:
                raise ResponseError("the response head is too large")
            return
        n_content = len(self._body)
        n_framing = self._n_received_bytes - self._n_head_bytes - n_content
        if n_framing > N_FRAMING_BYTES_MAX + FRAMING_RATIO_MAX * n_content:
            raise ResponseError("the chunk extensions or trailers are too large")

    def feed_eof(self) -> HttpResponse | None:
        """Handle the end of the stream; return a response that it delimits."""
        if self._has_head and self._ends_at_eof:
            return self._build_response()
        return None

    def _build_response(self) -> HttpResponse:
        pairs = tuple(self._pairs)
        return HttpResponse(self._status, dict(pairs), bytes(self._body), pairs)

    def _reject(self, reason: str) -> ResponseError:
        """Store the reason, which the parser would not pass on, and return it."""
        self._error = ResponseError(reason)
        return self._error

    def on_message_begin(self) -> None:
        """Detect a second message; called by the parser."""
        if self._is_complete:
            self._has_extra_bytes = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header and discard a trailer; called by the parser."""
        if self._is_complete or self._has_head:
            return
        self._pairs.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Determine how the body is delimited; called by the parser."""
        if self._is_complete:
            return
        if self._parser.get_http_version() not in _HTTP_VERSIONS:
            raise self._reject("the HTTP version is not supported")
        # The parser's status becomes that of a further message in the same bytes.
        self._status = self._parser.get_status_code()
        if not _STATUS_MIN <= self._status <= _STATUS_MAX:
            raise self._reject(f"{self._status:03} is not a status")
        if self._status == _SWITCHING_PROTOCOLS:
            raise self._reject("the protocol was switched without a request for it")
        self._check_head()
        if self._is_informational():
            return
        self._has_head = True
        # The parser provides this only until the message is complete.
        self._keeps_alive = self._parser.should_keep_alive()
        lengths = _header_values(self._pairs, b"content-length")
        has_length = bool(lengths)
        encodings = _header_values(self._pairs, b"transfer-encoding")
        if has_length and encodings:
            raise self._reject("both content-length and transfer-encoding are present")
        is_chunked = bool(encodings)
        if is_chunked and [item.lower() for item in encodings] != [b"chunked"]:
            raise self._reject("the transfer encoding is not supported")
        if self._status == _NO_CONTENT and (is_chunked or any(map(int, lengths))):
            # Another status of which one bit is wrong.
            raise self._reject("a response without content has a body")
        if self._method != "HEAD" and any(int(x) > N_BODY_BYTES_MAX for x in lengths):
            raise self._reject("the response body is too large")
        if self._method == "HEAD":
            self._is_complete = True
            return
        has_body = self._status not in _STATUSES_WITHOUT_BODY
        self._ends_at_eof = has_body and not has_length and not is_chunked

    def _check_head(self) -> None:
        """Raise ``ResponseError`` if the head is too large."""
        if len(self._pairs) > N_HEADERS_MAX:
            raise self._reject("the response has too many headers")
        # Two bytes each for the separator and the line break.
        self._n_head_bytes += sum(len(n) + len(v) + 4 for n, v in self._pairs)
        if self._n_head_bytes > N_HEAD_BYTES_MAX:
            raise self._reject("the response head is too large")

    def on_body(self, data: bytes) -> None:
        """Append data to the body; called by the parser."""
        if self._is_complete:
            return
        if len(self._body) + len(data) > N_BODY_BYTES_MAX:
            raise self._reject("the response body is too large")
        self._body += data

    def on_message_complete(self) -> None:
        """Complete the response or skip an interim one; called by the parser."""
        if not self._is_complete and self._is_informational():
            self._pairs.clear()
            return
        if not self._is_complete and self._is_foreign_response():
            self._discard_foreign()
            return
        self._is_complete = True

    def _is_foreign_response(self) -> bool:
        return self._is_foreign is not None and self._is_foreign(self._build_response())

    def _discard_foreign(self) -> None:
        self._has_foreign = True
        self._has_head = self._ends_at_eof = False
        self._n_received_bytes = self._n_head_bytes = 0
        self._pairs = []
        self._body = bytearray()

    def _is_informational(self) -> bool:
        return 100 <= self._status < 200


def _header_values(
    pairs: Sequence[tuple[bytes, bytes]], header_name: bytes
) -> list[bytes]:
    return [value for name, value in pairs if name == header_name]
