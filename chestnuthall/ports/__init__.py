"""Ports: protocols between the services and the adapters, and their data."""

from chestnuthall.ports._clock import (
    Clock,
)
from chestnuthall.ports._driving import (
    CallerListener,
    ConfigurationReceiver,
    InstanceAdministration,
    QuarantineView,
    RequestHandler,
    RequestTracker,
)
from chestnuthall.ports._feeds import (
    FeedAnswer,
    FeedSource,
    PeerFeeds,
)
from chestnuthall.ports._instances import (
    InstanceRole,
    ListEntry,
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
    InstanceAdmin,
    InstanceStatus,
    ListedInstance,
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
    CallListener,
    CancelCall,
    DirectShardCaller,
    MapFetcher,
    MapFetchingCaller,
    ReplicaHealth,
    ShardCaller,
)

__all__ = [
    "CallListener",
    "CancelCall",
    "DirectShardCaller",
    "MapFetcher",
    "MapFetchingCaller",
    "CallerListener",
    "ClassUse",
    "Clock",
    "ConfigurationReceiver",
    "DrainNotice",
    "InstanceAdmin",
    "InstanceAdministration",
    "InstanceRole",
    "InstanceStatus",
    "ListEntry",
    "ListedInstance",
    "MemberUpdate",
    "Metrics",
    "FeedAnswer",
    "FeedSource",
    "ObjectStore",
    "PeerFeeds",
    "PeerConfiguration",
    "PeerDigest",
    "PeerService",
    "PeerTransport",
    "QuarantineEntry",
    "QuarantineNotice",
    "QuarantineView",
    "ReplicaHealth",
    "RequestHandler",
    "RequestTracker",
    "RevisionCodec",
    "ShardCaller",
    "ShardSetCall",
    "StoredObject",
    "WatchBatch",
]
