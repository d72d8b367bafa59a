"""Use cases of an entry instance, which connect the decisions to the ports."""

from typing import TYPE_CHECKING

from chestnuthall.lazy_exports import lazy_exports

if TYPE_CHECKING:
    from chestnuthall.services._administration import (
        Administration,
    )
    from chestnuthall.services._admission import (
        Admission,
        Admissions,
        Admitted,
        NotAdmitted,
    )
    from chestnuthall.services._burn import (
        BurnCodec,
        BurnRecorder,
        read_burn_counts,
    )
    from chestnuthall.services._claims import (
        ClaimLedger,
        PartitionCodec,
    )
    from chestnuthall.services._configuration import (
        ConfigurationManager,
        ConfigurationReader,
    )
    from chestnuthall.services._configuration_feed import (
        InForceFeed,
        InForceFetcher,
    )
    from chestnuthall.services._configuration_peers import (
        PeerConfigurations,
    )
    from chestnuthall.services._connections import (
        ConnectionBudgets,
    )
    from chestnuthall.services._decision_log import (
        DECISION_LOGGER_NAME,
        DecisionLog,
    )
    from chestnuthall.services._directory import (
        Directory,
        PartitionMapReader,
    )
    from chestnuthall.services._drain_news import (
        DrainDetectingCaller,
        DrainExchange,
    )
    from chestnuthall.services._equal_quotas import (
        EqualQuotas,
    )
    from chestnuthall.services._fleet_usage import (
        FleetUsageExchange,
    )
    from chestnuthall.services._fleet_view import (
        FleetView,
        InstanceObservation,
        ReplicaObservation,
    )
    from chestnuthall.services._group_directory import (
        GroupDirectory,
    )
    from chestnuthall.services._health_checks import (
        HealthChecks,
    )
    from chestnuthall.services._identity import InstanceIdentity
    from chestnuthall.services._instance_list import (
        InstanceList,
        ListEntryReader,
    )
    from chestnuthall.services._leave_exchange import (
        LeaveExchange,
    )
    from chestnuthall.services._lifecycle import (
        Lifecycle,
    )
    from chestnuthall.services._membership import (
        DigestSection,
        Membership,
    )
    from chestnuthall.services._object_feed import (
        ObjectFeed,
    )
    from chestnuthall.services._outcomes import (
        OutcomeRecorder,
    )
    from chestnuthall.services._peer_sets import (
        PeerAwareCaller,
        PeerShardSets,
    )
    from chestnuthall.services._presence import (
        InstanceEntry,
        InstancePresence,
    )
    from chestnuthall.services._probe_claims import ProbeClaims
    from chestnuthall.services._publication import (
        ConfigurationPublisher,
    )
    from chestnuthall.services._quarantine_exchange import (
        QuarantineExchange,
    )
    from chestnuthall.services._quarantine_log import QuarantineLog
    from chestnuthall.services._quarantine_records import QuarantineRecords
    from chestnuthall.services._query import (
        Outcome,
        QueryService,
    )
    from chestnuthall.services._relay import (
        RelayCall,
        RelayService,
    )
    from chestnuthall.services._retests import OwnerRetests
    from chestnuthall.services._revisions import (
        RaceLost,
        RevisionAccepted,
        RevisionRepository,
    )
    from chestnuthall.services._service_directory import (
        ServiceDirectory,
    )
    from chestnuthall.services._shared_store import (
        SharedObjectStore,
    )
    from chestnuthall.services._sparse_store import SparseObjectStore
    from chestnuthall.services._status import (
        ConfigurationStatus,
        FleetStatus,
        NoticesStatus,
        StatusReporter,
        StatusSection,
    )
    from chestnuthall.services._store_calls import (
        CountingObjectStore,
    )
    from chestnuthall.services._supervision import (
        keep_running,
    )
    from chestnuthall.services._two_level import (
        TwoLevelFanOut,
    )

