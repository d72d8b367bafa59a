"""Use cases of an entry instance, which join the decisions to the ports."""

from chestnuthall.services._admission import (
    Admission,
    Admissions,
    Admitted,
    NotAdmitted,
)
from chestnuthall.services._claims import ClaimLedger, PartitionCodec
from chestnuthall.services._configuration import (
    ConfigurationKeeper,
    ConfigurationReader,
)
from chestnuthall.services._directory import Directory, PartitionMapReader
from chestnuthall.services._fleet_use import FleetUse
from chestnuthall.services._lifecycle import Lifecycle
from chestnuthall.services._membership import (
    DigestPart,
    Identity,
    InstanceListReader,
    Membership,
)
from chestnuthall.services._query import Outcome, QueryService

__all__ = [
    "Admission",
    "Admissions",
    "Admitted",
    "ClaimLedger",
    "ConfigurationKeeper",
    "ConfigurationReader",
    "DigestPart",
    "Directory",
    "FleetUse",
    "Identity",
    "InstanceListReader",
    "Lifecycle",
    "Membership",
    "NotAdmitted",
    "Outcome",
    "PartitionCodec",
    "PartitionMapReader",
    "QueryService",
]
