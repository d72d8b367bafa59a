"""State machine of the claim protocol for one ledger partition.

At most one store call is in progress. Claims that arrive meanwhile wait and are
batched into the next write. Safety depends on the conditional write alone: a
claim is held only when a write with its token is known to have taken effect, and
every write is conditional on the version that it was derived from.
"""

from enum import Enum
from functools import singledispatch

from chestnuthall.core.claims._events import (
    AwaitWriteSlot,
    ClaimAbandoned,
    ClaimAction,
    ClaimEvent,
    ClaimRequested,
    ClaimWithdrawn,
    CompleteClaim,
    Delay,
    DelayEnded,
    PartitionRead,
    ReadFailed,
    ReadPartition,
    WriteConflicted,
    WriteFailed,
    WritePartition,
    WriteSlotGranted,
    WriteSucceeded,
    WriteUnresolved,
)
from chestnuthall.core.claims._failures import failure_from_decision
from chestnuthall.core.claims._ledger import (
    ClaimDecision,
    KeyClaim,
    LedgerPartition,
    LedgerSettings,
    add_claims,
    remove_claims,
)
from chestnuthall.core.results import (
    CLAIM_UNSETTLED,
    DEADLINE_PASSED,
    RATE_LIMITED,
    Failure,
    RunState,
)

# Each claim adds about a hundred bytes to the object.
N_CLAIMS_PER_WRITE_MAX = 500
# Abandoned claims kept in memory while the store is not writable; the oldest
# are dropped first.
N_ABANDONED_MAX = 2_000
# Retries that are made for abandoned claims alone, with no claim waiting.
N_ABANDONED_RETRIES_MAX = 6
# Consecutive writes that the store may rate-limit before the claims fail.
N_RATE_LIMITED_WRITES_MAX = 3
# Consecutive reads that must return the cached version before the cache is
# trusted again. A conflict costs a write, and writes are scarcer than reads.
N_CONFIRMING_READS = 3
# Maximum age of a read that a write may be based on while other instances write
# to the partition as well.
READ_AGE_MAX_MS = 10.0
BACKOFF_FIRST_MS = 5.0
BACKOFF_MAX_MS = 250.0


class Phase(Enum):
    """Phase of the protocol: the action in progress, or idle."""

    IDLE = "idle"
    READING = "reading"
    AWAITING_WRITE_SLOT = "awaiting_turn"
    WRITING = "writing"
    DELAYING = "delaying"


class PartitionClaimMachine:
    """Claims of one instance in one partition.

    ``cached`` is the last known version with its content; it saves the read
    before a write. It is trusted until a write based on it conflicts, and again
    once ``N_CONFIRMING_READS`` consecutive reads returned the cached version.
    """

    def __init__(self, settings: LedgerSettings) -> None:
        self.settings = settings
        self.phase = Phase.IDLE
        self.cached: tuple[int, LedgerPartition] | None = None
        self.waiting: dict[str, KeyClaim] = {}
        self.writing: dict[str, KeyClaim] = {}
        self.abandoned: dict[str, KeyClaim] = {}
        self.written_abandoned: tuple[str, ...] = ()
        self.written_partition: LedgerPartition | None = None
        # Tokens of lost writes, which may still take effect.
        self.unresolved: set[str] = set()
        # Version on which the last lost write was conditional, while it may still take
        # effect.
        self.lost_version: int | None = None
        # Lowest possible current version; a read of an older version is stale.
        self.min_version = 0
        # Tokens that were waiting when the last read started. Only these may be
        # refused by its result, because a key may be abandoned between two reads.
        self.tokens_at_read: frozenset[str] = frozenset()
        self.needs_read = False
        # Whether a write slot was granted before the read in progress, so that the
        # write follows without waiting for another slot.
        self.has_write_slot = False
        self.read_wall_ms = 0.0
        self.is_cache_trusted = True
        self.n_confirming_reads = 0
        self.n_retries = 0
        self.n_rate_limited_writes = 0

    def handle(self, event: ClaimEvent) -> list[ClaimAction]:
        """Apply one event and return the resulting actions."""
        return _apply(event, self)

    def drop_cache(self) -> None:
        """Drop the cached partition to free memory, if the machine is idle."""
        if self.phase is Phase.IDLE:
            self.cached = None

    def advance(self) -> list[ClaimAction]:
        """Start the next read or write if there is work."""
        if not self.has_work:
            return self.become_idle()
        if not self.waiting and self.n_retries > N_ABANDONED_RETRIES_MAX:
            self.abandoned.clear()
            return self.become_idle()
        if self.cached is None or self.needs_read:
            return self.start_read()
        self.phase = Phase.AWAITING_WRITE_SLOT
        return [AwaitWriteSlot()]

    @property
    def has_work(self) -> bool:
        """Whether claims wait to be written or abandoned claims to be removed."""
        return bool(self.waiting or self.abandoned)

    def become_idle(self) -> list[ClaimAction]:
        """Become idle until the next request; nothing is retried before it."""
        self.phase = Phase.IDLE
        self.n_retries = 0
        self.has_write_slot = False
        return []

    def start_read(self) -> list[ClaimAction]:
        """Read the partition for all waiting claims."""
        self.phase = Phase.READING
        self.needs_read = False
        self.tokens_at_read = frozenset(self.waiting)
        return [ReadPartition()]

    def retry(self, delay_ms: float) -> list[ClaimAction]:
        """Read or write again, after a delay unless this is the first retry."""
        self.n_retries += 1
        if self.n_retries == 1:
            return self.advance()
        self.phase = Phase.DELAYING
        return [Delay(delay_ms)]

    def backoff_ms(self) -> float:
        """Return the longest delay before the next retry."""
        delay_ms: float = BACKOFF_FIRST_MS * 2.0 ** min(self.n_retries, 10)
        return min(delay_ms, BACKOFF_MAX_MS)

    def requeue_written(self) -> None:
        """Put the claims of a write that did not succeed before the waiting ones."""
        self.waiting = {**self.writing, **self.waiting}
        self.writing = {}
        self.written_abandoned = ()
        self.written_partition = None

    def add_abandoned(self, claim: KeyClaim) -> None:
        """Record that a claim must be removed if the partition contains it."""
        self.abandoned[claim.token] = claim
        while len(self.abandoned) > N_ABANDONED_MAX:
            del self.abandoned[next(iter(self.abandoned))]

    def refuse(self, claim: KeyClaim, failure: Failure) -> CompleteClaim:
        """Refuse a waiting claim, whose request is then never dispatched."""
        self.waiting.pop(claim.token, None)
        if claim.token not in self.unresolved:
            return CompleteClaim(claim.token, failure)
        # A lost write may still enter the key in the partition.
        self.add_abandoned(claim)
        if failure.kind.run is RunState.NO:
            failure = CLAIM_UNSETTLED.with_reason(failure.reason)
        return CompleteClaim(claim.token, failure)

    def refuse_all(self, failure: Failure) -> list[ClaimAction]:
        """Refuse all waiting claims and become idle."""
        self.cached = None
        refused = [self.refuse(item, failure) for item in list(self.waiting.values())]
        self.n_rate_limited_writes = 0
        return [*refused, *self.become_idle()]


