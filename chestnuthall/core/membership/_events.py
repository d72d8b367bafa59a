"""Events and actions of the membership state machine."""

from dataclasses import dataclass

from chestnuthall.core.membership._records import (
    FleetCounts,
    ListedInstance,
    MemberRecord,
)


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """Base of all events; ``now_ms`` is the instance's monotonic time."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class Tick(MembershipEvent):
    """Time has passed; sent every ``tick_ms`` while the process runs."""


@dataclass(frozen=True, slots=True)
class ProbeAnswered(MembershipEvent):
    """The target answered, directly or through a helper."""

    probe_id: int


@dataclass(frozen=True, slots=True)
class ProbeFailed(MembershipEvent):
    """The direct probe, or one indirect probe, had no answer in time."""

    probe_id: int


@dataclass(frozen=True, slots=True)
class AddressReused(MembershipEvent):
    """An instance with another name answered at the target's address."""

    probe_id: int


@dataclass(frozen=True, slots=True)
class DigestReceived(MembershipEvent):
    """A digest was received from a peer, which proves that the sender runs."""

    sender: MemberRecord
    updates: tuple[MemberRecord, ...]


@dataclass(frozen=True, slots=True)
class InstanceListRead(MembershipEvent):
    """The platform's complete list of entry instances was read."""

    listed: tuple[ListedInstance, ...]


@dataclass(frozen=True, slots=True)
class LeaveAnnounced(MembershipEvent):
    """This instance starts to leave the fleet."""


@dataclass(frozen=True, slots=True)
class LeaveFinished(MembershipEvent):
    """This instance is about to exit."""


@dataclass(frozen=True, slots=True)
class MembershipAction:
    """Base of all actions."""


@dataclass(frozen=True, slots=True)
class Probe(MembershipAction):
    """Exchange digests with a peer and report the outcome."""

    probe_id: int
    name: str
    address: str


@dataclass(frozen=True, slots=True)
class IndirectProbe(MembershipAction):
    """Have a helper probe a target, and report the outcome."""

    probe_id: int
    helper_address: str
    target_address: str


@dataclass(frozen=True, slots=True)
class CountsChanged(MembershipAction):
    """The number of live, joining, leaving or unreachable instances changed."""

    counts: FleetCounts


@dataclass(frozen=True, slots=True)
class Superseded(MembershipAction):
    """Another process runs under this instance's name; this one must leave."""

    address: str
