"""Detection and quarantine of requests that crash upstreams."""

from chestnuthall.core.quarantine._probe_claim import ProbeClaim
from chestnuthall.core.quarantine._record import QuarantineRecord
from chestnuthall.core.quarantine._recovery import is_lifted_again, turn_ms
from chestnuthall.core.quarantine._registry import QuarantineRegistry
from chestnuthall.core.quarantine._sharing import (
    CreateRecord,
    DeleteRecord,
    RecordWrite,
    UpdateRecord,
    next_write,
)
from chestnuthall.core.quarantine._suspicion import (
    INCARNATION_MARK,
    RETENTION_MS,
    QuarantineSettings,
    Suspicion,
    SuspicionState,
    loss_name,
)

__all__ = [
    "CreateRecord",
    "DeleteRecord",
    "INCARNATION_MARK",
    "ProbeClaim",
    "RETENTION_MS",
    "QuarantineRecord",
    "QuarantineRegistry",
    "QuarantineSettings",
    "RecordWrite",
    "Suspicion",
    "SuspicionState",
    "UpdateRecord",
    "is_lifted_again",
    "loss_name",
    "next_write",
    "turn_ms",
]
