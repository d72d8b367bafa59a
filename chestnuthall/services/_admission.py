"""Admits queries to the upstream groups of an instance."""

import asyncio
from dataclasses import dataclass
from functools import singledispatchmethod
from math import exp

from chestnuthall.core.admission import (
    CALL_UNKNOWN_MS,
    RATIO_UNQUEUED,
    AdaptiveLimit,
    AdmissionAction,
    AdmissionEvent,
    AdmissionQueue,
    Admit,
    Arrive,
    DemandReported,
    ExpireDue,
    FleetUsageReported,
    LagObserved,
    LimitChanged,
    Reconfigured,
    Refuse,
    Release,
    ReleaseCalls,
    WakeUpDue,
    Withdraw,
)
from chestnuthall.core.model import (
    AdmissionAccount,
    AdmissionRule,
    EnvironmentDocument,
    Request,
    ReturnAdvice,
    ShardAnswer,
    ShardCall,
    UpstreamGroup,
    request_kind,
)
from chestnuthall.core.results import SHED_BY_UPSTREAM, Failure
from chestnuthall.ports import Clock

# Time constant of the average of the offered cost: short enough to follow a step
# of the load, long enough that a few searches do not change the quota much.
OFFERED_WINDOW_MS = 2_000.0
# Minimum delay of the timer. Otherwise a timer that fires early by the clock's
# resolution would be set again for the same time.
TIMER_DELAY_MIN_MS = 0.05


class OfferedCost:
    """Exponentially decayed sum of the shard calls that callers requested, by class.

    Queries are counted on arrival, so refused ones are included. Queued work is not
    used as a measure of demand: it depends on the capacity that this instance
    already has, so the quotas would feed back on themselves.
    """

    def __init__(self) -> None:
        self._costs: dict[str, tuple[float, float]] = {}

    def add(self, class_name: str, cost: float, now_ms: float) -> None:
        """Add the cost of a query that arrived."""
        self._costs[class_name] = (self.cost(class_name, now_ms) + cost, now_ms)

    def cost(self, class_name: str, now_ms: float) -> float:
        """Return the decayed sum of a class."""
        total, updated_ms = self._costs.get(class_name, (0.0, now_ms))
        return total * exp((updated_ms - now_ms) / OFFERED_WINDOW_MS)

    def by_class(self, now_ms: float) -> dict[str, float]:
        """Return the decayed sums of all classes seen so far."""
        return {name: self.cost(name, now_ms) for name in self._costs}


@dataclass(frozen=True, slots=True)
class Admitted:
    """Result for an admitted query; it must be released when the query ends."""

    ticket: str
    admitted_ms: float
    account: AdmissionAccount


@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """Result for a refused query; ``advice`` states when its caller should return."""

    failure: Failure
    account: AdmissionAccount
    advice: ReturnAdvice | None = None


