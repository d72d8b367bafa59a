"""Overload of an instance: its detection, and when rejected callers return."""

from chestnuthall.core.overload._causes import (
    Leaving,
    MemoryFull,
    ReplicasFull,
    ReplicasUnavailable,
    Starting,
    StoreUnavailable,
    recovery_ms,
)
from chestnuthall.core.overload._lag import LagSettings, OverloadDetector
from chestnuthall.core.overload._outages import OutageGate
from chestnuthall.core.overload._overrun import AnswerOverrun
from chestnuthall.core.overload._returns import Rejection, ReturnSchedule

__all__ = [
    "AnswerOverrun",
    "LagSettings",
    "Leaving",
    "MemoryFull",
    "OutageGate",
    "OverloadDetector",
    "Rejection",
    "ReplicasFull",
    "ReplicasUnavailable",
    "ReturnSchedule",
    "Starting",
    "StoreUnavailable",
    "recovery_ms",
]
