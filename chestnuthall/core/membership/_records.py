"""Membership records, and which of two records of an instance is valid."""

from dataclasses import dataclass
from enum import Enum


class MemberState(Enum):
    """State of an instance in a membership record.

    The order of definition is the order of precedence within one incarnation.
    A suspicion takes precedence over the instance's own announcement, and only
    the instance itself can refute it, with a higher incarnation.
    """

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


_PRECEDENCE = {state: rank for rank, state in enumerate(MemberState)}


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """Record of one instance in one of its incarnations.

    Only the instance itself raises its incarnation. Incarnation 0 stands for
    an entry of the platform's list, which any record from an instance replaces.
    """

    name: str
    address: str
    zone: str
    state: MemberState
    incarnation: int


def replaces(offered: MemberRecord, current: MemberRecord) -> bool:
    """Return whether an offered record of an instance replaces the current one.

    Examples
    --------
    >>> alive = MemberRecord("a", "127.0.0.1:1", "z", MemberState.ALIVE, 4)
    >>> suspect = MemberRecord("a", "127.0.0.1:1", "z", MemberState.SUSPECT, 4)
    >>> replaces(suspect, alive), replaces(alive, suspect)
    (True, False)
    """
    if offered.incarnation != current.incarnation:
        return offered.incarnation > current.incarnation
    return _PRECEDENCE[offered.state] > _PRECEDENCE[current.state]


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry instance of the platform's list, which may be out of date."""

    name: str
    address: str
    zone: str
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class FleetCounts:
    """Numbers of instances by category, including this instance.

    ``n_joining`` counts instances that the platform lists and that have not
    answered yet. ``n_unreachable`` counts dead instances that the platform
    still lists: they may be unreachable from this instance only, and may still use
    their connections.
    """

    n_live: int = 1
    n_joining: int = 0
    n_leaving: int = 0
    n_unreachable: int = 0

    @property
    def n_connection_holders(self) -> int:
        """Number of instances that may hold connections to upstreams."""
        return self.n_live + self.n_joining + self.n_leaving + self.n_unreachable