@singledispatch
def _apply(event: ClaimEvent, claims: PartitionClaimMachine) -> list[ClaimAction]:
    raise TypeError(f"not an event: {type(event).__name__}")


@_apply.register
def _(event: ClaimRequested, claims: PartitionClaimMachine) -> list[ClaimAction]:
    claims.waiting[event.claim.token] = event.claim
    if claims.phase is not Phase.IDLE:
        return []
    if not claims.is_cache_trusted:
        claims.needs_read = True
    return claims.advance()


@_apply.register
def _(event: ClaimAbandoned, claims: PartitionClaimMachine) -> list[ClaimAction]:
    claims.add_abandoned(event.claim)
    return claims.advance() if claims.phase is Phase.IDLE else []


@_apply.register
def _(event: ClaimWithdrawn, claims: PartitionClaimMachine) -> list[ClaimAction]:
    token = event.claim.token
    if claims.writing.pop(token, None) is not None:
        claims.add_abandoned(event.claim)
        return [
            CompleteClaim(token, CLAIM_UNSETTLED.with_reason("its write was under way"))
        ]
    if token not in claims.waiting:
        return []
    failure = DEADLINE_PASSED.with_reason(
        "the request ended before its claim was written"
    )
    return [claims.refuse(event.claim, failure)]


@_apply.register
def _(event: PartitionRead, claims: PartitionClaimMachine) -> list[ClaimAction]:
    if event.version < claims.min_version:
        # The store may serve stale reads.
        claims.cached = None
        return claims.retry(claims.backoff_ms())
    _record_read(event, claims)
    completed = _complete_held(event.partition, claims)
    if claims.lost_version is None:
        claims.unresolved.clear()
        _drop_absent_abandoned(event.partition, claims)
    refused = _refuse_from_read(event, claims)
    if claims.has_write_slot and claims.has_work:
        return [*completed, *refused, *_write(event.wall_ms, claims)]
    return [*completed, *refused, *claims.advance()]


def _record_read(event: PartitionRead, claims: PartitionClaimMachine) -> None:
    if claims.cached is not None:
        is_same = claims.cached[0] == event.version
        claims.n_confirming_reads = claims.n_confirming_reads + 1 if is_same else 0
        if claims.n_confirming_reads >= N_CONFIRMING_READS:
            claims.is_cache_trusted = True
    claims.cached = (event.version, event.partition)
    claims.read_wall_ms = event.wall_ms
    claims.min_version = event.version
    if claims.lost_version is not None and event.version > claims.lost_version:
        # The version has advanced: the lost write took effect before this read, or
        # its condition no longer holds.
        claims.lost_version = None


def _complete_held(
    partition: LedgerPartition, claims: PartitionClaimMachine
) -> list[ClaimAction]:
    held = [item for item in claims.waiting.values() if partition.is_held_by(item)]
    for claim in held:
        del claims.waiting[claim.token]
    return [CompleteClaim(claim.token, None) for claim in held]


