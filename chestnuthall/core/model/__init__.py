"""Data classes that the decisions work on."""

from chestnuthall.core.model._accounts import (
    Account,
    AdmissionAccount,
    AdmissionRule,
    ClassStanding,
    FanOutAccount,
    QueriesAhead,
)
from chestnuthall.core.model._answers import (
    Answer,
    Coverage,
    Hit,
    Refusal,
    Reply,
    ShardAnswer,
    ShardCall,
)
from chestnuthall.core.model._decisions import (
    Decision,
    DecisionEvent,
)
from chestnuthall.core.model._environment import (
    CallerClass,
    Configuration,
    EnvironmentDocument,
    ExtraLoadPolicy,
    Objective,
    UpstreamGroup,
)
from chestnuthall.core.model._partition_map import (
    KeyRange,
    PartitionMap,
    Replica,
    Shard,
    reachable_ratio,
)
from chestnuthall.core.model._requests import (
    ForwardRequest,
    LookupRequest,
    MutationRequest,
    RelayedRequest,
    Request,
    ScatterRequest,
    SearchRequest,
    is_idempotent,
    kind_of,
)
from chestnuthall.core.model._routes import (
    MergeRule,
    Route,
    RouteTable,
    Target,
    WeightedSplit,
)

__all__ = [
    "Account",
    "AdmissionAccount",
    "AdmissionRule",
    "Answer",
    "CallerClass",
    "ClassStanding",
    "Configuration",
    "Coverage",
    "Decision",
    "DecisionEvent",
    "EnvironmentDocument",
    "ExtraLoadPolicy",
    "FanOutAccount",
    "ForwardRequest",
    "Hit",
    "KeyRange",
    "LookupRequest",
    "MergeRule",
    "MutationRequest",
    "Objective",
    "PartitionMap",
    "QueriesAhead",
    "Refusal",
    "RelayedRequest",
    "Replica",
    "Reply",
    "Request",
    "Route",
    "RouteTable",
    "ScatterRequest",
    "SearchRequest",
    "Shard",
    "ShardAnswer",
    "ShardCall",
    "Target",
    "UpstreamGroup",
    "WeightedSplit",
    "is_idempotent",
    "kind_of",
    "reachable_ratio",
]
