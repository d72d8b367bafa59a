"""Events that the drain register takes and actions that it returns."""

from dataclasses import dataclass
from enum import Enum


class DrainSignal(Enum):
    """What first showed that a replica leaves."""

    LIST = "list"
    ANSWER = "answer"
    HEALTH = "health"
    REFUSED = "refused"
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True)
class Notice:
    """A drain, or its end, as instances tell it to each other.

    A higher ``sequence`` replaces a lower one. ``remaining_ms`` is a duration,
    because clocks of instances differ.
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
    """This instance itself saw that a replica leaves."""

    wall_ms: float
    replica_name: str
    signal: DrainSignal


@dataclass(frozen=True, slots=True)
class DrainEndDetected(DrainEvent):
    """This instance itself saw that a replica takes calls again.

    ``observed_ms`` is the earliest time that the observation can stand for,
    such as the start of a health check.
    """

    wall_ms: float
    replica_name: str
    signal: DrainSignal
    observed_ms: float


@dataclass(frozen=True, slots=True)
class NoticesReceived(DrainEvent):
    """A peer passed on its notices."""

    notices: tuple[Notice, ...]


@dataclass(frozen=True, slots=True)
class DrainAction:
    """Base of all actions."""


@dataclass(frozen=True, slots=True)
class StopCalls(DrainAction):
    """Send a replica no new calls until a time."""

    replica_name: str
    until_ms: float


@dataclass(frozen=True, slots=True)
class ResumeCalls(DrainAction):
    """Use a replica again."""

    replica_name: str


@dataclass(frozen=True, slots=True)
class DisseminateNotices(DrainAction):
    """Tell some peers at once, without waiting for the next probe."""
