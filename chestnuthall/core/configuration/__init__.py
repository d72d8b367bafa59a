"""Configuration revisions that never revert, their promotion and history."""

from typing import TYPE_CHECKING

from chestnuthall.lazy_exports import lazy_exports

if TYPE_CHECKING:
    from chestnuthall.core.configuration._differences import (
        Difference,
        differences,
    )
    from chestnuthall.core.configuration._follower import (
        BURST_DELAY_MS,
        CONFIRMATION_AGE_MAX_MS,
        WATCH_TIMEOUT_MS,
        Delay,
        DelayEnded,
        FollowerAction,
        FollowerEvent,
        ObjectFollower,
        ObjectRead,
        ReadObject,
        StoreCallFailed,
        Watch,
        WatchEnded,
        WatchHistoryTrimmed,
        safe_watch_timeout_ms,
        watch_margin_ms,
    )
    from chestnuthall.core.configuration._leaders import (
        FeedTiming,
        LeaderSelector,
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
    from chestnuthall.core.configuration._watchers import (
        N_WATCHERS_PER_ZONE,
        is_watcher,
    )
    from chestnuthall.core.configuration._write_outcome import (
        StoredRevision,
        WriteOutcome,
        resolve_write,
    )

__getattr__ = lazy_exports(
    __name__,
    {
        "_differences": (
            "Difference",
            "differences",
        ),
        "_follower": (
            "CONFIRMATION_AGE_MAX_MS",
            "BURST_DELAY_MS",
            "WATCH_TIMEOUT_MS",
            "Delay",
            "DelayEnded",
            "FollowerAction",
            "FollowerEvent",
            "ObjectFollower",
            "ObjectRead",
            "ReadObject",
            "StoreCallFailed",
            "Watch",
            "WatchEnded",
            "WatchHistoryTrimmed",
            "safe_watch_timeout_ms",
            "watch_margin_ms",
        ),
        "_leaders": (
            "FeedTiming",
            "LeaderSelector",
        ),
        "_promotion": (
            "InstanceEvidence",
            "PromotionDecision",
            "PromotionPolicy",
            "PromotionVerdict",
            "TrialEvidence",
            "decide_promotion",
            "promotion_draft",
        ),
        "_records": (
            "Draft",
            "History",
            "RevisionRecord",
            "add_to_history",
            "next_record",
        ),
        "_revisions": (
            "RevisionDecision",
            "decide_revision",
        ),
        "_watchers": (
            "N_WATCHERS_PER_ZONE",
            "is_watcher",
        ),
        "_write_outcome": (
            "StoredRevision",
            "WriteOutcome",
            "resolve_write",
        ),
    },
)

__all__ = [
    "BURST_DELAY_MS",
    "CONFIRMATION_AGE_MAX_MS",
    "Delay",
    "DelayEnded",
    "Difference",
    "Draft",
    "FeedTiming",
    "FollowerAction",
    "FollowerEvent",
    "History",
    "InstanceEvidence",
    "LeaderSelector",
    "N_WATCHERS_PER_ZONE",
    "ObjectFollower",
    "ObjectRead",
    "PromotionDecision",
    "PromotionPolicy",
    "PromotionVerdict",
    "ReadObject",
    "RevisionDecision",
    "RevisionRecord",
    "StoreCallFailed",
    "StoredRevision",
    "TrialEvidence",
    "WATCH_TIMEOUT_MS",
    "Watch",
    "WatchEnded",
    "WatchHistoryTrimmed",
    "WriteOutcome",
    "add_to_history",
    "decide_promotion",
    "decide_revision",
    "differences",
    "is_watcher",
    "next_record",
    "promotion_draft",
    "resolve_write",
    "safe_watch_timeout_ms",
    "watch_margin_ms",
]