def _drop_absent_abandoned(
    partition: LedgerPartition, claims: PartitionClaimMachine
) -> None:
    claims.abandoned = {
        token: item
        for token, item in claims.abandoned.items()
        if partition.is_held_by(item)
    }


def _refuse_from_read(
    event: PartitionRead, claims: PartitionClaimMachine
) -> list[ClaimAction]:
    base = remove_claims(event.partition, claims.abandoned.values())
    group = _next_write_group(claims)
    decisions = add_claims(base, group, claims.settings, event.wall_ms)[1]
    refused: list[ClaimAction] = []
    for claim in group:
        failure = failure_from_decision(decisions[claim.token])
        if failure is not None and claim.token in claims.tokens_at_read:
            refused.append(claims.refuse(claim, failure))
    return refused


def _next_write_group(claims: PartitionClaimMachine) -> tuple[KeyClaim, ...]:
    """Return the claims of the next write, at most one per key.

    A second claim of the same key waits until the write of the first one is
    resolved, because the key stays free if that write has no effect.
    """
    first: dict[str, KeyClaim] = {}
    for claim in claims.waiting.values():
        first.setdefault(claim.idempotency_key, claim)
    return tuple(first.values())[:N_CLAIMS_PER_WRITE_MAX]


@_apply.register
def _(event: ReadFailed, claims: PartitionClaimMachine) -> list[ClaimAction]:
    return claims.refuse_all(event.failure)


@_apply.register
def _(event: WriteSlotGranted, claims: PartitionClaimMachine) -> list[ClaimAction]:
    if not claims.has_work:
        return claims.become_idle()
    age_ms = event.wall_ms - claims.read_wall_ms
    if not claims.is_cache_trusted and age_ms > READ_AGE_MAX_MS:
        # Another writer has probably changed the version during the wait.
        claims.has_write_slot = True
        return claims.start_read()
    return _write(event.wall_ms, claims)


def _write(wall_ms: float, claims: PartitionClaimMachine) -> list[ClaimAction]:
    """Write all claims that can be accepted, conditional on the cached version."""
    assert claims.cached is not None
    claims.has_write_slot = False
    version, partition = claims.cached
    base = remove_claims(partition, claims.abandoned.values())
    group = _next_write_group(claims)
    changed, decisions = add_claims(base, group, claims.settings, wall_ms)
    accepted = [c for c in group if decisions[c.token] is ClaimDecision.CLAIMED]
    claims.needs_read = len(accepted) < len(group)
    is_same = base is partition and not accepted
    if is_same and claims.lost_version is None:
        claims.abandoned.clear()
        return claims.advance()
    for claim in accepted:
        claims.writing[claim.token] = claims.waiting.pop(claim.token)
    claims.written_abandoned = tuple(claims.abandoned)
    claims.written_partition = changed
    claims.phase = Phase.WRITING
    return [WritePartition(version, changed)]


@_apply.register
def _(event: WriteSucceeded, claims: PartitionClaimMachine) -> list[ClaimAction]:
    assert claims.written_partition is not None
    claims.cached = (event.version, claims.written_partition)
    claims.min_version = event.version
    # An earlier lost write was conditional on an older version, so it can no
    # longer take effect.
    claims.lost_version = None
    claims.unresolved.clear()
    claims.n_retries = 0
    claims.n_rate_limited_writes = 0
    completed = [CompleteClaim(token, None) for token in claims.writing]
    claims.writing = {}
    for token in claims.written_abandoned:
        claims.abandoned.pop(token, None)
    claims.written_abandoned = ()
    return [*completed, *claims.advance()]


@_apply.register
def _(event: WriteConflicted, claims: PartitionClaimMachine) -> list[ClaimAction]:
    assert claims.cached is not None
    claims.min_version = claims.cached[0] + 1
    claims.cached = None
    claims.is_cache_trusted = False
    claims.n_confirming_reads = 0
    claims.requeue_written()
    return claims.retry(claims.backoff_ms() * event.jitter_ratio)


@_apply.register
def _(event: WriteUnresolved, claims: PartitionClaimMachine) -> list[ClaimAction]:
    assert claims.cached is not None
    claims.lost_version = claims.cached[0]
    claims.unresolved.update(claims.writing)
    claims.cached = None
    claims.requeue_written()
    return claims.retry(claims.backoff_ms())


@_apply.register
def _(event: WriteFailed, claims: PartitionClaimMachine) -> list[ClaimAction]:
    claims.requeue_written()
    if event.failure.kind is not RATE_LIMITED:
        return claims.refuse_all(event.failure)
    claims.n_rate_limited_writes += 1
    if claims.n_rate_limited_writes > N_RATE_LIMITED_WRITES_MAX:
        return claims.refuse_all(event.failure)
    claims.n_retries += 1
    claims.phase = Phase.DELAYING
    return [Delay(claims.backoff_ms())]


@_apply.register
def _(event: DelayEnded, claims: PartitionClaimMachine) -> list[ClaimAction]:
    return claims.advance()
