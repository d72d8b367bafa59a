"""Events and actions of the claim protocol for one ledger partition."""

from dataclasses import dataclass
from typing import TypeAlias

from chestnuthall.core.claims._ledger import KeyClaim, LedgerPartition
from chestnuthall.core.results import Failure


@dataclass(frozen=True, slots=True)
class ClaimRequested:
    """A request wants to claim its idempotency key."""

    wall_ms: float
    claim: KeyClaim


@dataclass(frozen=True, slots=True)
class ClaimWithdrawn:
    """A request no longer waits: its deadline passed or it was cancelled."""

    wall_ms: float
    claim: KeyClaim


@dataclass(frozen=True, slots=True)
class ClaimAbandoned:
    """The holder of a claim will never dispatch its request."""

    wall_ms: float
    claim: KeyClaim


@dataclass(frozen=True, slots=True)
class PartitionRead:
    """The partition was read; version 0 means that the object does not exist."""

    wall_ms: float
    version: int
    partition: LedgerPartition


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The partition could not be read."""

    wall_ms: float
    failure: Failure


@dataclass(frozen=True, slots=True)
class WriteSlotGranted:
    """The write rate budget allows one write now."""

    wall_ms: float


@dataclass(frozen=True, slots=True)
class WriteSucceeded:
    """The write took effect and created this version."""

    wall_ms: float
    version: int


@dataclass(frozen=True, slots=True)
class WriteConflicted:
    """The write had no effect, because the version had changed.

    ``jitter_ratio`` in [0, 1) spreads the retries of several writers.
    """

    wall_ms: float
    jitter_ratio: float


@dataclass(frozen=True, slots=True)
class WriteUnresolved:
    """The answer was lost; the write may have taken effect or may still do so."""

    wall_ms: float


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """The write had no effect."""

    wall_ms: float
    failure: Failure


@dataclass(frozen=True, slots=True)
class DelayEnded:
    """The delay requested with ``Delay`` is over."""

    wall_ms: float


ClaimEvent: TypeAlias = (
    ClaimRequested
    | ClaimWithdrawn
    | ClaimAbandoned
    | PartitionRead
    | ReadFailed
    | WriteSlotGranted
    | WriteSucceeded
    | WriteConflicted
    | WriteUnresolved
    | WriteFailed
    | DelayEnded
)


@dataclass(frozen=True, slots=True)
class ReadPartition:
    """Read the partition; answered by ``PartitionRead`` or ``ReadFailed``."""


@dataclass(frozen=True, slots=True)
class AwaitWriteSlot:
    """Wait for the write rate budget; answered by ``WriteSlotGranted``."""


@dataclass(frozen=True, slots=True)
class WritePartition:
    """Write the partition if its version is still ``version``.

    Answered by ``WriteSucceeded``, ``WriteConflicted``, ``WriteUnresolved`` or
    ``WriteFailed``.
    """

    version: int
    partition: LedgerPartition


@dataclass(frozen=True, slots=True)
class Delay:
    """Wait for a duration; answered by ``DelayEnded``."""

    duration_ms: float


@dataclass(frozen=True, slots=True)
class CompleteClaim:
    """Complete a claim: it is held if ``failure`` is None, else refused."""

    token: str
    failure: Failure | None


ClaimAction: TypeAlias = (
    ReadPartition | AwaitWriteSlot | WritePartition | Delay | CompleteClaim
)
