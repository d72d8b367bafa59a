"""Use cases of an entry instance, which join the decisions to the ports."""

from chestnuthall.services._administration import Administration
from chestnuthall.services._admission import Admission, Admitted, NotAdmitted
from chestnuthall.services._claims import ClaimLedger, PartitionCodec
from chestnuthall.services._configuration import (
    ConfigurationKeeper,
    ConfigurationReader,
)
from chestnuthall.services._directory import Directory, PartitionMapReader
from chestnuthall.services._drain_news import DrainNews, DrainWatchingCaller
from chestnuthall.services._health_checks import HealthChecks
from chestnuthall.services._instance_list import InstanceList, ListEntryReader
from chestnuthall.services._lifecycle import Lifecycle
from chestnuthall.services._membership import (
    DigestPart,
    Identity,
    Membership,
)
from chestnuthall.services._quarantine_news import QuarantineNews
from chestnuthall.services._query import Outcome, QueryService
from chestnuthall.services._status import (
    ConfigurationStatus,
    FleetStatus,
    NewsStatus,
    StatusPart,
    StatusReporter,
)
from chestnuthall.services._two_level import TwoLevelFanOut

__all__ = [
    "TwoLevelFanOut",
    "Administration",
    "ConfigurationStatus",
    "FleetStatus",
    "NewsStatus",
    "StatusPart",
    "StatusReporter",
    "Admission",
    "Admitted",
    "ClaimLedger",
    "ConfigurationKeeper",
    "ConfigurationReader",
    "DigestPart",
    "Directory",
    "DrainNews",
    "DrainWatchingCaller",
    "HealthChecks",
    "Identity",
    "InstanceList",
    "Lifecycle",
    "ListEntryReader",
    "Membership",
    "NotAdmitted",
    "Outcome",
    "PartitionCodec",
    "PartitionMapReader",
    "QuarantineNews",
    "QueryService",
]
