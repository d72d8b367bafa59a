"""Who is admitted when: fair queueing over classes of callers."""

from chestnuthall.core.admission._events import (
    AdmissionAction,
    AdmissionEvent,
    Admit,
    Arrive,
    ExpireDue,
    FleetUseReported,
    LimitChanged,
    Refuse,
    Release,
    Withdraw,
)
from chestnuthall.core.admission._queue import AdmissionQueue

__all__ = [
    "AdmissionAction",
    "AdmissionEvent",
    "AdmissionQueue",
    "Admit",
    "Arrive",
    "ExpireDue",
    "FleetUseReported",
    "LimitChanged",
    "Refuse",
    "Release",
    "Withdraw",
]
