"""Admission of queries to the upstream groups of an instance."""

import asyncio
from dataclasses import dataclass
from functools import singledispatchmethod

from chestnuthall.core.admission import (
    AdmissionAction,
    AdmissionEvent,
    AdmissionQueue,
    Admit,
    Arrive,
    ExpireDue,
    LimitChanged,
    Refuse,
    Release,
    Withdraw,
)
from chestnuthall.core.model import (
    AdmissionAccount,
    AdmissionRule,
    CallerClass,
    Request,
    kind_of,
)
from chestnuthall.core.results import Failure
from chestnuthall.ports import Clock


@dataclass(frozen=True, slots=True)
class Admitted:
    """A query may run; its ticket must be released when it ends."""

    ticket: str
    admitted_ms: float
    account: AdmissionAccount


@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """A query is not run."""

    failure: Failure
    account: AdmissionAccount


class Admission:
    """Waits for the decisions of one group's admission queue."""

    def __init__(
        self, classes: tuple[CallerClass, ...], limit_cost: float, clock: Clock
    ) -> None:
        self._clock = clock
        self._queue = AdmissionQueue(classes, limit_cost)
        self._waiters: dict[str, asyncio.Future[Admitted | NotAdmitted]] = {}
        self._n_tickets = 0

    @property
    def utilisation_ratio(self) -> float:
        """Running shard calls as a part of the limit."""
        return self._queue.utilisation_ratio

    @property
    def n_running(self) -> int:
        """Number of queries that run."""
        return len(self._queue.running)

    async def acquire(self, request: Request, cost: float) -> Admitted | NotAdmitted:
        """Wait until a request is admitted or refused."""
        self._n_tickets += 1
        ticket = f"{request.request_id}#{self._n_tickets}"
        waiter: asyncio.Future[Admitted | NotAdmitted]
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[ticket] = waiter
        now_ms = self._clock.now_ms()
        self._handle(
            Arrive(
                now_ms,
                ticket,
                request.class_name,
                kind_of(request),
                cost,
                request.deadline_ms,
            )
        )
        try:
            return await self._wait(waiter, request.deadline_ms - now_ms)
        except asyncio.CancelledError:
            self._give_back(ticket, waiter)
            raise

    async def _wait(
        self, waiter: "asyncio.Future[Admitted | NotAdmitted]", timeout_ms: float
    ) -> Admitted | NotAdmitted:
        if waiter.done():
            return waiter.result()
        try:
            return await asyncio.wait_for(
                asyncio.shield(waiter), max(0.0, timeout_ms) / 1000.0
            )
        except TimeoutError:
            self._handle(ExpireDue(self._clock.now_ms()))
            return await waiter

    def _give_back(
        self, ticket: str, waiter: "asyncio.Future[Admitted | NotAdmitted]"
    ) -> None:
        self._waiters.pop(ticket, None)
        now_ms = self._clock.now_ms()
        if waiter.done() and isinstance(waiter.result(), Admitted):
            self._handle(Release(now_ms, ticket, 0.0))
        else:
            self._handle(Withdraw(now_ms, ticket))

    def release(self, admitted: Admitted) -> None:
        """Give back the room of a query that ended."""
        now_ms = self._clock.now_ms()
        self._handle(Release(now_ms, admitted.ticket, now_ms - admitted.admitted_ms))

    def set_limit(self, limit_cost: float) -> None:
        """Change how many shard calls may run at once."""
        self._handle(LimitChanged(self._clock.now_ms(), limit_cost))

    def _handle(self, event: AdmissionEvent) -> None:
        for action in self._queue.handle(event):
            self._perform(action)

    @singledispatchmethod
    def _perform(self, action: AdmissionAction) -> None:
        raise TypeError(f"not an action: {type(action).__name__}")

    @_perform.register
    def _(self, action: Admit) -> None:
        self._resolve(
            action.ticket,
            Admitted(action.ticket, self._clock.now_ms(), action.account),
        )

    @_perform.register
    def _(self, action: Refuse) -> None:
        self._resolve(action.ticket, NotAdmitted(action.failure, action.account))

    def _resolve(self, ticket: str, result: Admitted | NotAdmitted) -> None:
        waiter = self._waiters.pop(ticket, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(result)


def account_of_unqueued() -> AdmissionAccount:
    """Return the account of a request that was refused before any queue."""
    return AdmissionAccount(AdmissionRule.NOT_ADMITTED, 0.0, 0)
