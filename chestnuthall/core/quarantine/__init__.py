"""Detection and quarantine of requests that crash upstreams."""

from chestnuthall.core.quarantine._record import QuarantineRecord
from chestnuthall.core.quarantine._registry import (
    INCARNATION_MARK,
    RETENTION_MS,
    QuarantineRegistry,
    QuarantineSettings,
    Suspicion,
    SuspicionState,
    loss_name,
)
from chestnuthall.core.quarantine._sharing import (
    CreateRecord,
    DeleteRecord,
    RecordWrite,
    UpdateRecord,
    next_write,
)

__all__ = [
    "CreateRecord",
    "DeleteRecord",
    "INCARNATION_MARK",
    "RETENTION_MS",
    "QuarantineRecord",
    "QuarantineRegistry",
    "QuarantineSettings",
    "RecordWrite",
    "Suspicion",
    "SuspicionState",
    "UpdateRecord",
    "loss_name",
    "next_write",
]
