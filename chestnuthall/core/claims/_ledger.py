"""Contents of a ledger partition and the changes made to it."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

# Upper bounds on the encoded size of a partition, in bytes: the frame of the
# object, an entry without its key, and a character that JSON has to escape
# (two escapes of six bytes where it lies outside the basic plane).
N_FRAME_BYTES = 64
N_ENTRY_BYTES = 80
N_ESCAPED_BYTES = 12


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerSettings:
    """Bounds of the ledger; durations in milliseconds of wall-clock time.

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

    def holds(self, claim: KeyClaim) -> bool:
        """Return whether this very attempt holds its key."""
        entry = self.entries.get(claim.idempotency_key)
        return entry is not None and entry.token == claim.token


EMPTY_PARTITION = LedgerPartition(0.0, {})


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
    timely = [
        claim.issued_at_ms
        for claim in claims
        if claim.issued_at_ms <= wall_ms + settings.future_tolerance_ms
    ]
    pruned = _prune(partition, settings, wall_ms, timely)
    entries = dict(pruned.entries)
    n_bytes = N_FRAME_BYTES + sum(entry_size_bytes(key) for key in entries)
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
    """Return the partition without the entries that these attempts hold.

    An entry of another attempt at the same key stays.
    """
    held = {claim.idempotency_key for claim in claims if partition.holds(claim)}
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
        n_escaped = sum(1 for letter in key if not _is_plain(letter))
    return N_ENTRY_BYTES + len(key) + (N_ESCAPED_BYTES - 1) * n_escaped


def _is_plain(letter: str) -> bool:
    return " " <= letter <= "~" and letter not in '"\\'


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

    The floor follows the newest issue time that was accepted where that is
    earlier than the wall clock. Otherwise a single instance with a clock that
    runs ahead would make every key of the fleet count as expired.
    """
    held_ms = [entry.issued_at_ms for entry in partition.entries.values()]
    newest_ms = max([*held_ms, *issue_times_ms], default=0.0)
    floor_ms = max(partition.floor_ms, min(wall_ms, newest_ms) - settings.retention_ms)
    entries = {
        key: entry
        for key, entry in partition.entries.items()
        if entry.issued_at_ms > floor_ms
    }
    return LedgerPartition(floor_ms, entries)
