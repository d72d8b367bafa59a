"""Guards single steps of the claim protocol that a long run can hide."""

import pytest

from chestnuthall.core.claims import (
    EMPTY_PARTITION,
    AbandonRequested,
    ClaimDecision,
    ClaimEntry,
    ClaimRequested,
    ClaimWithdrawn,
    DelayEnded,
    KeyClaim,
    LedgerPartition,
    LedgerSettings,
    PartitionClaims,
    PartitionRead,
    ReadFailed,
    StoreBreaker,
    TurnGranted,
    WriteConflicted,
    WriteFailed,
    WriteLost,
    WriteSucceeded,
    add_claims,
)
from chestnuthall.core.results import RATE_LIMITED, STORE_UNAVAILABLE

WALL_MS = 10_000.0
A = KeyClaim("key-a", "token-a", 9_900.0)
A2 = KeyClaim("key-a", "token-a2", 9_900.0)
B = KeyClaim("key-b", "token-b", 9_900.0)
DOWN = STORE_UNAVAILABLE.because("down")
BUSY = RATE_LIMITED.because("busy")
HELD_A = LedgerPartition(0.0, {"key-a": ClaimEntry("token-a", 9_900.0)})

ASK = ClaimRequested(WALL_MS, A)
ASK_AGAIN = ClaimRequested(WALL_MS, A2)
ASK_B = ClaimRequested(WALL_MS, B)
READ_EMPTY = PartitionRead(WALL_MS, 0, EMPTY_PARTITION)
TURN = TurnGranted(WALL_MS)
READ_BOTH_HELD = PartitionRead(
    WALL_MS,
    1,
    LedgerPartition(0.0, {k: ClaimEntry("other", 9_900.0) for k in ("key-a", "key-b")}),
)
READ_A = PartitionRead(WALL_MS, 1, HELD_A)
WRITTEN = WriteSucceeded(WALL_MS, 1)
LOST = WriteLost(WALL_MS)
WAITED = DelayEnded(WALL_MS)
WRITE_A = [ASK, READ_EMPTY, TURN]
HOLD_A = [*WRITE_A, WRITTEN]


def names_of(actions):
    """Return the actions as short texts, settled claims with their result."""
    names = []
    for action in actions:
        name = type(action).__name__
        if name == "Settle":
            name = action.failure.kind.name if action.failure else "HELD"
        elif name == "WritePartition":
            keys = " ".join(sorted(action.partition.entries))
            name = f"write {action.version}: {keys}"
        names.append(name)
    return names


