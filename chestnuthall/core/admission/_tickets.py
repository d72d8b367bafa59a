"""Tickets of waiting and running queries, and the queue of one class."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from math import exp

from chestnuthall.core.model import AdmissionRule, CallerClass

# Weight of the latest gap between two admissions of a backlogged class.
GAP_WEIGHT = 0.1

# Lower bound of the demand ratio, which limits the service predicted of others.
DEMAND_RATIO_MIN = 0.01
# Time within which reports of other instances arrive. Predicted service that no
# report confirms decays with this time constant.
REPORT_DELAY_MS = 2_000.0

# Number of admissions so far, by class and by the rule that decided.
AdmittedCounts = dict[tuple[str, AdmissionRule], int]


@dataclass(slots=True, eq=False)
class Ticket:
    """A waiting or running query.

    ``cost`` is its cost that is not yet released. ``is_return`` marks a query whose
    caller was rejected before and has returned at its time.
    """

    name: str
    class_name: str
    kind: str
    cost: float
    deadline_ms: float
    arrived_ms: float
    n_ahead_at_arrival: int
    admitted_at_arrival: AdmittedCounts
    is_return: bool = False


# Orders returns first, then by deadline, then by arrival.
HeapItem = tuple[bool, float, int, Ticket]


@dataclass(slots=True)
class ClassQueue:
    """Waiting queries of one class: a heap for each kind.

    Callers that return after a rejection go first, then the earliest deadline.

    ``normalised_service`` is the service over the fleet divided by the share;
    it includes ``predicted_cost``, which no report has confirmed yet.
    ``call_gap_ms`` is the average time between admissions per shard call
    while the class is backlogged. A class ``has_low_demand`` if its demand over the
    whole fleet is below its share. A retired class is no longer configured and keeps
    its queue until it is empty.
    """

    caller_class: CallerClass
    normalised_service: float = 0.0
    is_retired: bool = False
    n_waiting: int = 0
    predicted_cost: float = 0.0
    has_low_demand: bool = False
    call_gap_ms: float | None = None
    _last_admitted_ms: float | None = None
    _heaps: dict[str, list[HeapItem]] = field(default_factory=dict)

    def push(self, ticket: Ticket, number: int) -> None:
        """Add a query; ``number`` orders queries of equal deadlines by arrival."""
        heap = self._heaps.setdefault(ticket.kind, [])
        heappush(heap, (not ticket.is_return, ticket.deadline_ms, number, ticket))
        self.n_waiting += 1

    def head(self, kind: str | None = None) -> Ticket | None:
        """Return the query to serve first, optionally of one kind."""
        heaps: Iterable[list[HeapItem]] = self._heaps.values()
        if kind is not None:
            heaps = [self._heaps.get(kind, [])]
        heads = [heap[0] for heap in heaps if heap]
        return min(heads)[-1] if heads else None

    def remove(self, ticket: Ticket) -> None:
        """Remove a query from any position of the queue."""
        heap = self._heaps[ticket.kind]
        if heap[0][-1] is ticket:
            heappop(heap)
        else:
            heap[:] = [item for item in heap if item[-1] is not ticket]
            heapify(heap)
        self.n_waiting -= 1

    def charge_service(self, cost: float, demand_ratio: float) -> None:
        """Count own service and the service predicted of the other instances.

        Reports of other instances are one to two seconds old. If their service were
        counted only when a report arrives, all instances would serve one class
        until then, and afterwards all switch to another one.
        """
        predicted_cost = cost * (1.0 / max(DEMAND_RATIO_MIN, demand_ratio) - 1.0)
        self.predicted_cost += predicted_cost
        self._add_service(cost + predicted_cost)

    def reconcile(self, reported_cost: float) -> None:
        """Replace predicted service of other instances by reported service."""
        confirmed_cost = min(reported_cost, self.predicted_cost)
        self.predicted_cost -= confirmed_cost
        self._add_service(reported_cost - confirmed_cost)

    def decay_predicted(self, elapsed_ms: float) -> None:
        """Reduce the predicted service that no report has confirmed."""
        lapsed_cost = self.predicted_cost * (1.0 - exp(-elapsed_ms / REPORT_DELAY_MS))
        self.predicted_cost -= lapsed_cost
        self._add_service(-lapsed_cost)

    def _add_service(self, cost: float) -> None:
        self.normalised_service += cost / self.caller_class.share

    def observe_admission(self, cost: float, now_ms: float) -> None:
        """Update the average gap between admissions while the class is backlogged."""
        if self._last_admitted_ms is not None:
            gap_ms = (now_ms - self._last_admitted_ms) / max(1.0, cost)
            mean_ms = gap_ms if self.call_gap_ms is None else self.call_gap_ms
            self.call_gap_ms = mean_ms + GAP_WEIGHT * (gap_ms - mean_ms)
        self._last_admitted_ms = now_ms if self.n_waiting else None

    def cost_ahead_of(self, ticket: Ticket) -> float:
        """Return the cost of the waiting queries that are served before another one."""
        key = (not ticket.is_return, ticket.deadline_ms)
        return sum(
            item[-1].cost
            for heap in self._heaps.values()
            for item in heap
            if item[:2] <= key
        )

    def waiting_tickets(self) -> Iterator[Ticket]:
        """Yield the waiting queries in no particular order."""
        return (item[-1] for heap in self._heaps.values() for item in heap)

    @property
    def waiting_cost(self) -> float:
        """Cost of all waiting queries."""
        return sum(ticket.cost for ticket in self.waiting_tickets())
