"""What the members of a crowd send: endless requests, or one without an end."""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass

# Limits of a message, as the platform sets them.
N_HEADER_BYTES_MAX = 16_384
N_BODY_BYTES_MAX = 262_144
# A member that is never stopped sends this much.
N_SENT_BYTES_MAX = 8 * 1024 * 1024
_N_BATCH_BYTES = 64 * 1024

USUAL_HEADERS = b"host: h.example\r\nx-request-id: c1\r\n"


@dataclass(frozen=True, slots=True)
class Sending:
    """What one member sends: a beginning, then a batch again and again."""

    first: bytes = b""
    batch: bytes = b""

    def pieces(self) -> Iterator[bytes]:
        """Yield what to send, up to the bound for one member."""
        yield self.first
        if not self.batch:
            return
        for _ in range(N_SENT_BYTES_MAX // len(self.batch)):
            yield self.batch


def ahead(path: bytes, *, headers: bytes = b"", body: bytes = b"") -> Sending:
    """Return complete requests one after the other, whose answers are never read."""
    method = b"POST" if body else b"GET"
    length = b"content-length: %d\r\n" % len(body) if body else b""
    host = b"" if b"host:" in headers else b"host: a\r\n"
    head = b"%s %s HTTP/1.1\r\n%s%s%s\r\n" % (method, path, host, headers, length)
    request = head + body
    return Sending(batch=request * max(1, _N_BATCH_BYTES // len(request)))


def once(path: bytes, *, headers: bytes = USUAL_HEADERS, body: bytes = b"") -> Sending:
    """Return one complete request, whose answer is never read."""
    length = b"content-length: %d\r\n" % len(body)
    return Sending(b"POST %s HTTP/1.1\r\n%s%s\r\n%s" % (path, headers, length, body))


def unfinished_head(path: bytes) -> Sending:
    """Return a head of many small headers that lacks its last line."""
    head = b"GET %s HTTP/1.1\r\nhost: a\r\n" % path
    lines = (b"a%d:b\r\n" % index for index in itertools.count())
    while len(head) < N_HEADER_BYTES_MAX - 64:
        head += next(lines)
    return Sending(head)


def unfinished_body(path: bytes, *, headers: bytes = USUAL_HEADERS) -> Sending:
    """Return a request whose body lacks its last byte."""
    length = b"content-length: %d\r\n\r\n" % N_BODY_BYTES_MAX
    body = b"x" * (N_BODY_BYTES_MAX - 1)
    return Sending(b"POST %s HTTP/1.1\r\n%s%s%s" % (path, headers, length, body))


def unfinished_chunks(path: bytes, *, headers: bytes = USUAL_HEADERS) -> Sending:
    """Return a request whose body comes in chunks of two bytes and lacks the last."""
    head = b"POST %s HTTP/1.1\r\n%stransfer-encoding: chunked\r\n\r\n" % (path, headers)
    return Sending(head + b"2\r\nxy\r\n" * (N_BODY_BYTES_MAX // 2 - 1))


def silent() -> Sending:
    """Return nothing: the member only connects."""
    return Sending()
