"""Use cases of an entry instance, which join the decisions to the ports."""

from chestnuthall.services._admission import (
    Admission,
    Admitted,
    NotAdmitted,
)
from chestnuthall.services._burn import (
    BurnCodec,
    BurnRecorder,
    read_burn,
)
from chestnuthall.services._claims import (
    ClaimLedger,
    PartitionCodec,
)
from chestnuthall.services._configuration import (
    ConfigurationKeeper,
    ConfigurationReader,
)
from chestnuthall.services._configuration_peers import (
    PeerConfigurations,
)
from chestnuthall.services._connections import (
    ConnectionBudgets,
)
from chestnuthall.services._directory import (
    Directory,
    PartitionMapReader,
)
from chestnuthall.services._fleet_view import (
    FleetView,
    Seen,
    SeenUpstream,
)
from chestnuthall.services._lifecycle import (
    Lifecycle,
)
from chestnuthall.services._membership import (
    DigestPart,
    Identity,
    InstanceListReader,
    Membership,
)
from chestnuthall.services._outcomes import (
    OutcomeRecorder,
)
from chestnuthall.services._publication import (
    Publication,
)
from chestnuthall.services._query import (
    Outcome,
    QueryService,
)
from chestnuthall.services._revisions import (
    Accepted,
    RaceLost,
    RevisionBook,
)
from chestnuthall.services._store_calls import (
    CountedObjectStore,
)

__all__ = [
    "Accepted",
    "Admission",
    "Admitted",
    "BurnCodec",
    "BurnRecorder",
    "ClaimLedger",
    "ConfigurationKeeper",
    "ConfigurationReader",
    "ConnectionBudgets",
    "CountedObjectStore",
    "DigestPart",
    "Directory",
    "FleetView",
    "Identity",
    "InstanceListReader",
    "Lifecycle",
    "Membership",
    "NotAdmitted",
    "Outcome",
    "OutcomeRecorder",
    "PartitionCodec",
    "PartitionMapReader",
    "PeerConfigurations",
    "Publication",
    "QueryService",
    "RaceLost",
    "RevisionBook",
    "Seen",
    "SeenUpstream",
    "read_burn",
]
