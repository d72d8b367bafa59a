"""News about instances, and which of two pieces of news holds."""

from dataclasses import dataclass
from enum import Enum


class MemberState(Enum):
    """What is said about an instance.

    The order of definition is the order of precedence within one incarnation:
    a suspicion outweighs the instance's own older word, and only the instance
    itself can answer it, with a higher incarnation.
    """

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


_PRECEDENCE = {state: rank for rank, state in enumerate(MemberState)}


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """What is said about one instance in one of its incarnations.

    Only the instance itself raises its incarnation. Incarnation 0 stands for
    an entry of the platform's list, which every word of an instance outweighs.
    """

    name: str
    address: str
    zone: str
    state: MemberState
    incarnation: int


def replaces(offered: MemberRecord, held: MemberRecord) -> bool:
    """Return whether offered news about an instance replaces the news held.

    Examples
    --------
    >>> alive = MemberRecord("a", "127.0.0.1:1", "z", MemberState.ALIVE, 4)
    >>> suspect = MemberRecord("a", "127.0.0.1:1", "z", MemberState.SUSPECT, 4)
    >>> replaces(suspect, alive), replaces(alive, suspect)
    (True, False)
    """
    if offered.incarnation != held.incarnation:
        return offered.incarnation > held.incarnation
    return _PRECEDENCE[offered.state] > _PRECEDENCE[held.state]


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry instance of the platform's list, which lags."""

    name: str
    address: str
    zone: str
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class FleetCounts:
    """How many instances there are, this one included.

    ``n_joining`` are listed by the platform and have not answered yet.
    ``n_unreachable`` do not answer and are still listed as live: they may be
    cut off from this instance only, and may still use their connections.
    """

    n_live: int = 1
    n_joining: int = 0
    n_leaving: int = 0
    n_unreachable: int = 0

    @property
    def n_connection_holders(self) -> int:
        """Instances that may hold connections to upstreams."""
        return self.n_live + self.n_joining + self.n_leaving + self.n_unreachable
