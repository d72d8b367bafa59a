"""Replicas that take no new calls, and how that news ages."""

from chestnuthall.core.drains._events import (
    CameBack,
    DrainAction,
    DrainEvent,
    DrainSignal,
    Notice,
    NoticesReceived,
    ResumeCalls,
    Signalled,
    SpreadNews,
    StopCalls,
)
from chestnuthall.core.drains._register import DrainRegister, DrainSettings

__all__ = [
    "CameBack",
    "DrainAction",
    "DrainEvent",
    "DrainRegister",
    "DrainSettings",
    "DrainSignal",
    "Notice",
    "NoticesReceived",
    "ResumeCalls",
    "Signalled",
    "SpreadNews",
    "StopCalls",
]
