"""Guards single steps of the claim protocol that a long run can hide."""

import pytest

from chestnuthall.core import claims as core
from chestnuthall.core.results import RATE_LIMITED, STORE_UNAVAILABLE

WALL_MS = 10_000.0
A = core.KeyClaim("key-a", "token-a", 9_900.0)
A2 = core.KeyClaim("key-a", "token-a2", 9_900.0)
B = core.KeyClaim("key-b", "token-b", 9_900.0)
DOWN = STORE_UNAVAILABLE.with_reason("down")
BUSY = RATE_LIMITED.with_reason("busy")
HELD_A = core.LedgerPartition(0.0, {"key-a": core.ClaimEntry("token-a", 9_900.0)})
OTHER = core.ClaimEntry("other", 9_900.0)
HELD_BOTH = core.LedgerPartition(0.0, {"key-a": OTHER, "key-b": OTHER})

EVENTS = {
    "ask": core.ClaimRequested(WALL_MS, A),
    "ask-again": core.ClaimRequested(WALL_MS, A2),
    "ask-b": core.ClaimRequested(WALL_MS, B),
    "withdraw": core.ClaimWithdrawn(WALL_MS, A),
    "abandon": core.ClaimAbandoned(WALL_MS, A),
    "abandon-other": core.ClaimAbandoned(WALL_MS, A2),
    "read-empty": core.PartitionRead(WALL_MS, 0, core.EMPTY_PARTITION),
    "read-a": core.PartitionRead(WALL_MS, 1, HELD_A),
    "read-both": core.PartitionRead(WALL_MS, 1, HELD_BOTH),
    "read-failed": core.ReadFailed(WALL_MS, DOWN),
    "turn": core.WriteSlotGranted(WALL_MS),
    "late-turn": core.WriteSlotGranted(WALL_MS + 50.0),
    "written": core.WriteSucceeded(WALL_MS, 1),
    "conflict": core.WriteConflicted(WALL_MS, 0.5),
    "lost": core.WriteUnresolved(WALL_MS),
    "refused": core.WriteFailed(WALL_MS, DOWN),
    "limited": core.WriteFailed(WALL_MS, BUSY),
    "waited": core.DelayEnded(WALL_MS),
}


def names_of(actions):
    """Return the actions as short texts, settled claims with their result."""
    names = []
    for action in actions:
        name = type(action).__name__
        if name == "CompleteClaim":
            name = action.failure.kind.name if action.failure else "HELD"
        elif name == "WritePartition":
            keys = " ".join(sorted(action.partition.entries))
            name = f"write {action.version}: {keys}"
        names.append(name)
    return names


WRITE = "ask read-empty turn"
HOLD = f"{WRITE} written"
CASES = {
    "claim": (HOLD, ["HELD"]),
    "cache-saves-read": (f"{HOLD} ask-b", ["AwaitWriteSlot"]),
    "no-cache-after-conflict": (f"{WRITE} conflict", ["ReadPartition"]),
    "grouped-with-next-write": (f"{WRITE} ask-b", []),
    "lost-and-landed": (f"{WRITE} lost read-a", ["HELD"]),
    "lost-and-unmoved": (f"{WRITE} lost read-empty turn", ["write 0: key-a"]),
    "lost-then-store-down": (f"{WRITE} lost read-failed", ["CLAIM_UNSETTLED"]),
    "refused-then-store-down": (f"{WRITE} refused", ["STORE_UNAVAILABLE"]),
    "withdrawn-before-write": ("ask read-empty withdraw", ["DEADLINE_PASSED"]),
    "withdrawn-after-loss": (f"{WRITE} lost withdraw", ["CLAIM_UNSETTLED"]),
    "withdrawn-is-barred": (f"{WRITE} lost withdraw read-empty turn", ["write 0: "]),
    "same-key-waits": ("ask ask-again read-empty turn", ["write 0: key-a"]),
    "same-key-refused": (f"{HOLD} ask-again turn read-a", ["KEY_ALREADY_CLAIMED"]),
    "read-refuses-what-it-was-for": (
        "ask ask-b read-both",
        ["KEY_ALREADY_CLAIMED", "AwaitWriteSlot"],
    ),
    "contended-cache-not-trusted": (
        f"{WRITE} conflict read-a ask-b",
        ["ReadPartition"],
    ),
    "contended-read-again": (
        f"{WRITE} conflict read-empty late-turn",
        ["ReadPartition"],
    ),
    "cached-refusal-reads-first": (f"{HOLD} ask-again turn", ["ReadPartition"]),
    "abandon-then-claim": (f"{HOLD} abandon ask-again turn", ["write 1: key-a"]),
    "abandon-of-another-attempt": (f"{HOLD} abandon-other turn", []),
    "older-read-is-stale": (f"{HOLD} ask-again turn read-empty", ["ReadPartition"]),
    "rate-limited-waits": (f"{WRITE} limited", ["Delay"]),
    "rate-limited-too-often": (
        WRITE + " limited waited turn" * 3 + " limited",
        ["RATE_LIMITED"],
    ),
    "second-loss-waits": (f"{WRITE} lost read-empty turn lost", ["Delay"]),
}


@pytest.mark.parametrize(("text", "expected"), CASES.values(), ids=CASES.keys())
def test_last_actions(text, expected):
    """Each step must ask for exactly the calls that it needs."""
    claims = core.PartitionClaimMachine(core.LedgerSettings())
    for name in text.split():
        actions = claims.handle(EVENTS[name])
    assert names_of(actions)[: len(expected) or None] == expected


Decision = core.ClaimDecision


@pytest.mark.parametrize(
    ("claim", "wall_ms", "floor_ms", "decision"),
    [
        pytest.param(B, 10_000.0, 0.0, Decision.CLAIMED, id="new"),
        pytest.param(A, 10_000.0, 0.0, Decision.CLAIMED, id="own"),
        pytest.param(A2, 10_000.0, 0.0, Decision.HELD_BY_OTHER, id="held"),
        pytest.param(B, 10_000.0, 9_900.0, Decision.EXPIRED, id="at-floor"),
        pytest.param(B, -60_000.0, 0.0, Decision.ISSUED_IN_FUTURE, id="future"),
        pytest.param(B, 9e9, 0.0, Decision.CLAIMED, id="clock-far-ahead"),
    ],
)
def test_decisions(claim, wall_ms, floor_ms, decision):
    """A key is decided by floor, holder and issue time, not by one clock alone."""
    partition = core.LedgerPartition(
        floor_ms, HELD_A.entries if floor_ms == 0.0 else {}
    )
    changed, decisions = core.add_claims(
        partition, (claim,), core.LedgerSettings(), wall_ms
    )
    assert decisions[claim.token] is decision
    assert changed.floor_ms >= floor_ms


def test_breaker_probes_with_one_call():
    """While the store is down only one call an interval may be made."""
    breaker = core.StoreCircuitBreaker(first_ms=100.0, longest_ms=400.0)
    breaker.record_failure(0.0)
    allowed = []
    for now_ms in range(0, 2_000, 10):
        if breaker.try_acquire(float(now_ms)):
            allowed.append(now_ms)
            breaker.record_failure(float(now_ms))
    breaker.record_success()
    assert allowed == [100, 300, 700, 1100, 1500, 1900]
    assert breaker.try_acquire(1_901.0)
