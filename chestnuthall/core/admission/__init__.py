"""Admission control: fair queueing over classes of callers."""

from chestnuthall.core.admission._events import (
    AdmissionAction,
    AdmissionEvent,
    Admit,
    Arrive,
    DemandReported,
    ExpireDue,
    FleetUsageReported,
    LagObserved,
    LimitChanged,
    Reconfigured,
    Refuse,
    Release,
    ReleaseCalls,
    WakeUpDue,
    Withdraw,
)
from chestnuthall.core.admission._fleet import (
    DemandHistory,
    InstanceDemand,
    UsageLedger,
    UsageReport,
    demand_fraction,
)
from chestnuthall.core.admission._limit import RATIO_UNQUEUED, AdaptiveLimit
from chestnuthall.core.admission._queue import AdmissionQueue
from chestnuthall.core.admission._state import CALL_UNKNOWN_MS

__all__ = [
    "AdaptiveLimit",
    "AdmissionAction",
    "AdmissionEvent",
    "AdmissionQueue",
    "CALL_UNKNOWN_MS",
    "Admit",
    "Arrive",
    "DemandHistory",
    "DemandReported",
    "ExpireDue",
    "FleetUsageReported",
    "InstanceDemand",
    "LagObserved",
    "LimitChanged",
    "RATIO_UNQUEUED",
    "Reconfigured",
    "Refuse",
    "Release",
    "ReleaseCalls",
    "UsageLedger",
    "UsageReport",
    "WakeUpDue",
    "Withdraw",
    "demand_fraction",
]
