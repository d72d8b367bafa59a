"""Mapping of claim decisions to failures."""

from chestnuthall.core.claims._ledger import ClaimDecision
from chestnuthall.core.results import (
    INVALID_REQUEST,
    KEY_ALREADY_CLAIMED,
    KEY_EXPIRED,
    LEDGER_FULL,
    Failure,
)


def failure_from_decision(decision: ClaimDecision) -> Failure | None:
    """Return the failure for a decision, or None if the claim is accepted."""
    if decision is ClaimDecision.CLAIMED:
        return None
    if decision is ClaimDecision.HELD_BY_OTHER:
        return KEY_ALREADY_CLAIMED.with_reason("another request claimed the key")
    if decision is ClaimDecision.EXPIRED:
        return KEY_EXPIRED.with_reason("the key was issued before the ledger's floor")
    if decision is ClaimDecision.ISSUED_IN_FUTURE:
        return INVALID_REQUEST.with_reason("issued_at_ms lies in the future")
    return LEDGER_FULL.with_reason("the key's ledger partition is full")
