"""Table tests of single steps of the claim protocol.

They guard against superfluous or missing store calls and wrong refusals, which
later steps of a longer run would repair and so hide.
"""

import pytest

from chestnuthall.core import claims as core
from chestnuthall.core.results import RATE_LIMITED, STORE_UNAVAILABLE

WALL_MS = 10_000.0
A = core.KeyClaim("key-a", "token-a", 9_900.0)
A2 = core.KeyClaim("key-a", "token-a2", 9_900.0)
B = core.KeyClaim("key-b", "token-b", 9_900.0)
STORE_FAILURE = STORE_UNAVAILABLE.with_reason("unavailable")
RATE_LIMIT_FAILURE = RATE_LIMITED.with_reason("rate limited")
PARTITION_WITH_A = core.LedgerPartition(
    0.0, {"key-a": core.ClaimEntry("token-a", 9_900.0)}
)
OTHER_ENTRY = core.ClaimEntry("other", 9_900.0)
PARTITION_WITH_OTHERS = core.LedgerPartition(
    0.0, {"key-a": OTHER_ENTRY, "key-b": OTHER_ENTRY}
)

EVENTS = {
    "request": core.ClaimRequested(WALL_MS, A),
    "request-again": core.ClaimRequested(WALL_MS, A2),
    "request-b": core.ClaimRequested(WALL_MS, B),
    "withdraw": core.ClaimWithdrawn(WALL_MS, A),
    "abandon": core.ClaimAbandoned(WALL_MS, A),
    "abandon-other": core.ClaimAbandoned(WALL_MS, A2),
    "read-empty": core.PartitionRead(WALL_MS, 0, core.EMPTY_PARTITION),
    "read-a": core.PartitionRead(WALL_MS, 1, PARTITION_WITH_A),
    "read-both": core.PartitionRead(WALL_MS, 1, PARTITION_WITH_OTHERS),
    "read-failed": core.ReadFailed(WALL_MS, STORE_FAILURE),
    "slot": core.WriteSlotGranted(WALL_MS),
    "late-slot": core.WriteSlotGranted(WALL_MS + 50.0),
    "written": core.WriteSucceeded(WALL_MS, 1),
    "conflict": core.WriteConflicted(WALL_MS, 0.5),
    "lost": core.WriteUnresolved(WALL_MS),
    "refused": core.WriteFailed(WALL_MS, STORE_FAILURE),
    "limited": core.WriteFailed(WALL_MS, RATE_LIMIT_FAILURE),
    "delay-ended": core.DelayEnded(WALL_MS),
}


def describe(actions):
    """Return the actions as short texts, completed claims with their result."""
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


WRITE = "request read-empty slot"
CLAIM = f"{WRITE} written"
CASES = {
    "claim": (CLAIM, ["HELD"]),
    "cache-saves-read": (f"{CLAIM} request-b", ["AwaitWriteSlot"]),
    "no-cache-after-conflict": (f"{WRITE} conflict", ["ReadPartition"]),
    "batched-into-next-write": (f"{WRITE} request-b", []),
    "lost-write-took-effect": (f"{WRITE} lost read-a", ["HELD"]),
    "lost-write-not-applied-yet": (f"{WRITE} lost read-empty slot", ["write 0: key-a"]),
    "lost-then-store-unavailable": (f"{WRITE} lost read-failed", ["CLAIM_UNSETTLED"]),
    "write-failed-store-unavailable": (f"{WRITE} refused", ["STORE_UNAVAILABLE"]),
    "withdrawn-before-write": ("request read-empty withdraw", ["DEADLINE_PASSED"]),
    "withdrawn-after-lost-write": (f"{WRITE} lost withdraw", ["CLAIM_UNSETTLED"]),
    "withdrawn-after-loss-is-not-written": (
        f"{WRITE} lost withdraw read-empty slot",
        ["write 0: "],
    ),
    "same-key-waits": ("request request-again read-empty slot", ["write 0: key-a"]),
    "same-key-refused": (f"{CLAIM} request-again slot read-a", ["KEY_ALREADY_CLAIMED"]),
    "read-refuses-claims-from-before-it": (
        "request request-b read-both",
        ["KEY_ALREADY_CLAIMED", "AwaitWriteSlot"],
    ),
    "contended-cache-not-trusted": (
        f"{WRITE} conflict read-a request-b",
        ["ReadPartition"],
    ),
    "contended-read-again": (
        f"{WRITE} conflict read-empty late-slot",
        ["ReadPartition"],
    ),
    "refusal-from-cache-reads-first": (
        f"{CLAIM} request-again slot",
        ["ReadPartition"],
    ),
    "abandon-then-claim": (f"{CLAIM} abandon request-again slot", ["write 1: key-a"]),
    "abandon-of-another-attempt": (f"{CLAIM} abandon-other slot", []),
    "older-read-is-stale": (
        f"{CLAIM} request-again slot read-empty",
        ["ReadPartition"],
    ),
    "rate-limited-waits": (f"{WRITE} limited", ["Delay"]),
    "rate-limited-too-often": (
        WRITE + " limited delay-ended slot" * 3 + " limited",
        ["RATE_LIMITED"],
    ),
    "second-lost-write-waits": (f"{WRITE} lost read-empty slot lost", ["Delay"]),
}


@pytest.mark.parametrize(("event_names", "expected"), CASES.values(), ids=CASES.keys())
def test_actions_of_last_event(event_names, expected):
    """The last event must result in exactly the store calls that it requires."""
    claims = core.PartitionClaimMachine(core.LedgerSettings())
    for name in event_names.split():
        actions = claims.handle(EVENTS[name])
    assert describe(actions)[: len(expected) or None] == expected


Decision = core.ClaimDecision


@pytest.mark.parametrize(
    ("claim", "wall_ms", "floor_ms", "decision"),
    [
        pytest.param(B, 10_000.0, 0.0, Decision.CLAIMED, id="new"),
        pytest.param(A, 10_000.0, 0.0, Decision.CLAIMED, id="same-attempt"),
        pytest.param(A2, 10_000.0, 0.0, Decision.HELD_BY_OTHER, id="other-attempt"),
        pytest.param(B, 10_000.0, 9_900.0, Decision.EXPIRED, id="at-floor"),
        pytest.param(
            B, -60_000.0, 0.0, Decision.ISSUED_IN_FUTURE, id="issued-in-future"
        ),
        pytest.param(B, 9e9, 0.0, Decision.CLAIMED, id="clock-far-ahead"),
    ],
)
def test_claim_decision(claim, wall_ms, floor_ms, decision):
    """The floor, the holder and the issue time decide, not one wall clock alone."""
    partition = core.LedgerPartition(
        floor_ms, PARTITION_WITH_A.entries if floor_ms == 0.0 else {}
    )
    changed, decisions = core.add_claims(
        partition, (claim,), core.LedgerSettings(), wall_ms
    )
    assert decisions[claim.token] is decision
    assert changed.floor_ms >= floor_ms


def test_open_breaker_allows_one_probe_per_delay():
    """While the store is unavailable, one call per delay may be made."""
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
