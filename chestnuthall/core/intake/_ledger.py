"""Which connections to close, and which requests to refuse, when clients hold much."""

from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

Holder = TypeVar("Holder", bound=Hashable)

# Part of the memory that running requests may hold. The rest is for messages that are
# being received or sent, of which the largest can be dropped.
RUNNING_RATIO_MAX = 0.5


class ConnectionState(Enum):
    """What a connection is doing."""

    RECEIVING = "receiving"
    """It is idle, or a part of a message has arrived."""
    RUNNING = "running"
    """A request has arrived and its response is not known yet."""
    SENDING = "sending"
    """The other end has not read all of a response."""


@dataclass(frozen=True, slots=True)
class _Holding:
    state: ConnectionState
    n_bytes: int


class MemoryLedger(Generic[Holder]):
    """Bytes that connections hold, in one sum for all of them.

    A limit for each connection does not bound their sum. When the sum exceeds its
    limit, the largest holder that runs no request has to be dropped: ordinary messages
    are far smaller than those that fill the memory. A running request keeps its
    memory until it has ended, so a request is refused if those that run hold much.

    Examples
    --------
    >>> ledger = MemoryLedger(100)
    >>> ledger.set("a", ConnectionState.RUNNING, 40)
    >>> ledger.set("b", ConnectionState.SENDING, 30)
    >>> ledger.set("c", ConnectionState.RECEIVING, 50)
    >>> ledger.may_run("b", 20), ledger.excess()
    (False, 'c')
    >>> ledger.remove("c"), ledger.n_bytes, ledger.excess()
    (50, 70, None)
    """

    def __init__(self, n_bytes_max: int) -> None:
        self.n_bytes_max = n_bytes_max
        self.n_bytes = 0
        self._n_running_bytes = 0
        self._holdings: dict[Holder, _Holding] = {}

    def set(self, holder: Holder, state: ConnectionState, n_bytes: int) -> None:
        """Set what a connection does and how many bytes it holds."""
        self.remove(holder)
        self._holdings[holder] = _Holding(state, n_bytes)
        self.n_bytes += n_bytes
        if state is ConnectionState.RUNNING:
            self._n_running_bytes += n_bytes

    def remove(self, holder: Holder) -> int:
        """Forget a connection; return the bytes that it held."""
        holding = self._holdings.pop(holder, None)
        if holding is None:
            return 0
        self.n_bytes -= holding.n_bytes
        if holding.state is ConnectionState.RUNNING:
            self._n_running_bytes -= holding.n_bytes
        return holding.n_bytes

    def may_run(self, holder: Holder, n_bytes: int) -> bool:
        """Return whether a request of a connection may run and hold ``n_bytes``.

        A single request always may.
        """
        if self._n_running_bytes == 0:
            return True
        n_bytes_max = RUNNING_RATIO_MAX * self.n_bytes_max
        return self._n_running_bytes + n_bytes <= n_bytes_max

    def excess(self) -> Holder | None:
        """Return the connection to drop, or None if the sum is within its limit."""
        if self.n_bytes <= self.n_bytes_max:
            return None
        return max(
            (
                holder
                for holder, holding in self._holdings.items()
                if holding.state is not ConnectionState.RUNNING
            ),
            key=lambda holder: self._holdings[holder].n_bytes,
            default=None,
        )


def connection_to_replace(
    connections: Iterable[tuple[Holder, ConnectionState, bool]],
) -> Holder | None:
    """Return the connection to close for a new one, or None if there is none.

    ``connections`` are ordered by the end of their last request, the earliest first;
    each has its state, and whether its client sends requests ahead of the responses.
    Clients that keep connections without using them would otherwise keep others out,
    and so would those that always have a request running. A request that runs on any
    other connection is not cut.

    Examples
    --------
    >>> running, idle = ConnectionState.RUNNING, ConnectionState.RECEIVING
    >>> connection_to_replace([("a", running, True), ("b", idle, False)])
    'b'
    >>> connection_to_replace([("a", running, False), ("b", running, True)])
    'b'
    """
    ahead = None
    for holder, state, has_requests_ahead in connections:
        if state is not ConnectionState.RUNNING:
            return holder
        if ahead is None and has_requests_ahead:
            ahead = holder
    return ahead
