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
    ConnectionBudget,
)
from chestnuthall.core.routing._delegation import (
    combine_remote_shards,
)
from chestnuthall.core.routing._latency import (
    LatencyWindow,
)
from chestnuthall.core.routing._replicas import (
    ReplicaState,
)
from chestnuthall.core.routing._router import (
    Router,
    RouterSettings,
)
from chestnuthall.core.routing._service_budget import (
    ServiceExtraLoadBudget,
    ServiceExtraLoadLimits,
)
from chestnuthall.core.routing._utilisation import (
    UtilisationAverage,
)

__all__ = [
    "ConnectionBudget",
    "ExtraLoad",
    "ExtraLoadBudget",
    "HashRing",
    "LatencyWindow",
    "N_INSTANCES_ASSUMED",
    "ReplicaState",
    "Router",
    "RouterSettings",
    "ServiceExtraLoadBudget",
    "ServiceExtraLoadLimits",
    "SnapshotCatalog",
    "UtilisationAverage",
    "assign_shards",
    "combine_remote_shards",
]
