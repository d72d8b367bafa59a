"""Events and actions of the claim protocol for one ledger partition."""

from dataclasses import dataclass
from typing import TypeAlias

from chestnuthall.core.claims._ledger import KeyClaim, LedgerPartition
from chestnuthall.core.results import Failure


@dataclass(frozen=True, slots=True)
class ClaimRequested:
    """A request needs its key."""

    wall_ms: float
    claim: KeyClaim


@dataclass(frozen=True, slots=True)
class ClaimWithdrawn:
    """A request no longer waits; its deadline passed or its caller left."""

    wall_ms: float
    claim: KeyClaim


@dataclass(frozen=True, slots=True)
class ClaimAbandoned:
    """The holder of a claim will never dispatch it."""

    wall_ms: float
    claim: KeyClaim


@dataclass(frozen=True, slots=True)
class PartitionRead:
    """The store returned the partition; version 0 means that it has none."""

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
    """The rate budget allows one write now."""

    wall_ms: float


@dataclass(frozen=True, slots=True)
class WriteSucceeded:
    """The write took effect and made this version."""

    wall_ms: float
    version: int


@dataclass(frozen=True, slots=True)
class WriteConflicted:
    """The write had no effect, because the version had moved.

    ``jitter_ratio`` in [0, 1) spreads the retries of several writers.
    """

    wall_ms: float
    jitter_ratio: float


@dataclass(frozen=True, slots=True)
class WriteUnresolved:
    """The write may have taken effect, or may still do so."""

    wall_ms: float


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """The write had no effect."""

    wall_ms: float
    failure: Failure


@dataclass(frozen=True, slots=True)
class DelayEnded:
    """The delay that was asked for is over."""

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
    """Wait for the rate budget; answered by ``WriteSlotGranted``."""


@dataclass(frozen=True, slots=True)
class WritePartition:
    """Write the partition on condition that its version is still ``version``."""

    version: int
    partition: LedgerPartition


@dataclass(frozen=True, slots=True)
class Delay:
    """Wait; answered by ``DelayEnded``."""

    duration_ms: float


@dataclass(frozen=True, slots=True)
class CompleteClaim:
    """The claim of a token is held, or refused with a failure."""

    token: str
    failure: Failure | None


ClaimAction: TypeAlias = (
    ReadPartition | AwaitWriteSlot | WritePartition | Delay | CompleteClaim
)
