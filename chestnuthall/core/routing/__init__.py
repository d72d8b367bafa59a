"""Choice of snapshots and replicas, hedge delays, load and connection budgets."""

from chestnuthall.core.routing._assignment import (
    HashRing,
    assign_shards,
)
from chestnuthall.core.routing._budget import (
    ExtraLoad,
    ExtraLoadBudget,
)
from chestnuthall.core.routing._catalog import (
    SnapshotCatalog,
)
from chestnuthall.core.routing._connections import (
    N_INSTANCES_ASSUMED,
    ConnectionShare,
)
from chestnuthall.core.routing._delegation import (
    bundle_far_shards,
)
from chestnuthall.core.routing._latency import (
    LatencyWindow,
)
from chestnuthall.core.routing._repeats import (
    RepeatBudget,
    RepeatLimits,
)
from chestnuthall.core.routing._replicas import (
    ReplicaState,
)
from chestnuthall.core.routing._router import (
    Router,
    RouterSettings,
)
from chestnuthall.core.routing._utilisation import (
    UtilisationAverage,
)

__all__ = [
    "N_INSTANCES_ASSUMED",
    "ConnectionShare",
    "ExtraLoad",
    "ExtraLoadBudget",
    "HashRing",
    "LatencyWindow",
    "RepeatBudget",
    "RepeatLimits",
    "ReplicaState",
    "Router",
    "RouterSettings",
    "SnapshotCatalog",
    "UtilisationAverage",
    "assign_shards",
    "bundle_far_shards",
]
