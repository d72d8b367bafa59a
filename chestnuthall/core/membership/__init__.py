"""Fleet membership: probes, suspicion and dissemination of updates."""

from chestnuthall.core.membership._events import (
    AddressTaken,
    CountsChanged,
    LeaveAnnounced,
    LeaveFinished,
    ListRead,
    MembershipAction,
    MembershipEvent,
    NewsReceived,
    Probe,
    ProbeAnswered,
    ProbeFailed,
    ProbeThrough,
    Superseded,
    Tick,
)
from chestnuthall.core.membership._machine import MembershipMachine
from chestnuthall.core.membership._news import (
    FleetCounts,
    ListedInstance,
    MemberNews,
    MemberState,
    replaces,
)
from chestnuthall.core.membership._settings import MembershipSettings

__all__ = [
    "AddressTaken",
    "CountsChanged",
    "FleetCounts",
    "LeaveAnnounced",
    "LeaveFinished",
    "ListRead",
    "ListedInstance",
    "MemberNews",
    "MemberState",
    "MembershipAction",
    "MembershipEvent",
    "MembershipMachine",
    "MembershipSettings",
    "NewsReceived",
    "Probe",
    "ProbeAnswered",
    "ProbeFailed",
    "ProbeThrough",
    "Superseded",
    "Tick",
    "replaces",
]