class Admission:
    """Connects the admission queue of one group to the event loop.

    The concurrency limit is the number of slots of the group, times the quota of
    this instance, times the ratio of the adaptive limit, which follows latency and
    shed calls.
    """

    def __init__(
        self,
        document: EnvironmentDocument,
        group: UpstreamGroup,
        slots_cost: float,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._slots_cost = slots_cost
        self._quota_ratio = 1.0
        self._class_demand_ratios: tuple[tuple[str, float], ...] = ()
        self._limit = AdaptiveLimit()
        self._queue = AdmissionQueue(
            document.classes, slots_cost, group.reserved_ratios
        )
        self._waiters: dict[str, asyncio.Future[Admitted | NotAdmitted]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._n_tickets = 0
        self._last_cost = 1.0
        self.offered = OfferedCost()

    @property
    def utilisation_ratio(self) -> float:
        """Recent average of the running shard calls, as a ratio of the limit."""
        return self._queue.utilisation_ratio

    @property
    def limit_cost(self) -> float:
        """Average number of shard calls that may run concurrently."""
        return self._queue.capacity.limit_cost

    @property
    def slots_cost(self) -> float:
        """Number of slots of the whole group."""
        return self._slots_cost

    @property
    def n_running(self) -> int:
        """Number of running queries."""
        return len(self._queue.running)

    @property
    def is_in_use(self) -> bool:
        """Whether queries are queued or running."""
        return bool(self._queue.running or self._queue.waiting)

    @property
    def served_cost(self) -> dict[str, float]:
        """Number of shard calls admitted so far, by class."""
        return self._queue.served_cost

    def reconfigure(self, document: EnvironmentDocument, group: UpstreamGroup) -> None:
        """Apply another revision; queued and running queries stay counted."""
        now_ms = self._clock.now_ms()
        event = Reconfigured(now_ms, document.classes, group.reserved_ratios)
        self._handle(event)

    def set_slots(self, slots_cost: float) -> None:
        """Set the number of slots of the whole group."""
        if slots_cost != self._slots_cost:
            self._slots_cost = slots_cost
            self._apply_limit()

    def set_quota(
        self,
        quota_ratio: float,
        class_demand_ratios: tuple[tuple[str, float], ...],
        quota_sum_ratio: float = 1.0,
    ) -> None:
        """Set this instance's quota and its fractions of the demand by class.

        ``quota_ratio`` is this instance's fraction of the demand on the fleet, and the
        fraction of the group's slots that it may use. ``class_demand_ratios`` are its
        fractions of the demand of single classes. ``quota_sum_ratio`` is the
        sum of the quotas of all instances, which may exceed one.
        """
        self._limit.unqueued_ratio = RATIO_UNQUEUED / max(1.0, quota_sum_ratio)
        self._quota_ratio = quota_ratio
        self._class_demand_ratios = class_demand_ratios
        self._apply_limit()

    def adapt(self) -> None:
        """Adapt the limit to the latencies and shed calls since the last adaptation."""
        self._handle(WakeUpDue(self._clock.now_ms()))
        self._limit.adapt(self.utilisation_ratio)
        self._apply_limit()

    def _apply_limit(self) -> None:
        limit_cost = self._slots_cost * self._quota_ratio * self._limit.ratio
        self._handle(
            LimitChanged(
                self._clock.now_ms(),
                limit_cost,
                self._quota_ratio,
                self._class_demand_ratios,
            )
        )

    def on_fleet_demand(self, class_name: str, cost: float) -> None:
        """Record the demand of a class on the whole fleet."""
        cost_per_ms = cost / OFFERED_WINDOW_MS
        self._handle(DemandReported(self._clock.now_ms(), class_name, cost_per_ms))

    def on_fleet_use(self, class_name: str, cost: float) -> None:
        """Count the shard calls that other instances served for a class."""
        self._handle(FleetUsageReported(self._clock.now_ms(), class_name, cost))

    def on_call_result(
        self,
        admitted: Admitted,
        call: ShardCall,
        result: ShardAnswer | Failure,
        elapsed_ms: float,
    ) -> None:
        """Record the result of a shard call of an admitted query."""
        replica_name = call.replica.name
        if isinstance(result, Failure):
            if result.kind is SHED_BY_UPSTREAM:
                self._limit.observe_shed(replica_name)
            return
        self._limit.observe_answer(replica_name, elapsed_ms)
        now_ms = self._clock.now_ms()
        self._handle(ReleaseCalls(now_ms, admitted.ticket, 1.0, elapsed_ms))

    async def acquire(self, request: Request, cost: float) -> Admitted | NotAdmitted:
        """Wait until a request is admitted or refused."""
        self._n_tickets += 1
        self._last_cost = cost
        ticket = f"{request.request_id}#{self._n_tickets}"
        waiter: asyncio.Future[Admitted | NotAdmitted]
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[ticket] = waiter
        now_ms = self._clock.now_ms()
        self.offered.add(request.class_name, cost, now_ms)
        self._handle(
            Arrive(
                now_ms,
                ticket,
                request.class_name,
                request_kind(request),
                cost,
                request.deadline_ms,
            )
        )
        try:
            return await self._wait(waiter, request.deadline_ms)
        except asyncio.CancelledError:
            self._withdraw(ticket, waiter)
            raise

    async def _wait(
        self, waiter: "asyncio.Future[Admitted | NotAdmitted]", deadline_ms: float
    ) -> Admitted | NotAdmitted:
        if waiter.done():
            return waiter.result()
        timeout_ms = deadline_ms - self._clock.now_ms()
        try:
            # asyncio.wait_for of Python 3.11 can lose a cancellation that arrives
            # together with the result.
            async with asyncio.timeout(max(0.0, timeout_ms) / 1000.0):
                return await asyncio.shield(waiter)
        except TimeoutError:
            # The event loop may fire the timer early by its clock's resolution.
            self._handle(ExpireDue(max(self._clock.now_ms(), deadline_ms)))
            return await waiter

    def _withdraw(
        self, ticket: str, waiter: "asyncio.Future[Admitted | NotAdmitted]"
    ) -> None:
        self._waiters.pop(ticket, None)
        now_ms = self._clock.now_ms()
        if waiter.done() and isinstance(waiter.result(), Admitted):
            self._handle(Release(now_ms, ticket, 0.0))
        else:
            self._handle(Withdraw(now_ms, ticket))

    def book_return(self, request: Request, recovery_ms: float) -> ReturnAdvice | None:
        """Book the return of a caller that was rejected for another cause than load.

        Return None if the class of the request is not known.
        """
        now_ms = self._clock.now_ms()
        return self._queue.book_return(
            request.class_name,
            self._last_cost,
            request.deadline_ms - now_ms,
            now_ms,
            recovery_ms,
        )

    @property
    def call_ms(self) -> float:
        """Average duration of a shard call, or an assumption if none has ended."""
        call_ms = self._queue.service_times.call_ms
        return CALL_UNKNOWN_MS if call_ms is None else call_ms

    def observe_lag(self, lag_ms: float) -> None:
        """Record how late the event loop runs."""
        self._handle(LagObserved(self._clock.now_ms(), lag_ms))

    def release(self, admitted: Admitted) -> None:
        """Release the capacity of a query that ended."""
        now_ms = self._clock.now_ms()
        self._handle(Release(now_ms, admitted.ticket, now_ms - admitted.admitted_ms))

    def _handle(self, event: AdmissionEvent) -> None:
        for action in self._queue.handle(event):
            self._perform(action)
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wake_at_ms = self._queue.wake_at_ms()
        if wake_at_ms is None:
            return
        delay_ms = max(TIMER_DELAY_MIN_MS, wake_at_ms - self._clock.now_ms())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_ms / 1000.0, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._handle(WakeUpDue(self._clock.now_ms()))

    @singledispatchmethod
    def _perform(self, action: AdmissionAction) -> None:
        raise TypeError(f"not an admission action: {type(action).__name__}")

    @_perform.register
    def _(self, action: Admit) -> None:
        self._resolve(
            action.ticket,
            Admitted(action.ticket, self._clock.now_ms(), action.account),
        )

    @_perform.register
    def _(self, action: Refuse) -> None:
        self._resolve(
            action.ticket, NotAdmitted(action.failure, action.account, action.advice)
        )

    def _resolve(self, ticket: str, result: Admitted | NotAdmitted) -> None:
        waiter = self._waiters.pop(ticket, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(result)


class Admissions:
    """The admissions of all groups, which are kept across configuration changes."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_group: dict[str, Admission] = {}

    def items(self) -> tuple[tuple[str, Admission], ...]:
        """Return the groups used so far, with their admissions."""
        return tuple(self._by_group.items())

    def reconfigure(self, document: EnvironmentDocument) -> None:
        """Apply another revision to the groups that it still contains.

        The admission of a removed group is kept while it has queries.
        """
        for name, admission in self.items():
            group = document.find_group(name)
            if group is not None:
                admission.reconfigure(document, group)
            elif not admission.is_in_use:
                del self._by_group[name]

    def of(
        self, document: EnvironmentDocument, group: UpstreamGroup, slots_cost: float
    ) -> Admission:
        """Return the admission of a group, created at its first use."""
        admission = self._by_group.get(group.name)
        if admission is None:
            admission = Admission(document, group, slots_cost, self._clock)
            self._by_group[group.name] = admission
        admission.set_slots(slots_cost)
        return admission

    def find(self, group_name: str) -> Admission | None:
        """Return the admission of a group, or None if it was not used yet."""
        return self._by_group.get(group_name)

    def observe_lag(self, lag_ms: float) -> None:
        """Record how late the event loop runs."""
        for admission in self._by_group.values():
            admission.observe_lag(lag_ms)

    def adapt(self) -> None:
        """Adapt the limit of every group."""
        for admission in self._by_group.values():
            admission.adapt()


def unqueued_account() -> AdmissionAccount:
    """Return the account of a request that was refused before it was queued."""
    return AdmissionAccount(AdmissionRule.NOT_ADMITTED, 0.0, 0)
