"""Bound on the memory of messages that are being received."""

from typing import Protocol

# Responses from replicas, peers and the store that have not arrived completely. Each
# one is bounded, too, but a faulty replica may send many of them at once.
N_RESPONSE_BYTES_MAX = 32 * 1024 * 1024
# The same for requests from callers and peers.
N_REQUEST_BYTES_MAX = 64 * 1024 * 1024


class Receiver(Protocol):
    """A connection that holds a part of a message."""

    def drop_message(self, reason: str) -> None:
        """Give up the message and free its memory."""
        ...


class ReceptionBudget:
    """Bytes that all connections together may hold of incomplete messages.

    When they are exceeded, the largest message is dropped. A message without an end
    becomes the largest one in time, and ordinary ones are far smaller.

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
        self._n_bytes_max = n_bytes_max
        self._n_bytes_by_receiver: dict[Receiver, int] = {}
        self.n_bytes = 0

    def hold(self, receiver: Receiver, n_bytes: int) -> None:
        """Set how many bytes of an incomplete message a connection holds.

        This may drop the message of any connection, including this one.
        """
        self.n_bytes += n_bytes - self._n_bytes_by_receiver.get(receiver, 0)
        self._n_bytes_by_receiver[receiver] = n_bytes
        while self.n_bytes > self._n_bytes_max:
            n_total = self.n_bytes
            largest = max(
                self._n_bytes_by_receiver, key=self._n_bytes_by_receiver.__getitem__
            )
            n_dropped = self.release(largest)
            largest.drop_message(
                f"the message of {n_dropped} bytes is the largest of {n_total} bytes "
                "in reception"
            )

    def release(self, receiver: Receiver) -> int:
        """Note that a message is complete or was dropped; return its bytes."""
        n_bytes = self._n_bytes_by_receiver.pop(receiver, 0)
        self.n_bytes -= n_bytes
        return n_bytes


RESPONSES = ReceptionBudget(N_RESPONSE_BYTES_MAX)
REQUESTS = ReceptionBudget(N_REQUEST_BYTES_MAX)
