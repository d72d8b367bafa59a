"""Replicas that take no new calls, and how that news ages."""

from chestnuthall.core.drains._events import (
    DisseminateNotices,
    DrainAction,
    DrainDetected,
    DrainEndDetected,
    DrainEvent,
    DrainSignal,
    Notice,
    NoticesReceived,
    ResumeCalls,
    StopCalls,
)
from chestnuthall.core.drains._registry import DrainRegistry, DrainSettings

__all__ = [
    "DrainEndDetected",
    "DrainAction",
    "DrainEvent",
    "DrainRegistry",
    "DrainSettings",
    "DrainSignal",
    "Notice",
    "NoticesReceived",
    "ResumeCalls",
    "DrainDetected",
    "DisseminateNotices",
    "StopCalls",
]
