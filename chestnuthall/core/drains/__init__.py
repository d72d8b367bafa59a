"""Draining replicas, and the expiry of the notices about them."""

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
    "DisseminateNotices",
    "DrainAction",
    "DrainDetected",
    "DrainEndDetected",
    "DrainEvent",
    "DrainRegistry",
    "DrainSettings",
    "DrainSignal",
    "Notice",
    "NoticesReceived",
    "ResumeCalls",
    "StopCalls",
]
