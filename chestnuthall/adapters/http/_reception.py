"""Bound on the memory that connections hold together."""

from typing import Protocol

from chestnuthall.core.intake import ConnectionState, MemoryLedger

# Responses from replicas, peers and the store that have not arrived completely. Each
# one is bounded, too, but a faulty replica may send many of them at once.
N_RESPONSE_BYTES_MAX = 32 * 1024 * 1024
# Requests from callers and peers, and the responses that they have not read.
N_REQUEST_BYTES_MAX = 64 * 1024 * 1024


class Receiver(Protocol):
    """A connection that holds messages or parts of them."""

    def drop_message(self, reason: str) -> None:
        """Give up the message and free its memory."""
        ...


class ReceptionBudget:
    """Bytes that all connections together may hold.

    When they are exceeded, the largest message that belongs to no running request is
    dropped. A message without an end becomes the largest one in time, and ordinary
    ones are far smaller.

    Examples
    --------
    >>> class Connection:
    ...     def drop_message(self, reason):
    ...         print(reason)
    >>> small, large = Connection(), Connection()
    >>> budget = ReceptionBudget(100)
    >>> budget.hold(small, 30)
    >>> budget.hold(large, 80)
    the message of 80 bytes is the largest of 110 bytes in reception
    >>> budget.n_bytes
    30
    """

    def __init__(self, n_bytes_max: int) -> None:
        self._ledger: MemoryLedger[Receiver] = MemoryLedger(n_bytes_max)

    @property
    def n_bytes(self) -> int:
        """Bytes that are held now."""
        return self._ledger.n_bytes

    def set_limit(self, n_bytes_max: int) -> None:
        """Change the limit; it applies from the next message on."""
        self._ledger.n_bytes_max = n_bytes_max

    def may_run(self, receiver: Receiver, n_bytes: int) -> bool:
        """Return whether the request of a connection may run and hold ``n_bytes``."""
        return self._ledger.may_run(receiver, n_bytes)

    def hold(
        self,
        receiver: Receiver,
        n_bytes: int,
        state: ConnectionState = ConnectionState.RECEIVING,
    ) -> None:
        """Set how many bytes a connection holds.

        This may drop the message of any connection, including this one.
        """
        self._ledger.set(receiver, state, n_bytes)
        while (largest := self._ledger.excess()) is not None:
            n_total = self._ledger.n_bytes
            n_dropped = self._ledger.remove(largest)
            largest.drop_message(
                f"the message of {n_dropped} bytes is the largest of {n_total} bytes "
                "in reception"
            )

    def release(self, receiver: Receiver) -> int:
        """Note that a message is complete or was dropped; return its bytes."""
        return self._ledger.remove(receiver)


RESPONSES = ReceptionBudget(N_RESPONSE_BYTES_MAX)
REQUESTS = ReceptionBudget(N_REQUEST_BYTES_MAX)
