"""Queries that wait or run, and the queue of one class."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from math import exp

from chestnuthall.core.model import AdmissionRule, CallerClass

# Weight of the newest gap between two admissions of a backlogged class.
GAP_WEIGHT = 0.1

# Bounds the service that is predicted of others from a small part.
QUOTA_RATIO_MIN = 0.01
# Time within which news of other instances arrives. Predicted service that no
# news has confirmed by then is taken back.
NEWS_DELAY_MS = 2_000.0

# Admissions so far, by class and by the rule that decided.
AdmittedCounts = dict[tuple[str, AdmissionRule], int]


@dataclass(slots=True, eq=False)
class Ticket:
    """A query that waits or runs; ``cost`` is what of it is not yet released."""

    name: str
    class_name: str
    kind: str
    cost: float
    deadline_ms: float
    arrived_ms: float
    n_ahead_at_arrival: int
    admitted_at_arrival: AdmittedCounts


@dataclass(slots=True)
class ClassQueue:
    """Waiting queries of one class: a heap by deadline for each kind.

    ``normalised_service`` is the service over the fleet divided by the share;
    it includes ``predicted_cost``, which no news has confirmed yet.
    ``cost_gap_ms`` is the measured time per shard call admitted in a backlog.
    A modest class asks for less than its share over the whole fleet.
    A retired class is no longer configured and keeps its queue until empty.
    """

    caller_class: CallerClass
    normalised_service: float = 0.0
    is_retired: bool = False
    n_waiting: int = 0
    predicted_cost: float = 0.0
    is_modest: bool = False
    cost_gap_ms: float | None = None
    _admitted_ms: float | None = None
    _heaps: dict[str, list[tuple[float, int, Ticket]]] = field(default_factory=dict)

    def push(self, ticket: Ticket, number: int) -> None:
        """Add a query; ``number`` orders equal deadlines by arrival."""
        heap = self._heaps.setdefault(ticket.kind, [])
        heappush(heap, (ticket.deadline_ms, number, ticket))
        self.n_waiting += 1

    def head(self, kind: str | None = None) -> Ticket | None:
        """Return the query with the earliest deadline, of a kind if one is given."""
        heaps: Iterable[list[tuple[float, int, Ticket]]] = self._heaps.values()
        if kind is not None:
            heaps = [self._heaps.get(kind, [])]
        heads = [heap[0] for heap in heaps if heap]
        return min(heads)[2] if heads else None

    def remove(self, ticket: Ticket) -> None:
        """Remove a query wherever it stands."""
        heap = self._heaps[ticket.kind]
        if heap[0][2] is ticket:
            heappop(heap)
        else:
            heap[:] = [item for item in heap if item[2] is not ticket]
            heapify(heap)
        self.n_waiting -= 1

    def charge_service(self, cost: float, quota_ratio: float) -> None:
        """Count own service, and the like service that others give meanwhile.

        News of others is a second or two old. If an instance counted it only
        on arrival, all instances would serve one class until the news came
        and then all turn to another one.
        """
        predicted_cost = cost * (1.0 / max(QUOTA_RATIO_MIN, quota_ratio) - 1.0)
        self.predicted_cost += predicted_cost
        self._add_service(cost + predicted_cost)

    def settle(self, reported_cost: float) -> None:
        """Count service of others, in place of what was predicted of it."""
        confirmed_cost = min(reported_cost, self.predicted_cost)
        self.predicted_cost -= confirmed_cost
        self._add_service(reported_cost - confirmed_cost)

    def age(self, elapsed_ms: float) -> None:
        """Take back predicted service for which no news came."""
        lapsed_cost = self.predicted_cost * (1.0 - exp(-elapsed_ms / NEWS_DELAY_MS))
        self.predicted_cost -= lapsed_cost
        self._add_service(-lapsed_cost)

    def _add_service(self, cost: float) -> None:
        self.normalised_service += cost / self.caller_class.share

    def note_admission(self, cost: float, now_ms: float) -> None:
        """Measure the pace of the class from the gaps while it is backlogged."""
        if self._admitted_ms is not None:
            gap_ms = (now_ms - self._admitted_ms) / max(1.0, cost)
            known_ms = gap_ms if self.cost_gap_ms is None else self.cost_gap_ms
            self.cost_gap_ms = known_ms + GAP_WEIGHT * (gap_ms - known_ms)
        self._admitted_ms = now_ms if self.n_waiting else None

    def cost_due_before(self, deadline_ms: float) -> float:
        """Return the waiting cost that goes ahead of a later deadline."""
        return sum(
            item[2].cost
            for heap in self._heaps.values()
            for item in heap
            if item[0] <= deadline_ms
        )
