"""HTTP messages with whole bodies."""

from dataclasses import dataclass, field


class DropConnection(Exception):
    """Raised by a handler to close the connection without a response."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request; header names are lower-case bytes."""

    method: str
    target: str
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""

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
    """A response; header names are lower-case bytes."""

    status: int
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