CASES = {
    "claim": (HOLD_A, ["HELD"]),
    "cache-saves-read": ([*HOLD_A, ASK_B], ["AwaitTurn"]),
    "no-cache-after-conflict": (
        [*WRITE_A, WriteConflicted(WALL_MS, 0.5)],
        ["ReadPartition"],
    ),
    "grouped-with-next-write": ([*WRITE_A, ASK_B], []),
    "lost-and-landed": (
        [*WRITE_A, LOST, READ_A],
        ["HELD"],
    ),
    "lost-and-unmoved-writes-same-version": (
        [*WRITE_A, LOST, READ_EMPTY, TURN],
        ["write 0: key-a"],
    ),
    "lost-then-store-down": (
        [*WRITE_A, LOST, ReadFailed(WALL_MS, DOWN)],
        ["CLAIM_UNSETTLED"],
    ),
    "refused-write-then-store-down": (
        [*WRITE_A, WriteFailed(WALL_MS, DOWN)],
        ["STORE_UNAVAILABLE"],
    ),
    "withdrawn-before-write": (
        [ASK, READ_EMPTY, ClaimWithdrawn(WALL_MS, A)],
        ["DEADLINE_PASSED"],
    ),
    "withdrawn-after-lost-write": (
        [*WRITE_A, LOST, ClaimWithdrawn(WALL_MS, A)],
        ["CLAIM_UNSETTLED"],
    ),
    "withdrawn-lost-write-is-barred": (
        [*WRITE_A, LOST, ClaimWithdrawn(WALL_MS, A), READ_EMPTY, TURN],
        ["write 0: "],
    ),
    "same-key-waits-for-the-first": (
        [ASK, ASK_AGAIN, READ_EMPTY, TURN],
        ["write 0: key-a"],
    ),
    "same-key-refused-after-fresh-read": (
        [ASK, ASK_AGAIN, READ_EMPTY, TURN, WRITTEN, TURN, READ_A],
        ["KEY_ALREADY_CLAIMED"],
    ),
    "read-refuses-only-what-it-was-for": (
        [ASK, ASK_B, READ_BOTH_HELD],
        ["KEY_ALREADY_CLAIMED", "AwaitTurn"],
    ),
    "contended-cache-is-not-trusted": (
        [*WRITE_A, WriteConflicted(WALL_MS, 0.5), READ_A, ASK_B],
        ["ReadPartition"],
    ),
    "contended-cache-is-read-again": (
        [
            *WRITE_A,
            WriteConflicted(WALL_MS, 0.5),
            READ_EMPTY,
            TurnGranted(WALL_MS + 50.0),
        ],
        ["ReadPartition"],
    ),
    "cached-refusal-needs-fresh-read": ([*HOLD_A, ASK_AGAIN, TURN], ["ReadPartition"]),
    "abandon-then-claim-in-one-write": (
        [*HOLD_A, AbandonRequested(WALL_MS, A), ASK_AGAIN, TURN],
        ["write 1: key-a"],
    ),
    "abandon-of-another-attempt-is-nothing": (
        [*HOLD_A, AbandonRequested(WALL_MS, A2), TURN],
        [],
    ),
    "older-read-is-stale": (
        [*HOLD_A, ASK_AGAIN, TURN, READ_EMPTY],
        ["ReadPartition"],
    ),
    "rate-limited-waits": ([*WRITE_A, WriteFailed(WALL_MS, BUSY)], ["Delay"]),
    "rate-limited-too-often": (
        [
            *WRITE_A,
            *[WriteFailed(WALL_MS, BUSY), WAITED, TURN] * 3,
            WriteFailed(WALL_MS, BUSY),
        ],
        ["RATE_LIMITED"],
    ),
    "second-loss-waits": ([*WRITE_A, LOST, READ_EMPTY, TURN, LOST], ["Delay"]),
}


@pytest.mark.parametrize(("events", "expected"), CASES.values(), ids=CASES.keys())
def test_last_actions(events, expected):
    """Each step must ask for exactly the calls that it needs."""
    claims = PartitionClaims(LedgerSettings())
    for event in events:
        actions = claims.handle(event)
    assert names_of(actions)[: len(expected) or None] == expected


@pytest.mark.parametrize(
    ("claim", "wall_ms", "floor_ms", "decision"),
    [
        pytest.param(B, 10_000.0, 0.0, ClaimDecision.CLAIMED, id="new"),
        pytest.param(A, 10_000.0, 0.0, ClaimDecision.CLAIMED, id="own"),
        pytest.param(A2, 10_000.0, 0.0, ClaimDecision.HELD_BY_OTHER, id="held"),
        pytest.param(B, 10_000.0, 9_900.0, ClaimDecision.EXPIRED, id="at-floor"),
        pytest.param(B, -60_000.0, 0.0, ClaimDecision.ISSUED_IN_FUTURE, id="future"),
        pytest.param(B, 9e9, 0.0, ClaimDecision.CLAIMED, id="clock-far-ahead"),
    ],
)
def test_decisions(claim, wall_ms, floor_ms, decision):
    """A key is decided by floor, holder and issue time, not by one clock alone."""
    partition = LedgerPartition(floor_ms, HELD_A.entries if floor_ms == 0.0 else {})
    changed, decisions = add_claims(partition, (claim,), LedgerSettings(), wall_ms)
    assert decisions[claim.token] is decision
    assert changed.floor_ms >= floor_ms


def test_breaker_probes_with_one_call():
    """While the store is down only one call an interval may be made."""
    breaker = StoreBreaker(first_ms=100.0, longest_ms=400.0)
    breaker.note_failure(0.0)
    allowed = []
    for now_ms in range(0, 2_000, 10):
        if breaker.allows(float(now_ms)):
            allowed.append(now_ms)
            breaker.note_failure(float(now_ms))
    breaker.note_success()
    assert allowed == [100, 300, 700, 1100, 1500, 1900]
    assert breaker.allows(1_901.0)
