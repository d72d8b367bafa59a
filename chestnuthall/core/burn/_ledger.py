"""Stored counts of many writers, to which each delta is added at most once."""

from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Final

from chestnuthall.core.burn._counts import BurnCounts

# Instances that write to one stored object. The limit keeps their conditional
# updates from colliding; 1,900 instances use 30 objects.
N_INSTANCES_PER_PARTITION: Final = 64
# Twice the instances of a partition, to retain recently replaced ones.
N_WRITERS_MAX: Final = 128
# A flush is one read and one write. The fleet makes at most 17 flushes per second:
# each of 9 instances flushes every 15 s, each of 1,900 instances every 114 s.
FLUSH_INTERVAL_MIN_MS: Final = 15_000.0
FLUSH_INTERVAL_PER_INSTANCE_MS: Final = 60.0


def flush_interval_ms(n_instances: int) -> float:
    """Return the time between two flushes of one instance.

    Examples
    --------
    >>> flush_interval_ms(9), flush_interval_ms(1900)
    (15000.0, 114000.0)
    """
    interval_ms = n_instances * FLUSH_INTERVAL_PER_INSTANCE_MS
    return max(FLUSH_INTERVAL_MIN_MS, interval_ms)


def ledger_partition(instance_number: int, n_instances: int) -> int:
    """Return the index of the partition that an instance writes to.

    Examples
    --------
    >>> ledger_partition(77, 9), ledger_partition(77, 1900)
    (0, 17)
    """
    n_partitions = -(-max(1, n_instances) // N_INSTANCES_PER_PARTITION)
    return instance_number % n_partitions


@dataclass(frozen=True, slots=True)
class WriterState:
    """Sequence number of a writer's last delta, and the write that added it."""

    sequence: int
    n_writes: int


@dataclass(frozen=True, slots=True)
class BurnLedger:
    """Counts with the last delta of each writer.

    ``n_writes`` is the number of writes of the object. ``n_writes_forgotten`` is
    the highest ``n_writes`` of the writers that were evicted to bound the size.
    """

    counts: BurnCounts = field(default_factory=BurnCounts)
    writers: dict[str, WriterState] = field(default_factory=dict)
    n_writes: int = 0
    n_writes_forgotten: int = 0


@dataclass(frozen=True, slots=True)
class BurnDelta:
    """Counts of one writer that are to be added once.

    ``first_attempt_n_writes`` is the value of ``BurnLedger.n_writes`` that a success of
    the first attempt would have produced; 0 before the first attempt.
    """

    writer: str
    sequence: int
    counts: BurnCounts
    first_attempt_n_writes: int = 0


class DeltaDecision(Enum):
    """What to do with a delta."""

    ADD = "add"
    ALREADY_COUNTED = "counted_already"
    UNDETERMINED = "cannot_tell"


def decide_delta(ledger: BurnLedger, delta: BurnDelta) -> DeltaDecision:
    """Decide whether a delta has been added already.

    If the state of a writer was evicted after its attempt, it is unknown whether
    the attempt took effect. The delta is then discarded, because counting too
    little is better than counting twice.
    """
    writer = ledger.writers.get(delta.writer)
    if writer is not None and writer.sequence >= delta.sequence:
        return DeltaDecision.ALREADY_COUNTED
    was_attempted = delta.first_attempt_n_writes > 0
    if (
        writer is None
        and was_attempted
        and delta.first_attempt_n_writes <= ledger.n_writes_forgotten
    ):
        return DeltaDecision.UNDETERMINED
    return DeltaDecision.ADD


def mark_attempted(ledger: BurnLedger, delta: BurnDelta) -> BurnDelta:
    """Return the delta with its first attempt recorded."""
    if delta.first_attempt_n_writes:
        return delta
    return replace(delta, first_attempt_n_writes=ledger.n_writes + 1)


def add_delta(ledger: BurnLedger, delta: BurnDelta) -> BurnLedger:
    """Return the ledger with a delta that ``decide_delta`` says to add."""
    n_writes = ledger.n_writes + 1
    writers = {**ledger.writers, delta.writer: WriterState(delta.sequence, n_writes)}
    n_forgotten = ledger.n_writes_forgotten
    while len(writers) > N_WRITERS_MAX:
        oldest = min(writers, key=lambda name: writers[name].n_writes)
        n_forgotten = max(n_forgotten, writers.pop(oldest).n_writes)
    return BurnLedger(ledger.counts.plus(delta.counts), writers, n_writes, n_forgotten)
