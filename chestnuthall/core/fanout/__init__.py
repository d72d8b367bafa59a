"""State machine of one query over the shards of its partition map."""

from chestnuthall.core.fanout._events import (
    Action,
    CallAnswered,
    CallFailed,
    Cancel,
    Complete,
    Completion,
    Dispatch,
    Event,
    MapReplaced,
    NotifyPeers,
    PeersNotified,
    QueryStarted,
    Replan,
    SetTimer,
    TimerFired,
    VerdictReached,
)
from chestnuthall.core.fanout._machine import (
    FanOut,
)
from chestnuthall.core.fanout._merge import (
    coverage_of,
    merge_hits,
)
from chestnuthall.core.fanout._partial import (
    PartialAnswer,
    merge_partial_answers,
    sum_coverage,
)
from chestnuthall.core.fanout._progress import (
    RunningCall,
)
from chestnuthall.core.fanout._state import (
    FanOutContext,
)
from chestnuthall.core.fanout._targets import (
    call_type_of,
    target_shards,
)

__all__ = [
    "Action",
    "CallAnswered",
    "CallFailed",
    "Cancel",
    "Complete",
    "Completion",
    "Dispatch",
    "Event",
    "FanOut",
    "FanOutContext",
    "MapReplaced",
    "NotifyPeers",
    "PartialAnswer",
    "PeersNotified",
    "QueryStarted",
    "Replan",
    "RunningCall",
    "SetTimer",
    "TimerFired",
    "VerdictReached",
    "call_type_of",
    "coverage_of",
    "merge_hits",
    "merge_partial_answers",
    "sum_coverage",
    "target_shards",
]
