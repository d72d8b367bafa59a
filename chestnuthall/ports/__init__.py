"""Ports: protocols between the services and the adapters, and their data."""

from typing import TYPE_CHECKING

from chestnuthall.lazy_exports import lazy_exports

if TYPE_CHECKING:
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
        ObjectListing,
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
        ReplicaReachability,
        ShardCaller,
    )

__getattr__ = lazy_exports(
    __name__,
    {
        "_clock": ("Clock",),
        "_driving": (
            "CallerServer",
            "ConfigurationReceiver",
            "InstanceAdminService",
            "QuarantineStatus",
            "RequestHandler",
            "RequestTracker",
        ),
        "_feeds": (
            "FeedAnswer",
            "FeedClient",
            "FeedSource",
        ),
        "_instances": (
            "InstanceListEntry",
            "InstanceRole",
        ),
        "_metrics": ("Metrics",),
        "_objects": (
            "ObjectListing",
            "ObjectStore",
            "StoredObject",
            "WatchBatch",
        ),
        "_operators": (
            "InstanceAdminClient",
            "InstanceStatus",
            "InstanceSummary",
            "QuarantineEntry",
            "RevisionCodec",
        ),
        "_peers": (
            "ClassUse",
            "DrainNotice",
            "MemberUpdate",
            "PeerConfiguration",
            "PeerDigest",
            "PeerService",
            "PeerTransport",
            "QuarantineNotice",
            "ShardSetCall",
        ),
        "_shards": (
            "CallCallback",
            "CancelCall",
            "DirectShardCaller",
            "MapFetcher",
            "MapFetchingCaller",
            "ReplicaHealth",
            "ReplicaReachability",
            "ShardCaller",
        ),
    },
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
    "ObjectListing",
    "ObjectStore",
    "PeerConfiguration",
    "PeerDigest",
    "PeerService",
    "PeerTransport",
    "QuarantineEntry",
    "QuarantineNotice",
    "QuarantineStatus",
    "ReplicaHealth",
    "ReplicaReachability",
    "RequestHandler",
    "RequestTracker",
    "RevisionCodec",
    "ShardCaller",
    "ShardSetCall",
    "StoredObject",
    "WatchBatch",
]
