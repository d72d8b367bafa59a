"""Draining replicas, and the expiry of the notices about them."""

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
