"""Configuration revisions that never revert, their promotion and history."""

from chestnuthall.core.configuration._differences import (
    Difference,
    differences,
)
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
    safe_watch_timeout_ms,
)
from chestnuthall.core.configuration._leaders import (
    FeedTiming,
    LeaderChoice,
)
from chestnuthall.core.configuration._promotion import (
    InstanceEvidence,
    PromotionDecision,
    PromotionPolicy,
    PromotionVerdict,
    TrialEvidence,
    decide_promotion,
    promotion_draft,
)
from chestnuthall.core.configuration._records import (
    Draft,
    History,
    RevisionRecord,
    add_to_history,
    next_record,
)
from chestnuthall.core.configuration._revisions import (
    RevisionDecision,
    decide_revision,
)
from chestnuthall.core.configuration._settlement import (
    InForce,
    Settlement,
    decide_settlement,
)
from chestnuthall.core.configuration._watchers import (
    N_WATCHERS_PER_ZONE,
    is_watcher,
)

__all__ = [
    "CONFIRMATION_AGE_MAX_MS",
    "Difference",
    "Draft",
    "FollowAction",
    "FeedTiming",
    "FollowEvent",
    "LeaderChoice",
    "History",
    "InForce",
    "InstanceEvidence",
    "Load",
    "Loaded",
    "N_WATCHERS_PER_ZONE",
    "Pause",
    "PauseEnded",
    "PromotionDecision",
    "PromotionPolicy",
    "PromotionVerdict",
    "RevisionDecision",
    "RevisionRecord",
    "Settlement",
    "StoreFailed",
    "StoreFollower",
    "TrialEvidence",
    "WATCH_TIMEOUT_MS",
    "Watch",
    "WatchEnded",
    "WatchTrimmed",
    "add_to_history",
    "decide_promotion",
    "decide_revision",
    "decide_settlement",
    "differences",
    "is_watcher",
    "next_record",
    "promotion_draft",
    "safe_watch_timeout_ms",
]
