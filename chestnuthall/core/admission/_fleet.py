"""Use of a group over the fleet, from news that may be late or repeated."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

# Part of the average demand of two instances that each is taken to have besides
# its own, so that an instance without callers lately keeps room for a first query.
BASE_DEMAND_RATIO = 0.1
# Samples of the own demand that are kept, at four a second.
N_HISTORY_MAX = 24


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Use of a group by a class on one instance, in shard calls.

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
    def made_wall_ms(self) -> float:
        """Wall time at which the news was made."""
        return float(self.incarnation + self.sequence)


@dataclass(frozen=True, slots=True)
class _Known:
    report: UsageReport
    heard_ms: float


@dataclass(frozen=True, slots=True)
class InstanceDemand:
    """Demand at one instance when its news was made."""

    cost: float
    made_wall_ms: float


class UsageLedger:
    """The newest use of every other instance, per group and class.

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
        self._known: dict[tuple[str, str, str], _Known] = {}

    def record(self, report: UsageReport, now_ms: float) -> float:
        """Return the service that the news adds to what was counted before.

        The first news of an instance sets only the starting point, since its
        service may lie long before the life of this instance. An incarnation
        that follows a known one counts from its start.
        """
        key = (report.instance, report.group, report.class_name)
        known = self._known.get(key)
        if known is not None and _order(report) <= _order(known.report):
            return 0.0
        self._known[key] = _Known(report, now_ms)
        if known is None:
            return 0.0
        if report.incarnation > known.report.incarnation:
            return report.served_cost
        return max(0.0, report.served_cost - known.report.served_cost)

    def forget(self, live_names: frozenset[str], heard_before_ms: float) -> None:
        """Drop instances that left, and those that were silent for long."""
        self._known = {
            key: known
            for key, known in self._known.items()
            if key[0] in live_names and known.heard_ms >= heard_before_ms
        }

    def newest_reports(self) -> list[UsageReport]:
        """Return what is known, the latest heard first."""
        ordered = sorted(self._known.values(), key=lambda known: -known.heard_ms)
        return [known.report for known in ordered]

    def demand_by_instance(
        self, group: str, heard_since_ms: float, class_name: str | None = None
    ) -> dict[str, InstanceDemand]:
        """Return the demand of a class, or of all, at each instance heard lately."""
        demand: dict[str, InstanceDemand] = {}
        for known in self._known.values():
            report = known.report
            if report.group != group or known.heard_ms < heard_since_ms:
                continue
            if class_name not in (None, report.class_name):
                continue
            before = demand.get(report.instance, InstanceDemand(0.0, 0.0))
            demand[report.instance] = InstanceDemand(
                before.cost + report.demand_cost,
                max(before.made_wall_ms, report.made_wall_ms),
            )
        return demand


def _order(report: UsageReport) -> tuple[int, int]:
    return report.incarnation, report.sequence


class DemandHistory:
    """This instance's own demand over the last seconds.

    News of others is a second or two old. While the load of the whole fleet
    rises, the own demand of now against theirs of then would give every
    instance too large a part, so the own demand of the same time is compared.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=N_HISTORY_MAX)

    def add(self, wall_ms: float, cost: float) -> None:
        """Note the demand now."""
        self._samples.append((wall_ms, cost))

    def cost_at(self, wall_ms: float) -> float:
        """Return the demand at the sample nearest to a time; 0 without any."""
        if not self._samples:
            return 0.0
        nearest = min(self._samples, key=lambda sample: abs(sample[0] - wall_ms))
        return nearest[1]


def demand_fraction(
    history: DemandHistory, others: Iterable[InstanceDemand], n_instances: int
) -> float:
    """Return this instance's part of the demand of the fleet.

    Instances without news are taken to have the same demand as this one.

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
        _relative(item.cost, history.cost_at(item.made_wall_ms)) for item in others
    ]
    n_silent = max(0, n_instances - 1 - len(relative))
    return 1.0 / (1.0 + n_silent + sum(relative))


def _relative(other_cost: float, own_cost: float) -> float:
    base_cost = BASE_DEMAND_RATIO * (other_cost + own_cost) / 2.0
    if base_cost <= 0.0:
        return 1.0
    return (other_cost + base_cost) / (own_cost + base_cost)
