"""Contents of a ledger partition, and how claims are added and removed."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

# Upper bounds on the parts of an encoded partition, in bytes: the object without
# its entries, an entry without its key, and a character that JSON escapes (two
# escapes of six bytes for a character outside the basic multilingual plane).
N_OBJECT_OVERHEAD_BYTES = 64
N_ENTRY_OVERHEAD_BYTES = 80
N_ESCAPED_CHARACTER_BYTES = 12


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerSettings:
    """Limits of the ledger; durations are in milliseconds of wall-clock time.

    ``n_bytes_max`` stays below the one megabyte that the store accepts.
    """

    n_partitions: int = 64
    retention_ms: float = 600_000.0
    future_tolerance_ms: float = 60_000.0
    n_entries_max: int = 6000
    n_bytes_max: int = 1_000_000


@dataclass(frozen=True, slots=True)
class KeyClaim:
    """A claim of a key; ``token`` is unique to this attempt."""

    idempotency_key: str
    token: str
    issued_at_ms: float


@dataclass(frozen=True, slots=True)
class ClaimEntry:
    """A key in the ledger and the attempt that holds it."""

    token: str
    issued_at_ms: float


@dataclass(frozen=True, slots=True)
class LedgerPartition:
    """Entries by key; keys issued at or before ``floor_ms`` were pruned."""

    floor_ms: float
    entries: dict[str, ClaimEntry]

    def is_held_by(self, claim: KeyClaim) -> bool:
        """Return whether the attempt of this claim holds the key."""
        entry = self.entries.get(claim.idempotency_key)
        return entry is not None and entry.token == claim.token


EMPTY_PARTITION = LedgerPartition(0.0, {})


class ClaimDecision(Enum):
    """Outcome of a claim against the contents of a partition."""

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
    """Return the partition with the accepted claims, and a decision per token.

    Pruning raises the floor in the same write, so that an instance whose clock
    is behind cannot accept a key that another instance has pruned.
    """
    issue_times_ms = [
        claim.issued_at_ms
        for claim in claims
        if claim.issued_at_ms <= wall_ms + settings.future_tolerance_ms
    ]
    pruned = _prune(partition, settings, wall_ms, issue_times_ms)
    entries = dict(pruned.entries)
    n_bytes = N_OBJECT_OVERHEAD_BYTES + sum(entry_size_bytes(key) for key in entries)
    decisions: dict[str, ClaimDecision] = {}
    for claim in claims:
        decision = _decide(claim, pruned, entries, settings, wall_ms)
        size_bytes = entry_size_bytes(claim.idempotency_key)
        is_new = claim.idempotency_key not in entries
        if decision is ClaimDecision.CLAIMED and is_new:
            if _is_full(len(entries), n_bytes + size_bytes, settings):
                decision = ClaimDecision.FULL
            else:
                entry = ClaimEntry(claim.token, claim.issued_at_ms)
                entries[claim.idempotency_key] = entry
                n_bytes += size_bytes
        decisions[claim.token] = decision
    return LedgerPartition(pruned.floor_ms, entries), decisions


def remove_claims(
    partition: LedgerPartition, claims: Iterable[KeyClaim]
) -> LedgerPartition:
    """Return the partition without the entries that these claims hold.

    An entry that another attempt holds for the same key is kept.
    """
    held = {claim.idempotency_key for claim in claims if partition.is_held_by(claim)}
    if not held:
        return partition
    entries = {
        key: entry for key, entry in partition.entries.items() if key not in held
    }
    return LedgerPartition(partition.floor_ms, entries)


def entry_size_bytes(key: str) -> int:
    """Return an upper bound on the encoded size of a key's entry.

    Examples
    --------
    >>> entry_size_bytes("hold-17")
    87
    """
    if key.isascii() and key.isprintable():
        n_escaped = key.count('"') + key.count("\\")
    else:
        n_escaped = sum(1 for character in key if not _is_plain(character))
    return (
        N_ENTRY_OVERHEAD_BYTES + len(key) + (N_ESCAPED_CHARACTER_BYTES - 1) * n_escaped
    )


def _is_plain(character: str) -> bool:
    return " " <= character <= "~" and character not in '"\\'


def _is_full(n_entries: int, n_bytes: int, settings: LedgerSettings) -> bool:
    return n_entries >= settings.n_entries_max or n_bytes > settings.n_bytes_max


def _decide(
    claim: KeyClaim,
    pruned: LedgerPartition,
    entries: dict[str, ClaimEntry],
    settings: LedgerSettings,
    wall_ms: float,
) -> ClaimDecision:
    entry = entries.get(claim.idempotency_key)
    if entry is not None and entry.token == claim.token:
        return ClaimDecision.CLAIMED
    if claim.issued_at_ms <= pruned.floor_ms:
        return ClaimDecision.EXPIRED
    if claim.issued_at_ms > wall_ms + settings.future_tolerance_ms:
        return ClaimDecision.ISSUED_IN_FUTURE
    if entry is not None:
        return ClaimDecision.HELD_BY_OTHER
    return ClaimDecision.CLAIMED


def _prune(
    partition: LedgerPartition,
    settings: LedgerSettings,
    wall_ms: float,
    issue_times_ms: list[float],
) -> LedgerPartition:
    """Drop the entries older than the retention and raise the floor to match.

    The floor is derived from the newest issue time or the wall clock, whichever
    is earlier. Otherwise one instance whose clock is ahead would make the keys
    of the whole fleet expire.
    """
    entry_times_ms = [entry.issued_at_ms for entry in partition.entries.values()]
    newest_ms = max([*entry_times_ms, *issue_times_ms], default=0.0)
    floor_ms = max(partition.floor_ms, min(wall_ms, newest_ms) - settings.retention_ms)
    entries = {
        key: entry
        for key, entry in partition.entries.items()
        if entry.issued_at_ms > floor_ms
    }
    return LedgerPartition(floor_ms, entries)
