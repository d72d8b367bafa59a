"""State of the fair queueing of one upstream group, and its decisions."""

from chestnuthall.core.admission._capacity import Capacity
from chestnuthall.core.admission._choice import (
    choose_class,
    slack_of,
    standings_of,
)
from chestnuthall.core.admission._events import (
    AdmissionAction,
    Admit,
    Arrive,
    Refuse,
)
from chestnuthall.core.admission._service_times import ServiceTimes
from chestnuthall.core.admission._tickets import (
    AdmittedCounts,
    ClassQueue,
    Ticket,
)
from chestnuthall.core.model import (
    AdmissionAccount,
    AdmissionRule,
    CallerClass,
    ClassStanding,
    QueriesAhead,
    ReturnAdvice,
)
from chestnuthall.core.overload import Rejection, ReturnSchedule
from chestnuthall.core.results import (
    DEADLINE_PASSED,
    DEADLINE_UNREACHABLE,
    Failure,
)

# Duration of a shard call that is assumed until one has been measured.
CALL_UNKNOWN_MS = 20.0


class AdmissionState:
    """Waiting and running queries of one upstream group, and its capacity.

    ``AdmissionQueue`` applies events to it and explains the policy.
    """

    def __init__(
        self,
        classes: tuple[CallerClass, ...],
        limit_cost: float,
        reserved_ratios: tuple[tuple[str, float], ...] = (),
    ) -> None:
        self.capacity = Capacity(limit_cost, dict(reserved_ratios))
        self.quota_ratio = 1.0
        self.class_demand_ratios: dict[str, float] = {}
        self.service_times = ServiceTimes()
        self.queues = {item.name: ClassQueue(item) for item in classes}
        self.waiting: dict[str, Ticket] = {}
        self.running: dict[str, Ticket] = {}
        self.served_cost: dict[str, float] = {}
        self.admitted: AdmittedCounts = {}
        self.returns = ReturnSchedule()
        self._virtual_time = 0.0
        self._n_arrived = 0

    @property
    def utilisation_ratio(self) -> float:
        """Average recent running cost as a fraction of the limit."""
        return self.capacity.utilisation_ratio

    def wake_at_ms(self) -> float | None:
        """Return when ``WakeUpDue`` is due, or None if no query is waiting."""
        if not self.waiting:
            return None
        head = choose_class(self._backlogged(), self.slack)[0].head()
        hopeless_ms = min(map(self._hopeless_at_ms, self.waiting.values()))
        wake_at_ms = None if head is None else self.capacity.wake_at_ms(head.cost)
        return hopeless_ms if wake_at_ms is None else min(wake_at_ms, hopeless_ms)

    def make_ticket(self, event: Arrive) -> Ticket:
        """Return a ticket for a query that has just arrived."""
        return Ticket(
            name=event.ticket,
            class_name=event.class_name,
            kind=event.kind,
            cost=event.cost,
            deadline_ms=event.deadline_ms,
            arrived_ms=event.now_ms,
            n_ahead_at_arrival=len(self.waiting),
            admitted_at_arrival=dict(self.admitted),
            is_return=self.returns.redeem(
                event.class_name, event.deadline_ms - event.now_ms, event.now_ms
            ),
        )

    def enqueue(self, ticket: Ticket) -> None:
        """Add a query to the queue of its class."""
        queue = self.queues[ticket.class_name]
        if not queue.n_waiting:
            self._catch_up(queue)
        self._n_arrived += 1
        queue.push(ticket, self._n_arrived)
        self.waiting[ticket.name] = ticket

    def _catch_up(self, queue: ClassQueue) -> None:
        """Raise the service of an idle class to near that of the least served one.

        Without this a class could accumulate credit while idle and then occupy the
        whole limit until the credit is spent. The class keeps the slack, so that a
        burst of a class that uses less than its share stays within the share.
        """
        backlogged = [item.normalised_service for item in self._backlogged()]
        self._virtual_time = max(self._virtual_time, min(backlogged, default=0.0))
        start = min(backlogged, default=self._virtual_time)
        queue.normalised_service = max(queue.normalised_service, start - self.slack)

    def _backlogged(self, kind: str | None = None) -> list[ClassQueue]:
        return [
            queue
            for queue in self.queues.values()
            if queue.n_waiting and (kind is None or queue.head(kind) is not None)
        ]

    def admit_next(self, now_ms: float) -> list[AdmissionAction]:
        """Admit queries while there is capacity."""
        actions: list[AdmissionAction] = []
        while self.waiting:
            action = self._admit_by_share(now_ms) or self._admit_reserved(now_ms)
            if action is None:
                return actions
            actions.append(action)
        return actions

    def _admit_by_share(self, now_ms: float) -> AdmissionAction | None:
        queue, rule = choose_class(self._backlogged(), self.slack)
        ticket = queue.head()
        if ticket is None:
            return None
        is_urgent = rule is AdmissionRule.URGENCY_WITHIN_SHARE and self._is_most_urgent(
            queue
        )
        has_capacity = self.capacity.has_capacity(ticket.cost)
        if has_capacity or (
            is_urgent and self.capacity.has_urgent_capacity(ticket.cost)
        ):
            return self._admit_or_refuse(queue, ticket, rule, now_ms)
        return None

    def _is_most_urgent(self, queue: ClassQueue) -> bool:
        """Return whether no configured class is more urgent."""
        urgencies = (item.caller_class.urgency for item in self.queues.values())
        return queue.caller_class.urgency >= max(urgencies)

    def _admit_reserved(self, now_ms: float) -> AdmissionAction | None:
        for kind in self.capacity.reserved_ratios:
            backlogged = self._backlogged(kind)
            if not backlogged:
                continue
            queue, _ = choose_class(backlogged, self.slack, kind)
            ticket = queue.head(kind)
            if ticket is None or not self.capacity.has_reserved_capacity(
                kind, ticket.cost
            ):
                continue
            return self._admit_or_refuse(
                queue, ticket, AdmissionRule.RESERVED_CAPACITY, now_ms
            )
        return None

    def _admit_or_refuse(
        self, queue: ClassQueue, ticket: Ticket, rule: AdmissionRule, now_ms: float
    ) -> AdmissionAction:
        standings = self.standings()
        if self._is_immediate(ticket, now_ms):
            if rule is not AdmissionRule.RESERVED_CAPACITY:
                rule = AdmissionRule.IMMEDIATE
        elif self._is_too_late(ticket, now_ms):
            self.drop(ticket)
            failure = DEADLINE_UNREACHABLE.with_reason(
                "the remaining time is too short to run"
            )
            return self.refuse(ticket, failure, now_ms)
        account = self._account(ticket, rule, standings, now_ms)
        self._start(queue, ticket, rule, now_ms)
        return Admit(ticket.name, account)

    def _is_immediate(self, ticket: Ticket, now_ms: float) -> bool:
        """Return whether a query neither waited nor competed with another query."""
        is_alone = len(self.waiting) == 1 and ticket.n_ahead_at_arrival == 0
        return (
            is_alone
            and ticket.arrived_ms == now_ms
            and not self._admitted_since_arrival(ticket)
        )

    def _hopeless_at_ms(self, ticket: Ticket) -> float:
        """Return from when on a query is not expected to end before its deadline."""
        return ticket.deadline_ms - self.service_times.needed_ms(ticket.kind)

    def _is_too_late(self, ticket: Ticket, now_ms: float) -> bool:
        return now_ms >= self._hopeless_at_ms(ticket)

    def refuse_hopeless(self, now_ms: float) -> list[AdmissionAction]:
        """Refuse the waiting queries that can no longer end before their deadline.

        Answers a backlog that grows faster than it drains: these callers can return
        elsewhere or later while there is time, and those behind them move up.
        """
        actions: list[AdmissionAction] = []
        for ticket in tuple(self.waiting.values()):
            if not self._is_too_late(ticket, now_ms):
                continue
            self.drop(ticket)
            is_over = now_ms >= ticket.deadline_ms
            kind = DEADLINE_PASSED if is_over else DEADLINE_UNREACHABLE
            failure = kind.with_reason("the remaining time is too short to run")
            actions.append(self.refuse(ticket, failure, now_ms))
        return actions

    def _start(
        self, queue: ClassQueue, ticket: Ticket, rule: AdmissionRule, now_ms: float
    ) -> None:
        self.drop(ticket)
        queue.observe_admission(ticket.cost, now_ms)
        self.running[ticket.name] = ticket
        self.capacity.acquire(ticket.kind, ticket.cost)
        name = ticket.class_name
        demand_ratio = self.class_demand_ratios.get(name, self.quota_ratio)
        queue.charge_service(ticket.cost, demand_ratio)
        self.served_cost[name] = self.served_cost.get(name, 0.0) + ticket.cost
        self.admitted[name, rule] = self.admitted.get((name, rule), 0) + 1

    @property
    def slack(self) -> float:
        """Lead in normalised service up to which a class is within its share."""
        return slack_of(
            self.queues.values(), self.capacity.limit_cost / self.quota_ratio
        )

    def standings(self) -> tuple[ClassStanding, ...]:
        """Return the current standing of every class."""
        return standings_of(self.queues.values(), self.slack)

    def drop(self, ticket: Ticket) -> None:
        """Remove a waiting query."""
        del self.waiting[ticket.name]
        queue = self.queues[ticket.class_name]
        queue.remove(ticket)
        if queue.is_retired and not queue.n_waiting:
            del self.queues[ticket.class_name]

    def release(self, ticket: Ticket, cost: float) -> None:
        """Release capacity of a running query, at most what it still occupies."""
        released = min(cost, ticket.cost)
        ticket.cost -= released
        self.capacity.release(ticket.kind, released)

    def expected_wait_ms(self, ticket: Ticket) -> float:
        """Return how long a new query is expected to wait."""
        queue = self.queues[ticket.class_name]
        ahead_cost = queue.cost_ahead_of(ticket)
        if not ticket.is_return:
            now_ms = ticket.arrived_ms
            ahead_cost += self.returns.booked_cost(
                ticket.class_name, self._hopeless_at_ms(ticket), now_ms
            )
        return self._class_wait_ms(queue, ahead_cost)

    def _class_wait_ms(self, queue: ClassQueue, ahead_cost: float) -> float:
        """Return how long a class takes to start queries of a total cost."""
        if queue.call_gap_ms is not None:
            return ahead_cost * queue.call_gap_ms
        name = queue.caller_class.name
        shares = {
            item.caller_class.name: item.caller_class.share
            for item in self._backlogged()
        }
        shares[name] = queue.caller_class.share
        return self.service_times.wait_ms(
            ahead_cost=ahead_cost,
            limit_cost=self.capacity.limit_cost,
            share_ratio=queue.caller_class.share / sum(shares.values()),
        )

    def refuse(self, ticket: Ticket, failure: Failure, now_ms: float) -> Refuse:
        """Return the refusal of a query, with its account and when to return."""
        rule = AdmissionRule.NOT_ADMITTED
        account = self._account(ticket, rule, self.standings(), now_ms)
        remaining_ms = ticket.deadline_ms - now_ms
        advice = self.book_return(ticket.class_name, ticket.cost, remaining_ms, now_ms)
        return Refuse(ticket.name, failure, account, advice)

    def book_return(
        self,
        class_name: str,
        cost: float,
        remaining_ms: float,
        now_ms: float,
        recovery_ms: float = 0.0,
    ) -> ReturnAdvice | None:
        """Book the return of a rejected caller; None if its class is unknown.

        ``recovery_ms`` is the time until a cause other than the backlog is expected to
        have ended.
        """
        queue = self.queues.get(class_name)
        if queue is None:
            return None
        drain_ms = self._class_wait_ms(queue, queue.waiting_cost)
        # Queries that become hopeless leave the queue without being served.
        latest_ms = max(map(self._hopeless_at_ms, queue.waiting_tickets()), default=0.0)
        drain_ms = min(drain_ms, max(0.0, latest_ms - now_ms))
        wake_at_ms = self.capacity.wake_at_ms(cost)
        if wake_at_ms is not None:
            drain_ms = max(drain_ms, wake_at_ms - now_ms)
        gap_ms = self._class_wait_ms(queue, cost)
        if gap_ms <= 0.0 and self.capacity.limit_cost > 0.0:
            gap_ms = CALL_UNKNOWN_MS * cost / self.capacity.limit_cost
        rejection = Rejection(
            class_name=class_name,
            cost=cost,
            drain_ms=max(drain_ms, recovery_ms),
            gap_ms=gap_ms,
            remaining_ms=remaining_ms,
        )
        return self.returns.book(rejection, now_ms)

    def _account(
        self,
        ticket: Ticket,
        rule: AdmissionRule,
        standings: tuple[ClassStanding, ...],
        now_ms: float,
    ) -> AdmissionAccount:
        return AdmissionAccount(
            rule=rule,
            queued_ms=now_ms - ticket.arrived_ms,
            n_ahead_at_arrival=ticket.n_ahead_at_arrival,
            standings=standings,
            ahead=self._admitted_since_arrival(ticket),
            is_return=ticket.is_return,
        )

    def _admitted_since_arrival(self, ticket: Ticket) -> tuple[QueriesAhead, ...]:
        """Return the admissions since a query arrived, by class and rule."""
        at_arrival = ticket.admitted_at_arrival
        return tuple(
            QueriesAhead(name, n_admitted - at_arrival.get((name, rule), 0), rule)
            for (name, rule), n_admitted in sorted(
                self.admitted.items(), key=lambda item: (item[0][0], item[0][1].value)
            )
            if n_admitted > at_arrival.get((name, rule), 0)
        )
