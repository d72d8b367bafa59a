"""Fair queueing of the queries of one upstream group."""

from dataclasses import dataclass, field
from functools import singledispatch
from heapq import heappop, heappush

from chestnuthall.core.admission._events import (
    AdmissionAction,
    AdmissionEvent,
    Admit,
    Arrive,
    ExpireDue,
    FleetUseReported,
    LimitChanged,
    Refuse,
    Release,
    Withdraw,
)
from chestnuthall.core.model import (
    AdmissionAccount,
    AdmissionRule,
    CallerClass,
    ClassStanding,
)
from chestnuthall.core.results import (
    DEADLINE_PASSED,
    QUEUE_FULL,
    UNKNOWN_CLASS,
    Failure,
)

# Service, in shard calls over share, by which a class may be ahead of the least
# served one and still count as within its share.
WITHIN_SHARE_SLACK = 1.0


@dataclass(slots=True)
class Ticket:
    """A query that waits or runs."""

    name: str
    class_name: str
    kind: str
    cost: float
    deadline_ms: float
    arrived_ms: float
    n_ahead_at_arrival: int


@dataclass(slots=True)
class ClassQueue:
    """Queue and service of one class; the heap is ordered by deadline."""

    caller_class: CallerClass
    normalised_service: float = 0.0
    waiting: list[tuple[float, int, Ticket]] = field(default_factory=list)


class AdmissionQueue:
    """Admits queries whole, within a limit on shard calls that run at once.

    Start-time fair queueing decides between classes, on the service that each
    received over the fleet divided by its share. Among the classes within
    their share the more urgent one goes first.
    """

    def __init__(self, classes: tuple[CallerClass, ...], limit_cost: float) -> None:
        self.limit_cost = limit_cost
        self.running_cost = 0.0
        self.queues = {item.name: ClassQueue(item) for item in classes}
        self.waiting: dict[str, Ticket] = {}
        self.running: dict[str, Ticket] = {}
        self._n_arrived = 0

    @property
    def utilisation_ratio(self) -> float:
        """Running cost as a part of the limit."""
        return self.running_cost / self.limit_cost if self.limit_cost else 1.0

    @property
    def demand_cost(self) -> float:
        """Shard calls of all queries that wait or run."""
        return self.running_cost + sum(item.cost for item in self.waiting.values())

    def handle(self, event: AdmissionEvent) -> list[AdmissionAction]:
        """Apply one event and return the queries that are admitted or refused."""
        return _apply(event, self)

    def enqueue(self, event: Arrive) -> None:
        """Add a query to the queue of its class."""
        queue = self.queues[event.class_name]
        if not queue.waiting:
            self._catch_up(queue)
        ticket = Ticket(
            name=event.ticket,
            class_name=event.class_name,
            kind=event.kind,
            cost=event.cost,
            deadline_ms=event.deadline_ms,
            arrived_ms=event.now_ms,
            n_ahead_at_arrival=len(self.waiting),
        )
        self._n_arrived += 1
        heappush(queue.waiting, (ticket.deadline_ms, self._n_arrived, ticket))
        self.waiting[ticket.name] = ticket

    def _catch_up(self, queue: ClassQueue) -> None:
        """Raise the service of an idle class to that of the least served one.

        Without this a class could save up service while idle and then take
        the whole limit for as long as its credit lasts.
        """
        busy = [
            item.normalised_service for item in self.queues.values() if item.waiting
        ]
        if busy:
            queue.normalised_service = max(queue.normalised_service, min(busy))

    def admit_next(self, now_ms: float) -> list[AdmissionAction]:
        """Admit queries for as long as the limit has room."""
        actions: list[AdmissionAction] = []
        while True:
            choice = self._choose()
            if choice is None:
                return actions
            queue, rule = choice
            ticket = queue.waiting[0][2]
            if not self._has_room(ticket.cost):
                return actions
            actions.append(self._admit(queue, rule, now_ms))

    def _has_room(self, cost: float) -> bool:
        if not self.running:
            return True
        return self.running_cost + cost <= self.limit_cost

    def _admit(
        self, queue: ClassQueue, rule: AdmissionRule, now_ms: float
    ) -> AdmissionAction:
        account_standings = self.standings()
        ticket = heappop(queue.waiting)[2]
        del self.waiting[ticket.name]
        self.running[ticket.name] = ticket
        self.running_cost += ticket.cost
        queue.normalised_service += ticket.cost / queue.caller_class.share
        queued_ms = now_ms - ticket.arrived_ms
        return Admit(
            ticket.name,
            AdmissionAccount(
                rule=AdmissionRule.IMMEDIATE if queued_ms <= 0.0 else rule,
                queued_ms=queued_ms,
                n_ahead_at_arrival=ticket.n_ahead_at_arrival,
                standings=account_standings,
            ),
        )

    def _choose(self) -> tuple[ClassQueue, AdmissionRule] | None:
        busy = [queue for queue in self.queues.values() if queue.waiting]
        if not busy:
            return None
        if len(busy) == 1:
            return busy[0], AdmissionRule.ONLY_CANDIDATE
        least = min(queue.normalised_service for queue in busy)
        within = [
            queue
            for queue in busy
            if queue.normalised_service <= least + WITHIN_SHARE_SLACK
        ]
        if len(within) == 1:
            return within[0], AdmissionRule.LEAST_NORMALISED_SERVICE
        best = min(
            within,
            key=lambda queue: (-queue.caller_class.urgency, queue.waiting[0][0]),
        )
        return best, AdmissionRule.URGENCY_WITHIN_SHARE

    def standings(self) -> tuple[ClassStanding, ...]:
        """Return the standing of every class now."""
        busy = [
            item.normalised_service for item in self.queues.values() if item.waiting
        ]
        least = min(busy, default=0.0)
        return tuple(
            ClassStanding(
                class_name=name,
                share=queue.caller_class.share,
                urgency=queue.caller_class.urgency,
                normalised_service=queue.normalised_service,
                n_queued=len(queue.waiting),
                is_within_share=queue.normalised_service <= least + WITHIN_SHARE_SLACK,
            )
            for name, queue in self.queues.items()
        )

    def drop(self, ticket: Ticket) -> None:
        """Remove a waiting query."""
        del self.waiting[ticket.name]
        queue = self.queues[ticket.class_name]
        queue.waiting = [item for item in queue.waiting if item[2] is not ticket]
        queue.waiting.sort()

    def refuse(self, ticket: Ticket, failure: Failure, now_ms: float) -> Refuse:
        """Return the refusal of a query with its account."""
        return Refuse(
            ticket.name,
            failure,
            AdmissionAccount(
                rule=AdmissionRule.NOT_ADMITTED,
                queued_ms=now_ms - ticket.arrived_ms,
                n_ahead_at_arrival=ticket.n_ahead_at_arrival,
                standings=self.standings(),
            ),
        )


