"""State machine of the claim protocol for one ledger partition.

At most one call to the store is under way. Claims that arrive meanwhile wait
and go into the next write together. Safety rests on the conditional write
alone: a claim is held only when a write with its token is known to have taken
effect, and every write is conditional on the version that it was made from.
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
from chestnuthall.core.claims._failures import failure_of_decision
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

# Claims in one write. Each adds about a hundred bytes to the object.
N_GROUP_MAX = 500
# Abandoned claims that are remembered while the store cannot be written.
N_ABANDONS_MAX = 2_000
# Rounds for which abandoned claims alone keep the machine busy.
N_ABANDON_ROUNDS_MAX = 6
# Writes in a row that the store may refuse for load before the claims fail.
N_RATE_LIMITED_MAX = 3
# Reads in a row that must find the cached version before it is trusted again;
# a conflict costs a write, which is scarcer than a read.
N_AGREEING_READS = 3
# Age up to which a read is written from where other instances write as well.
FRESH_MS = 10.0
BACKOFF_FIRST_MS = 5.0
BACKOFF_MAX_MS = 250.0


class Phase(Enum):
    """The call that the machine waits for."""

    IDLE = "idle"
    READING = "reading"
    AWAITING_WRITE_SLOT = "awaiting_turn"
    WRITING = "writing"
    DELAYING = "delaying"


class PartitionClaimMachine:
    """Claims of one instance in one partition.

    ``cached`` is the last known version with its content; it saves the read
    before a write. It is trusted until a write from it conflicts, and again
    once several reads in a row showed that it would have been right.
    """

    def __init__(self, settings: LedgerSettings) -> None:
        self.settings = settings
        self.phase = Phase.IDLE
        self.cached: tuple[int, LedgerPartition] | None = None
        self.waiting: dict[str, KeyClaim] = {}
        self.writing: dict[str, KeyClaim] = {}
        self.abandons: dict[str, KeyClaim] = {}
        self.written_abandons: tuple[str, ...] = ()
        self.written_partition: LedgerPartition | None = None
        # Tokens in a write whose answer was lost and that may still land.
        self.doubtful: set[str] = set()
        self.lost_version: int | None = None
        # Lowest version that the partition can be at; older reads are stale.
        self.min_version = 0
        # Tokens that waited when the last read began. Only they may be refused
        # by what it returned, since a key may be abandoned between two reads.
        self.read_for: frozenset[str] = frozenset()
        self.needs_read = False
        # The turn for a write was granted before the read that is under way.
        self.has_turn = False
        self.read_wall_ms = 0.0
        self.is_cache_trusted = True
        self.n_agreeing_reads = 0
        self.n_retries = 0
        self.n_rate_limited = 0

    def handle(self, event: ClaimEvent) -> list[ClaimAction]:
        """Apply one event and return what is to be done."""
        return _apply(event, self)

    def drop_cache(self) -> None:
        """Drop the cached partition to free memory, if no call is under way."""
        if self.phase is Phase.IDLE:
            self.cached = None

    def advance(self) -> list[ClaimAction]:
        """Begin the next read or write if there is work."""
        if not self.has_work:
            return self.rest()
        if not self.waiting and self.n_retries > N_ABANDON_ROUNDS_MAX:
            self.abandons.clear()
            return self.rest()
        if self.cached is None or self.needs_read:
            return self.begin_read()
        self.phase = Phase.AWAITING_WRITE_SLOT
        return [AwaitWriteSlot()]

    @property
    def has_work(self) -> bool:
        """Whether anything waits for a read or a write."""
        return bool(self.waiting or self.abandons)

    def rest(self) -> list[ClaimAction]:
        """Wait for the next request; nothing is retried without one."""
        self.phase = Phase.IDLE
        self.n_retries = 0
        self.has_turn = False
        return []

    def begin_read(self) -> list[ClaimAction]:
        """Read the partition on behalf of everything that waits."""
        self.phase = Phase.READING
        self.needs_read = False
        self.read_for = frozenset(self.waiting)
        return [ReadPartition()]

    def retry(self, delay_ms: float) -> list[ClaimAction]:
        """Go round again, after a delay unless this is the first retry."""
        self.n_retries += 1
        if self.n_retries == 1:
            return self.advance()
        self.phase = Phase.DELAYING
        return [Delay(delay_ms)]

    def backoff_ms(self) -> float:
        """Return the longest delay before the next retry."""
        doubled: float = BACKOFF_FIRST_MS * 2.0 ** min(self.n_retries, 10)
        return min(doubled, BACKOFF_MAX_MS)

    def take_back_written(self) -> None:
        """Put the claims of a write that did not succeed first in line."""
        self.waiting = {**self.writing, **self.waiting}
        self.writing = {}
        self.written_abandons = ()
        self.written_partition = None

    def add_abandon(self, claim: KeyClaim) -> None:
        """Remember that a claim is to be removed if it is in the partition."""
        self.abandons[claim.token] = claim
        while len(self.abandons) > N_ABANDONS_MAX:
            del self.abandons[next(iter(self.abandons))]

    def refuse(self, claim: KeyClaim, failure: Failure) -> CompleteClaim:
        """Refuse a claim that waits; it is never dispatched."""
        self.waiting.pop(claim.token, None)
        if claim.token not in self.doubtful:
            return CompleteClaim(claim.token, failure)
        # A write that is still on its way may enter the key.
        self.add_abandon(claim)
        if failure.kind.run is RunState.NO:
            failure = CLAIM_UNSETTLED.with_reason(failure.reason)
        return CompleteClaim(claim.token, failure)

    def refuse_all(self, failure: Failure) -> list[ClaimAction]:
        """Refuse everything that waits, and rest."""
        self.cached = None
        refused = [self.refuse(item, failure) for item in list(self.waiting.values())]
        self.n_rate_limited = 0
        return [*refused, *self.rest()]


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
    claims.add_abandon(event.claim)
    return claims.advance() if claims.phase is Phase.IDLE else []


@_apply.register
def _(event: ClaimWithdrawn, claims: PartitionClaimMachine) -> list[ClaimAction]:
    token = event.claim.token
    if claims.writing.pop(token, None) is not None:
        claims.add_abandon(event.claim)
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
        # The store may answer a read from the past.
        claims.cached = None
        return claims.retry(claims.backoff_ms())
    _note_read(event, claims)
    settled = _settle_held(event.partition, claims)
    if claims.lost_version is None:
        claims.doubtful.clear()
        _drop_absent_abandons(event.partition, claims)
    refused = _refuse_read_for(event, claims)
    if claims.has_turn and claims.has_work:
        return [*settled, *refused, *_write(event.wall_ms, claims)]
    return [*settled, *refused, *claims.advance()]


def _note_read(event: PartitionRead, claims: PartitionClaimMachine) -> None:
    if claims.cached is not None:
        is_same = claims.cached[0] == event.version
        claims.n_agreeing_reads = claims.n_agreeing_reads + 1 if is_same else 0
        if claims.n_agreeing_reads >= N_AGREEING_READS:
            claims.is_cache_trusted = True
    claims.cached = (event.version, event.partition)
    claims.read_wall_ms = event.wall_ms
    claims.min_version = event.version
    if claims.lost_version is not None and event.version > claims.lost_version:
        # The lost write took effect before this read or never will.
        claims.lost_version = None


def _settle_held(
    partition: LedgerPartition, claims: PartitionClaimMachine
) -> list[ClaimAction]:
    held = [item for item in claims.waiting.values() if partition.holds(item)]
    for claim in held:
        del claims.waiting[claim.token]
    return [CompleteClaim(claim.token, None) for claim in held]


def _drop_absent_abandons(
    partition: LedgerPartition, claims: PartitionClaimMachine
) -> None:
    claims.abandons = {
        token: item for token, item in claims.abandons.items() if partition.holds(item)
    }


def _refuse_read_for(
    event: PartitionRead, claims: PartitionClaimMachine
) -> list[ClaimAction]:
    base = remove_claims(event.partition, claims.abandons.values())
    group = _first_of_each_key(claims)
    decisions = add_claims(base, group, claims.settings, event.wall_ms)[1]
    refused: list[ClaimAction] = []
    for claim in group:
        failure = failure_of_decision(decisions[claim.token])
        if failure is not None and claim.token in claims.read_for:
            refused.append(claims.refuse(claim, failure))
    return refused


def _first_of_each_key(claims: PartitionClaimMachine) -> tuple[KeyClaim, ...]:
    """Return what goes into one write.

    A second claim of the same key waits until the first one's write settled,
    since nobody holds the key if that write has no effect.
    """
    first: dict[str, KeyClaim] = {}
    for claim in claims.waiting.values():
        first.setdefault(claim.idempotency_key, claim)
    return tuple(first.values())[:N_GROUP_MAX]


@_apply.register
def _(event: ReadFailed, claims: PartitionClaimMachine) -> list[ClaimAction]:
    return claims.refuse_all(event.failure)


@_apply.register
def _(event: WriteSlotGranted, claims: PartitionClaimMachine) -> list[ClaimAction]:
    if not claims.has_work:
        return claims.rest()
    age_ms = event.wall_ms - claims.read_wall_ms
    if not claims.is_cache_trusted and age_ms > FRESH_MS:
        # Another writer has probably moved the version during the wait.
        claims.has_turn = True
        return claims.begin_read()
    return _write(event.wall_ms, claims)


def _write(wall_ms: float, claims: PartitionClaimMachine) -> list[ClaimAction]:
    """Write everything that can be claimed, on condition of the cached version."""
    assert claims.cached is not None
    claims.has_turn = False
    version, partition = claims.cached
    base = remove_claims(partition, claims.abandons.values())
    group = _first_of_each_key(claims)
    changed, decisions = add_claims(base, group, claims.settings, wall_ms)
    accepted = [c for c in group if decisions[c.token] is ClaimDecision.CLAIMED]
    claims.needs_read = len(accepted) < len(group)
    is_same = base is partition and not accepted
    if is_same and claims.lost_version is None:
        claims.abandons.clear()
        return claims.advance()
    for claim in accepted:
        claims.writing[claim.token] = claims.waiting.pop(claim.token)
    claims.written_abandons = tuple(claims.abandons)
    claims.written_partition = changed
    claims.phase = Phase.WRITING
    return [WritePartition(version, changed)]


@_apply.register
def _(event: WriteSucceeded, claims: PartitionClaimMachine) -> list[ClaimAction]:
    assert claims.written_partition is not None
    claims.cached = (event.version, claims.written_partition)
    claims.min_version = event.version
    # A lost write was conditional on an older version and cannot land any more.
    claims.lost_version = None
    claims.doubtful.clear()
    claims.n_retries = 0
    claims.n_rate_limited = 0
    settled = [CompleteClaim(token, None) for token in claims.writing]
    claims.writing = {}
    for token in claims.written_abandons:
        claims.abandons.pop(token, None)
    claims.written_abandons = ()
    return [*settled, *claims.advance()]


@_apply.register
def _(event: WriteConflicted, claims: PartitionClaimMachine) -> list[ClaimAction]:
    assert claims.cached is not None
    claims.min_version = claims.cached[0] + 1
    claims.cached = None
    claims.is_cache_trusted = False
    claims.n_agreeing_reads = 0
    claims.take_back_written()
    return claims.retry(claims.backoff_ms() * event.jitter_ratio)


@_apply.register
def _(event: WriteUnresolved, claims: PartitionClaimMachine) -> list[ClaimAction]:
    assert claims.cached is not None
    claims.lost_version = claims.cached[0]
    claims.doubtful.update(claims.writing)
    claims.cached = None
    claims.take_back_written()
    return claims.retry(claims.backoff_ms())


@_apply.register
def _(event: WriteFailed, claims: PartitionClaimMachine) -> list[ClaimAction]:
    claims.take_back_written()
    if event.failure.kind is not RATE_LIMITED:
        return claims.refuse_all(event.failure)
    claims.n_rate_limited += 1
    if claims.n_rate_limited > N_RATE_LIMITED_MAX:
        return claims.refuse_all(event.failure)
    claims.n_retries += 1
    claims.phase = Phase.DELAYING
    return [Delay(claims.backoff_ms())]


@_apply.register
def _(event: DelayEnded, claims: PartitionClaimMachine) -> list[ClaimAction]:
    return claims.advance()
