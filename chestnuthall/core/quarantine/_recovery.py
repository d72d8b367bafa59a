"""Decides what follows from the records that a store has after it lost some.

A store that returns from a backup copy lacks the records that were written last, and
has the ones again that were deleted last.
"""

from collections.abc import Collection
from hashlib import blake2b

from chestnuthall.core.quarantine._record import QuarantineRecord

# Time after which the next instance writes a record, unless it has seen it written.
# It covers a write and the news of it.
TURN_MS = 300.0
# Number of instances that take turns; the others follow together.
N_TURNS_MAX = 10


def turn_ms(own_name: str, names: Collection[str], fingerprint: str) -> float:
    """Return how long an instance waits before it brings a record up to date.

    All instances know the same, and one write is enough. They take turns, in an order
    that differs between the records.

    Examples
    --------
    >>> names = ["a", "b", "c"]
    >>> sorted(turn_ms(name, names, "f") for name in names)
    [0.0, 300.0, 600.0]
    """

    def order_key(name: str) -> bytes:
        return blake2b(f"{fingerprint}/{name}".encode(), digest_size=8).digest()

    own_key = order_key(own_name)
    n_before = sum(order_key(name) < own_key for name in names if name != own_name)
    return TURN_MS * min(n_before, N_TURNS_MAX)


def is_lifted_again(record: QuarantineRecord, lifted: QuarantineRecord) -> bool:
    """Return whether a record of a later era is one that was lifted before.

    One that contains a loss or a trial that the lifted record did not have was
    written afterwards.

    Examples
    --------
    >>> lifted = QuarantineRecord(fingerprint="f", lost_names=frozenset("ab"))
    >>> older = QuarantineRecord(fingerprint="f", lost_names=frozenset("a"))
    >>> newer = QuarantineRecord(fingerprint="f", lost_names=frozenset("c"))
    >>> is_lifted_again(older, lifted), is_lifted_again(newer, lifted)
    (True, False)
    """
    return lifted.merged_with(record) == lifted