__getattr__ = lazy_exports(
    __name__,
    {
        "_administration": ("Administration",),
        "_admission": (
            "Admission",
            "Admissions",
            "Admitted",
            "NotAdmitted",
        ),
        "_burn": (
            "BurnCodec",
            "BurnRecorder",
            "read_burn_counts",
        ),
        "_claims": (
            "ClaimLedger",
            "PartitionCodec",
        ),
        "_configuration": (
            "ConfigurationManager",
            "ConfigurationReader",
        ),
        "_configuration_feed": (
            "InForceFeed",
            "InForceFetcher",
        ),
        "_configuration_peers": ("PeerConfigurations",),
        "_connections": ("ConnectionBudgets",),
        "_decision_log": (
            "DECISION_LOGGER_NAME",
            "DecisionLog",
        ),
        "_directory": (
            "Directory",
            "PartitionMapReader",
        ),
        "_drain_news": (
            "DrainDetectingCaller",
            "DrainExchange",
        ),
        "_equal_quotas": ("EqualQuotas",),
        "_fleet_usage": ("FleetUsageExchange",),
        "_fleet_view": (
            "FleetView",
            "InstanceObservation",
            "ReplicaObservation",
        ),
        "_group_directory": ("GroupDirectory",),
        "_health_checks": ("HealthChecks",),
        "_instance_list": (
            "InstanceList",
            "ListEntryReader",
        ),
        "_leave_exchange": ("LeaveExchange",),
        "_lifecycle": ("Lifecycle",),
        "_identity": ("InstanceIdentity",),
        "_membership": (
            "DigestSection",
            "Membership",
        ),
        "_object_feed": ("ObjectFeed",),
        "_outcomes": ("OutcomeRecorder",),
        "_peer_sets": (
            "PeerAwareCaller",
            "PeerShardSets",
        ),
        "_presence": (
            "InstanceEntry",
            "InstancePresence",
        ),
        "_publication": ("ConfigurationPublisher",),
        "_quarantine_exchange": ("QuarantineExchange",),
        "_quarantine_log": ("QuarantineLog",),
        "_quarantine_records": ("QuarantineRecords",),
        "_query": (
            "Outcome",
            "QueryService",
        ),
        "_relay": (
            "RelayCall",
            "RelayService",
        ),
        "_revisions": (
            "RaceLost",
            "RevisionAccepted",
            "RevisionRepository",
        ),
        "_service_directory": ("ServiceDirectory",),
        "_shared_store": ("SharedObjectStore",),
        "_sparse_store": ("SparseObjectStore",),
        "_status": (
            "ConfigurationStatus",
            "FleetStatus",
            "NoticesStatus",
            "StatusReporter",
            "StatusSection",
        ),
        "_store_calls": ("CountingObjectStore",),
        "_probe_claims": ("ProbeClaims",),
        "_retests": ("OwnerRetests",),
        "_supervision": ("keep_running",),
        "_two_level": ("TwoLevelFanOut",),
    },
)

__all__ = [
    "DECISION_LOGGER_NAME",
    "RevisionAccepted",
    "Administration",
    "Admission",
    "Admissions",
    "Admitted",
    "BurnCodec",
    "BurnRecorder",
    "ClaimLedger",
    "ConfigurationManager",
    "ConfigurationReader",
    "ConfigurationStatus",
    "ConnectionBudgets",
    "CountingObjectStore",
    "DecisionLog",
    "DigestSection",
    "Directory",
    "DrainExchange",
    "DrainDetectingCaller",
    "EqualQuotas",
    "FleetStatus",
    "FleetUsageExchange",
    "FleetView",
    "GroupDirectory",
    "HealthChecks",
    "InForceFeed",
    "InForceFetcher",
    "InstanceIdentity",
    "InstanceEntry",
    "InstanceList",
    "LeaveExchange",
    "Lifecycle",
    "ListEntryReader",
    "Membership",
    "NoticesStatus",
    "NotAdmitted",
    "ObjectFeed",
    "Outcome",
    "OwnerRetests",
    "ProbeClaims",
    "SharedObjectStore",
    "OutcomeRecorder",
    "PartitionCodec",
    "PartitionMapReader",
    "PeerConfigurations",
    "PeerAwareCaller",
    "PeerShardSets",
    "InstancePresence",
    "ConfigurationPublisher",
    "QuarantineExchange",
    "QuarantineLog",
    "QuarantineRecords",
    "QueryService",
    "RaceLost",
    "RelayCall",
    "RelayService",
    "RevisionRepository",
    "InstanceObservation",
    "ReplicaObservation",
    "ServiceDirectory",
    "StatusSection",
    "SparseObjectStore",
    "StatusReporter",
    "TwoLevelFanOut",
    "keep_running",
    "read_burn_counts",
]
