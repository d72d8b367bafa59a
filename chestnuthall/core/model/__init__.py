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
    ShardAnswer,
    ShardCall,
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
)
from chestnuthall.core.model._requests import (
    LookupRequest,
    MutationRequest,
    Request,
    SearchRequest,
    is_idempotent,
    kind_of,
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
    "EnvironmentDocument",
    "ExtraLoadPolicy",
    "FanOutAccount",
    "Hit",
    "KeyRange",
    "LookupRequest",
    "MutationRequest",
    "Objective",
    "PartitionMap",
    "QueriesAhead",
    "Refusal",
    "Replica",
    "Request",
    "SearchRequest",
    "Shard",
    "ShardAnswer",
    "ShardCall",
    "UpstreamGroup",
    "is_idempotent",
    "kind_of",
]