@singledispatch
def _apply(event: AdmissionEvent, queue: AdmissionQueue) -> list[AdmissionAction]:
    """Apply one event; registered per type of event."""
    raise TypeError(f"not an event: {type(event).__name__}")


@_apply.register
def _(event: Arrive, queue: AdmissionQueue) -> list[AdmissionAction]:
    class_queue = queue.queues.get(event.class_name)
    account = AdmissionAccount(
        AdmissionRule.NOT_ADMITTED, 0.0, len(queue.waiting), queue.standings()
    )
    if class_queue is None:
        failure = UNKNOWN_CLASS.because(f"no class named {event.class_name!r}")
        return [Refuse(event.ticket, failure, account)]
    n_queued_max = class_queue.caller_class.n_queued_max
    if len(class_queue.waiting) >= n_queued_max:
        failure = QUEUE_FULL.because(f"the class has {n_queued_max} queries queued")
        return [Refuse(event.ticket, failure, account)]
    queue.enqueue(event)
    return queue.admit_next(event.now_ms)


@_apply.register
def _(event: Release, queue: AdmissionQueue) -> list[AdmissionAction]:
    ticket = queue.running.pop(event.ticket, None)
    if ticket is not None:
        queue.running_cost -= ticket.cost
    return queue.admit_next(event.now_ms)


@_apply.register
def _(event: Withdraw, queue: AdmissionQueue) -> list[AdmissionAction]:
    ticket = queue.waiting.get(event.ticket)
    if ticket is not None:
        queue.drop(ticket)
    return []


@_apply.register
def _(event: ExpireDue, queue: AdmissionQueue) -> list[AdmissionAction]:
    actions: list[AdmissionAction] = []
    due = [item for item in queue.waiting.values() if item.deadline_ms <= event.now_ms]
    for ticket in due:
        queue.drop(ticket)
        failure = DEADLINE_PASSED.because("the deadline passed in the queue")
        actions.append(queue.refuse(ticket, failure, event.now_ms))
    return actions


@_apply.register
def _(event: FleetUseReported, queue: AdmissionQueue) -> list[AdmissionAction]:
    class_queue = queue.queues.get(event.class_name)
    if class_queue is not None:
        class_queue.normalised_service += event.cost / class_queue.caller_class.share
    return []


@_apply.register
def _(event: LimitChanged, queue: AdmissionQueue) -> list[AdmissionAction]:
    queue.limit_cost = event.limit_cost
    return queue.admit_next(event.now_ms)
