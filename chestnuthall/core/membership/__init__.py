"""Fleet membership: probes, suspicion and dissemination of updates."""

from chestnuthall.core.membership._events import (
    AddressReused,
    CountsChanged,
    DigestReceived,
    IndirectProbe,
    InstanceListRead,
    LeaveAnnounced,
    LeaveFinished,
    MembershipAction,
    MembershipEvent,
    Probe,
    ProbeAnswered,
    ProbeFailed,
    Superseded,
    Tick,
)
from chestnuthall.core.membership._machine import MembershipMachine
from chestnuthall.core.membership._records import (
    FleetCounts,
    ListedInstance,
    MemberRecord,
    MemberState,
    replaces,
)
from chestnuthall.core.membership._settings import MembershipSettings

__all__ = [
    "AddressReused",
    "CountsChanged",
    "DigestReceived",
    "FleetCounts",
    "IndirectProbe",
    "InstanceListRead",
    "LeaveAnnounced",
    "LeaveFinished",
    "ListedInstance",
    "MemberRecord",
    "MemberState",
    "MembershipAction",
    "MembershipEvent",
    "MembershipMachine",
    "MembershipSettings",
    "Probe",
    "ProbeAnswered",
    "ProbeFailed",
    "Superseded",
    "Tick",
    "replaces",
]
