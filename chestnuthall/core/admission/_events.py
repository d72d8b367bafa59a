"""Events that an admission queue handles and actions that it returns."""

from dataclasses import dataclass

from chestnuthall.core.model import AdmissionAccount, CallerClass, ReturnAdvice
from chestnuthall.core.results import Failure


@dataclass(frozen=True, slots=True)
class AdmissionEvent:
    """Base of all events; ``now_ms`` is the instance's monotonic time."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class Arrive(AdmissionEvent):
    """A query requests admission; ``cost`` is its number of shard calls."""

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
    """The caller cancelled a queued query."""

    ticket: str


@dataclass(frozen=True, slots=True)
class ExpireDue(AdmissionEvent):
    """Refuse the queued queries whose deadline has passed."""


@dataclass(frozen=True, slots=True)
class FleetUsageReported(AdmissionEvent):
    """Other instances served ``cost`` more shard calls of a class."""

    class_name: str
    cost: float


@dataclass(frozen=True, slots=True)
class DemandReported(AdmissionEvent):
    """The demand for a class over the whole fleet, in shard calls per ms."""

    class_name: str
    cost_per_ms: float


@dataclass(frozen=True, slots=True)
class LimitChanged(AdmissionEvent):
    """The number of shard calls that may run at once has changed.

    ``quota_ratio`` is this instance's quota as a fraction of the fleet's
    limit, which follows its fraction of the fleet's demand.
    ``class_demand_ratios`` are its fractions of the demand of single classes.
    """

    limit_cost: float
    quota_ratio: float = 1.0
    class_demand_ratios: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, slots=True)
class LagObserved(AdmissionEvent):
    """The event loop ran ``lag_ms`` late, and so will the queries that it serves."""

    lag_ms: float


@dataclass(frozen=True, slots=True)
class WakeUpDue(AdmissionEvent):
    """The time that ``AdmissionQueue.wake_at_ms`` returned has been reached."""


@dataclass(frozen=True, slots=True)
class Reconfigured(AdmissionEvent):
    """A new configuration is in force; queued and running queries are kept."""

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
    """The query is refused and will not run.

    ``advice`` states when its caller should return; None if a return is of no use.
    """

    failure: Failure
    account: AdmissionAccount
    advice: ReturnAdvice | None = None
