"""Fleet-wide usage of a group, from reports that may be late or duplicated."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

# Fraction of the mean demand of two instances that is added to the demand of
# each, so that an instance without recent callers keeps capacity for a first query.
BASE_DEMAND_RATIO = 0.1
# Retained samples of this instance's demand, taken four times a second.
N_HISTORY_MAX = 24


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Usage of a group by a class on one instance, in shard calls.

    ``served_cost`` counts from the start of the incarnation, which is a wall
    time; the sequence is the milliseconds since then.
    """

    instance: str
    incarnation: int
    sequence: int
    group: str
    class_name: str
    served_cost: float
    demand_cost: float

    @property
    def created_wall_ms(self) -> float:
        """Wall time at which the report was created."""
        return float(self.incarnation + self.sequence)


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    report: UsageReport
    received_ms: float


@dataclass(frozen=True, slots=True)
class InstanceDemand:
    """Demand at one instance when its report was created."""

    cost: float
    created_wall_ms: float


class UsageLedger:
    """The latest usage report of every other instance, per group and class.

    Examples
    --------
    >>> ledger = UsageLedger()
    >>> report = UsageReport("a", 1, 1, "desk", "clerk", 40.0, 10.0)
    >>> ledger.record(report, 0.0)
    0.0
    >>> later = UsageReport("a", 1, 2, "desk", "clerk", 70.0, 10.0)
    >>> ledger.record(later, 0.0), ledger.record(later, 0.0), ledger.record(report, 0.0)
    (30.0, 0.0, 0.0)
    """

    def __init__(self) -> None:
        self._latest: dict[tuple[str, str, str], _ReceivedReport] = {}

    def record(self, report: UsageReport, now_ms: float) -> float:
        """Record a report and return the service that was not counted before.

        The first report of an instance only sets the starting point, since its
        service may date from long before this instance started. A later
        incarnation of a known instance counts from its own start.
        """
        key = (report.instance, report.group, report.class_name)
        previous = self._latest.get(key)
        if previous is not None and _order(report) <= _order(previous.report):
            return 0.0
        self._latest[key] = _ReceivedReport(report, now_ms)
        if previous is None:
            return 0.0
        if report.incarnation > previous.report.incarnation:
            return report.served_cost
        return max(0.0, report.served_cost - previous.report.served_cost)

    def remove_stale(
        self, live_names: frozenset[str], received_before_ms: float
    ) -> None:
        """Remove instances that left or have not reported since a time."""
        self._latest = {
            key: received
            for key, received in self._latest.items()
            if key[0] in live_names and received.received_ms >= received_before_ms
        }

    def newest_reports(self) -> list[UsageReport]:
        """Return the stored reports, the most recently received first."""
        ordered = sorted(self._latest.values(), key=lambda item: -item.received_ms)
        return [item.report for item in ordered]

    def demand_by_instance(
        self, group: str, received_since_ms: float, class_name: str | None = None
    ) -> dict[str, InstanceDemand]:
        """Return the demand at each instance that has reported since a time.

        Without a class name it is the sum over all classes.
        """
        demand: dict[str, InstanceDemand] = {}
        for received in self._latest.values():
            report = received.report
            if report.group != group or received.received_ms < received_since_ms:
                continue
            if class_name not in (None, report.class_name):
                continue
            subtotal = demand.get(report.instance, InstanceDemand(0.0, 0.0))
            demand[report.instance] = InstanceDemand(
                subtotal.cost + report.demand_cost,
                max(subtotal.created_wall_ms, report.created_wall_ms),
            )
        return demand


def _order(report: UsageReport) -> tuple[int, int]:
    return report.incarnation, report.sequence


class DemandHistory:
    """This instance's own demand over the last seconds.

    Reports of other instances are one to two seconds old. While the load of the
    whole fleet rises, comparing the current own demand with their earlier demand
    would give every instance too large a fraction. The own demand at the time of
    the report is compared instead.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=N_HISTORY_MAX)

    def add(self, wall_ms: float, cost: float) -> None:
        """Record the demand at a wall time."""
        self._samples.append((wall_ms, cost))

    def cost_at(self, wall_ms: float) -> float:
        """Return the demand of the sample nearest to a time; 0 without samples."""
        if not self._samples:
            return 0.0
        nearest = min(self._samples, key=lambda sample: abs(sample[0] - wall_ms))
        return nearest[1]


def demand_fraction(
    history: DemandHistory, others: Iterable[InstanceDemand], n_instances: int
) -> float:
    """Return this instance's fraction of the demand of the fleet.

    Instances without a report are assumed to have the same demand as this one.

    Examples
    --------
    >>> history = DemandHistory()
    >>> history.add(1_000.0, 30.0)
    >>> demand_fraction(history, [], 4)
    0.25
    >>> round(demand_fraction(history, [InstanceDemand(10.0, 1_000.0)], 2), 3)
    0.727
    """
    relative = [
        _relative_demand(item.cost, history.cost_at(item.created_wall_ms))
        for item in others
    ]
    n_unreported = max(0, n_instances - 1 - len(relative))
    return 1.0 / (1.0 + n_unreported + sum(relative))


def _relative_demand(other_cost: float, own_cost: float) -> float:
    base_cost = BASE_DEMAND_RATIO * (other_cost + own_cost) / 2.0
    if base_cost <= 0.0:
        return 1.0
    return (other_cost + base_cost) / (own_cost + base_cost)
