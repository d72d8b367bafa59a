"""Contents of a ledger partition and the claims added to it."""

from dataclasses import dataclass, replace
from enum import Enum


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerSettings:
    """Bounds of the ledger; durations in milliseconds of wall-clock time."""

    n_partitions: int = 64
    retention_ms: float = 600_000.0
    future_tolerance_ms: float = 60_000.0
    n_entries_max: int = 6000


@dataclass(frozen=True, slots=True)
class KeyClaim:
    """A claim of a key; ``token`` is unique to this attempt."""

    idempotency_key: str
    token: str
    issued_at_ms: float


@dataclass(frozen=True, slots=True)
class ClaimEntry:
    """A key in the ledger. An abandoned one was never dispatched."""

    token: str
    issued_at_ms: float
    is_abandoned: bool = False


@dataclass(frozen=True, slots=True)
class LedgerPartition:
    """Entries by key; keys issued at or before ``floor_ms`` were pruned."""

    floor_ms: float
    entries: dict[str, ClaimEntry]


class ClaimDecision(Enum):
    """What a partition says to a claim."""

    CLAIMED = "claimed"
    HELD_BY_OTHER = "held_by_other"
    EXPIRED = "expired"
    ISSUED_IN_FUTURE = "issued_in_future"
    FULL = "full"


def add_claims(
    partition: LedgerPartition,
    claims: tuple[KeyClaim, ...],
    settings: LedgerSettings,
    wall_ms: float,
) -> tuple[LedgerPartition, dict[str, ClaimDecision]]:
    """Return the partition with the claims added, and a decision per token.

    Pruning raises the floor in the same step, so that an instance with a
    slower clock cannot accept a key that another one has pruned.
    """
    pruned = _prune(partition, settings, wall_ms)
    entries = dict(pruned.entries)
    decisions: dict[str, ClaimDecision] = {}
    for claim in claims:
        decision = _decide(claim, pruned.floor_ms, entries, settings, wall_ms)
        decisions[claim.token] = decision
        if decision is ClaimDecision.CLAIMED:
            entries[claim.idempotency_key] = ClaimEntry(claim.token, claim.issued_at_ms)
    return replace(pruned, entries=entries), decisions


def _decide(
    claim: KeyClaim,
    floor_ms: float,
    entries: dict[str, ClaimEntry],
    settings: LedgerSettings,
    wall_ms: float,
) -> ClaimDecision:
    entry = entries.get(claim.idempotency_key)
    if entry is not None and entry.token == claim.token:
        return ClaimDecision.CLAIMED
    if claim.issued_at_ms <= floor_ms:
        return ClaimDecision.EXPIRED
    if claim.issued_at_ms > wall_ms + settings.future_tolerance_ms:
        return ClaimDecision.ISSUED_IN_FUTURE
    if entry is not None and not entry.is_abandoned:
        return ClaimDecision.HELD_BY_OTHER
    if entry is None and len(entries) >= settings.n_entries_max:
        return ClaimDecision.FULL
    return ClaimDecision.CLAIMED


def _prune(
    partition: LedgerPartition, settings: LedgerSettings, wall_ms: float
) -> LedgerPartition:
    floor_ms = max(partition.floor_ms, wall_ms - settings.retention_ms)
    entries = {
        key: entry
        for key, entry in partition.entries.items()
        if entry.issued_at_ms > floor_ms
    }
    return LedgerPartition(floor_ms, entries)
