"""HTTP messages with complete bodies."""

from dataclasses import dataclass, field


class DropConnection(Exception):
    """Raised by a handler to close the connection without a response."""


HeaderPairs = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP request; header names are lower-case bytes.

    If ``header_pairs`` is given, it lists all headers in order, including repeated
    names, and ``headers`` is used for look-ups only.
    """

    method: str
    target: str
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    header_pairs: HeaderPairs | None = None

    @property
    def all_headers(self) -> HeaderPairs:
        """All headers, as they are sent."""
        if self.header_pairs is None:
            return tuple(self.headers.items())
        return self.header_pairs

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """The query string, without the question mark."""
        return self.target.partition("?")[2]


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An HTTP response; headers are represented as in ``HttpRequest``."""

    status: int
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    header_pairs: HeaderPairs | None = None

    @property
    def all_headers(self) -> HeaderPairs:
        """All headers, as they are sent."""
        if self.header_pairs is None:
            return tuple(self.headers.items())
        return self.header_pairs
