"""Events that the drain registry handles and actions that it returns."""

from dataclasses import dataclass
from enum import Enum


class DrainSignal(Enum):
    """Source of the information that a replica is draining."""

    LIST = "list"
    ANSWER = "answer"
    HEALTH = "health"
    REFUSED = "refused"
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True)
class Notice:
    """A drain, or its end, as exchanged between instances.

    A notice with a higher ``sequence`` replaces one with a lower. ``remaining_ms``
    is a duration, because the clocks of instances differ.
    """

    replica_name: str
    sequence: int
    signal: DrainSignal
    is_over: bool
    remaining_ms: float


@dataclass(frozen=True, slots=True)
class DrainEvent:
    """Base of all events; ``now_ms`` is the instance's monotonic time."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class DrainDetected(DrainEvent):
    """This instance itself detected that a replica is draining."""

    wall_ms: float
    replica_name: str
    signal: DrainSignal


@dataclass(frozen=True, slots=True)
class DrainEndDetected(DrainEvent):
    """This instance itself detected that a replica accepts calls again.

    ``observed_ms`` is the earliest time to which the observation can refer,
    such as the start of a health check.
    """

    wall_ms: float
    replica_name: str
    signal: DrainSignal
    observed_ms: float


@dataclass(frozen=True, slots=True)
class NoticesReceived(DrainEvent):
    """Notices were received from a peer."""

    notices: tuple[Notice, ...]


@dataclass(frozen=True, slots=True)
class DrainAction:
    """Base of all actions."""


@dataclass(frozen=True, slots=True)
class StopCalls(DrainAction):
    """Send no new calls to a replica until ``until_ms``."""

    replica_name: str
    until_ms: float


@dataclass(frozen=True, slots=True)
class ResumeCalls(DrainAction):
    """Allow calls to a replica again."""

    replica_name: str


@dataclass(frozen=True, slots=True)
class DisseminateNotices(DrainAction):
    """Send notices to some peers at once, without waiting for the next probe."""
