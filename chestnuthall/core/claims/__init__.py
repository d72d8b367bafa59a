"""Claims of idempotency keys in ledger partitions."""

from chestnuthall.core.claims._ledger import (
    ClaimDecision,
    ClaimEntry,
    KeyClaim,
    LedgerPartition,
    LedgerSettings,
    add_claims,
)
from chestnuthall.core.claims._partitions import partition_name_of

__all__ = [
    "ClaimDecision",
    "ClaimEntry",
    "KeyClaim",
    "LedgerPartition",
    "LedgerSettings",
    "add_claims",
    "partition_name_of",
]
