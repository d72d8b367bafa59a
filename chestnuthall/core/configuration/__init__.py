"""Configuration revisions that only go forward."""

from chestnuthall.core.configuration._follower import (
    CONFIRMATION_AGE_MAX_MS,
    WATCH_TIMEOUT_MS,
    FollowAction,
    FollowEvent,
    Load,
    Loaded,
    Pause,
    PauseEnded,
    StoreFailed,
    StoreFollower,
    Watch,
    WatchEnded,
    WatchTrimmed,
)
from chestnuthall.core.configuration._revisions import (
    RevisionDecision,
    decide_revision,
)
from chestnuthall.core.configuration._watchers import (
    N_WATCHERS_PER_ZONE,
    is_watcher,
)

__all__ = [
    "CONFIRMATION_AGE_MAX_MS",
    "N_WATCHERS_PER_ZONE",
    "WATCH_TIMEOUT_MS",
    "FollowAction",
    "FollowEvent",
    "Load",
    "Loaded",
    "Pause",
    "PauseEnded",
    "RevisionDecision",
    "StoreFailed",
    "StoreFollower",
    "Watch",
    "WatchEnded",
    "WatchTrimmed",
    "decide_revision",
    "is_watcher",
]
