"""Events that an admission queue takes and actions that it returns."""

from dataclasses import dataclass

from chestnuthall.core.model import AdmissionAccount, CallerClass
from chestnuthall.core.results import Failure


@dataclass(frozen=True, slots=True)
class AdmissionEvent:
    """Base of all events; ``now_ms`` is the instance's monotonic time."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class Arrive(AdmissionEvent):
    """A query asks for admission; ``cost`` is its number of shard calls."""

    ticket: str
    class_name: str
    kind: str
    cost: float
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class Release(AdmissionEvent):
    """An admitted query ended; ``service_ms`` is the time since admission."""

    ticket: str
    service_ms: float


@dataclass(frozen=True, slots=True)
class ReleaseCalls(AdmissionEvent):
    """Some shard calls of an admitted query ended after ``service_ms`` each."""

    ticket: str
    cost: float
    service_ms: float


@dataclass(frozen=True, slots=True)
class Withdraw(AdmissionEvent):
    """A queued query is no longer wanted by its caller."""

    ticket: str


@dataclass(frozen=True, slots=True)
class ExpireDue(AdmissionEvent):
    """Refuse the queued queries whose deadline has passed."""


@dataclass(frozen=True, slots=True)
class FleetUseReported(AdmissionEvent):
    """Other instances served ``cost`` more shard calls of a class."""

    class_name: str
    cost: float


@dataclass(frozen=True, slots=True)
class DemandReported(AdmissionEvent):
    """Callers ask the fleet for ``cost_per_ms`` shard calls of a class."""

    class_name: str
    cost_per_ms: float


@dataclass(frozen=True, slots=True)
class LimitChanged(AdmissionEvent):
    """The number of shard calls that may run at once has changed.

    ``quota_ratio`` is this instance's part of the demand of the fleet, and
    ``class_demand_ratios`` its part of the demand of single classes.
    """

    limit_cost: float
    quota_ratio: float = 1.0
    class_demand_ratios: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, slots=True)
class WakeUpDue(AdmissionEvent):
    """The time that ``AdmissionQueue.wake_at_ms`` named has come."""


@dataclass(frozen=True, slots=True)
class Reconfigured(AdmissionEvent):
    """Another configuration is in force; queued and running work stays."""

    classes: tuple[CallerClass, ...]
    reserved_ratios: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class AdmissionAction:
    """Base of all actions."""

    ticket: str


@dataclass(frozen=True, slots=True)
class Admit(AdmissionAction):
    """The query may start its shard calls."""

    account: AdmissionAccount


@dataclass(frozen=True, slots=True)
class Refuse(AdmissionAction):
    """The query is not run."""

    failure: Failure
    account: AdmissionAccount
