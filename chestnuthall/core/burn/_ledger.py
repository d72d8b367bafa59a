"""The stored counts of many writers, each change counted once."""

from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Final

from chestnuthall.core.burn._counts import BurnCounts

# One stored object takes the counts of this many instances, which keeps its
# conditional updates from colliding; 1,900 instances use 30 objects.
N_INSTANCES_PER_PARTITION: Final = 64
# Twice the instances of a part, to remember those that were replaced lately.
N_WRITERS_MAX: Final = 128
# A flush is one read and one write. The fleet makes 17 of them a second at
# most: 9 instances flush each 15 s, 1,900 instances each 114 s.
FLUSH_INTERVAL_MIN_MS: Final = 15_000.0
FLUSH_INTERVAL_PER_INSTANCE_MS: Final = 60.0


def flush_interval_ms(n_instances: int) -> float:
    """Return the time between two flushes of one instance.

    Examples
    --------
    >>> flush_interval_ms(9), flush_interval_ms(1900)
    (15000.0, 114000.0)
    """
    wanted_ms = n_instances * FLUSH_INTERVAL_PER_INSTANCE_MS
    return max(FLUSH_INTERVAL_MIN_MS, wanted_ms)


def ledger_partition(instance_number: int, n_instances: int) -> int:
    """Return the part of the stored counts that an instance writes to.

    Examples
    --------
    >>> ledger_partition(77, 9), ledger_partition(77, 1900)
    (0, 17)
    """
    n_partitions = -(-max(1, n_instances) // N_INSTANCES_PER_PARTITION)
    return instance_number % n_partitions


@dataclass(frozen=True, slots=True)
class WriterState:
    """The last change of a writer, and the write of the object it came with."""

    sequence: int
    n_writes: int


@dataclass(frozen=True, slots=True)
class BurnLedger:
    """Counts with the marks of their writers.

    ``n_writes`` counts the writes of the object. ``n_writes_forgotten`` is
    the highest mark of a writer that was forgotten to bound the size.
    """

    counts: BurnCounts = field(default_factory=BurnCounts)
    writers: dict[str, WriterState] = field(default_factory=dict)
    n_writes: int = 0
    n_writes_forgotten: int = 0


@dataclass(frozen=True, slots=True)
class BurnDelta:
    """Counts of one writer that are to be added once.

    ``first_n_writes`` is the number of the write that the first attempt would
    have been; 0 before an attempt.
    """

    writer: str
    sequence: int
    counts: BurnCounts
    first_n_writes: int = 0


class DeltaDecision(Enum):
    """What to do with a change."""

    ADD = "add"
    ALREADY_COUNTED = "counted_already"
    UNDETERMINED = "cannot_tell"


def decide_delta(ledger: BurnLedger, delta: BurnDelta) -> DeltaDecision:
    """Decide whether a change has been added already.

    Where the mark of a writer was forgotten after its attempt, nothing tells
    whether the attempt took effect; the change is then given up, because
    counting too little is better than counting twice.
    """
    writer = ledger.writers.get(delta.writer)
    if writer is not None and writer.sequence >= delta.sequence:
        return DeltaDecision.ALREADY_COUNTED
    was_tried = delta.first_n_writes > 0
    if (
        writer is None
        and was_tried
        and delta.first_n_writes <= ledger.n_writes_forgotten
    ):
        return DeltaDecision.UNDETERMINED
    return DeltaDecision.ADD


def mark_attempted(ledger: BurnLedger, delta: BurnDelta) -> BurnDelta:
    """Return a change that remembers its first attempt."""
    if delta.first_n_writes:
        return delta
    return replace(delta, first_n_writes=ledger.n_writes + 1)


def add_delta(ledger: BurnLedger, delta: BurnDelta) -> BurnLedger:
    """Return the ledger with a change that ``decide_delta`` says to add."""
    n_writes = ledger.n_writes + 1
    writers = {**ledger.writers, delta.writer: WriterState(delta.sequence, n_writes)}
    n_forgotten = ledger.n_writes_forgotten
    while len(writers) > N_WRITERS_MAX:
        oldest = min(writers, key=lambda name: writers[name].n_writes)
        n_forgotten = max(n_forgotten, writers.pop(oldest).n_writes)
    return BurnLedger(ledger.counts.plus(delta.counts), writers, n_writes, n_forgotten)
