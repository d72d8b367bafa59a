"""Ports: protocols between the services and the adapters, and their data."""

from chestnuthall.ports._clock import (
    Clock,
)
from chestnuthall.ports._driving import (
    CallerServer,
    ConfigurationReceiver,
    InstanceAdminService,
    QuarantineStatus,
    RequestHandler,
    RequestTracker,
)
from chestnuthall.ports._feeds import (
    FeedAnswer,
    FeedClient,
    FeedSource,
)
from chestnuthall.ports._instances import (
    InstanceListEntry,
    InstanceRole,
)
from chestnuthall.ports._metrics import (
    Metrics,
)
from chestnuthall.ports._objects import (
    ObjectStore,
    StoredObject,
    WatchBatch,
)
from chestnuthall.ports._operators import (
    InstanceAdminClient,
    InstanceStatus,
    InstanceSummary,
    QuarantineEntry,
    RevisionCodec,
)
from chestnuthall.ports._peers import (
    ClassUse,
    DrainNotice,
    MemberUpdate,
    PeerConfiguration,
    PeerDigest,
    PeerService,
    PeerTransport,
    QuarantineNotice,
    ShardSetCall,
)
from chestnuthall.ports._shards import (
    CallCallback,
    CancelCall,
    DirectShardCaller,
    MapFetcher,
    MapFetchingCaller,
    ReplicaHealth,
    ShardCaller,
)

__all__ = [
    "CallCallback",
    "CallerServer",
    "CancelCall",
    "ClassUse",
    "Clock",
    "ConfigurationReceiver",
    "DirectShardCaller",
    "DrainNotice",
    "FeedAnswer",
    "FeedClient",
    "FeedSource",
    "InstanceAdminClient",
    "InstanceAdminService",
    "InstanceListEntry",
    "InstanceRole",
    "InstanceStatus",
    "InstanceSummary",
    "MapFetcher",
    "MapFetchingCaller",
    "MemberUpdate",
    "Metrics",
    "ObjectStore",
    "PeerConfiguration",
    "PeerDigest",
    "PeerService",
    "PeerTransport",
    "QuarantineEntry",
    "QuarantineNotice",
    "QuarantineStatus",
    "ReplicaHealth",
    "RequestHandler",
    "RequestTracker",
    "RevisionCodec",
    "ShardCaller",
    "ShardSetCall",
    "StoredObject",
    "WatchBatch",
]
