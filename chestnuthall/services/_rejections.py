"""Rejections of requests during outages, and when rejected callers return."""

from functools import partial

from chestnuthall.core.admission import CALL_UNKNOWN_MS
from chestnuthall.core.model import (
    CallerClass,
    PartitionMap,
    Request,
    ReturnAdvice,
)
from chestnuthall.core.overload import OutageGate, recovery_ms
from chestnuthall.core.results import NO_REPLICA, Failure
from chestnuthall.core.routing import Router
from chestnuthall.ports import Clock, Metrics
from chestnuthall.services._admission import Admissions
from chestnuthall.services._query_rules import reaches_floor, rejection_cause


class Rejections:
    """Rejects requests during outages and advises rejected callers."""

    def __init__(self, clock: Clock, metrics: Metrics, admissions: Admissions) -> None:
        self._clock = clock
        self._metrics = metrics
        self._admissions = admissions
        self._outages = OutageGate()

    def failure_during_outage(
        self,
        request: Request,
        caller_class: CallerClass,
        partition_map: PartitionMap,
        router: Router,
    ) -> Failure | None:
        """Return a failure if too few shards have a replica that accepts calls."""
        now_ms = self._clock.now_ms()
        is_floor_reachable = not router.has_refusals(now_ms) or reaches_floor(
            request,
            caller_class,
            partition_map,
            partial(router.is_refusing, now_ms=now_ms),
        )
        names = request.group, request.class_name
        if self._outages.may_try(*names, is_floor_reachable, now_ms):
            return None
        outage_ms = self._outages.outage_ms(*names, now_ms)
        return NO_REPLICA.with_reason(
            f"too few shards have accepted calls for {outage_ms:.0f} ms"
        )

    def advise(
        self, request: Request, failure: Failure, booked: ReturnAdvice | None
    ) -> ReturnAdvice:
        """Return when the caller of a rejected request should come back.

        Admission has ``booked`` the return of a request that it refused. For other
        causes the return is booked here, behind those that are booked already.
        """
        advice = booked or self._book(request, failure)
        self._metrics.count(f"rejections.{failure.code.name.lower()}")
        if advice.is_booked:
            self._metrics.count("returns.booked")
        else:
            self._metrics.count("returns.not_booked")
        return advice

    def _book(self, request: Request, failure: Failure) -> ReturnAdvice:
        admission = self._admissions.find(request.group)
        call_ms = CALL_UNKNOWN_MS if admission is None else admission.call_ms
        outage_ms = self._outages.outage_ms(
            request.group, request.class_name, self._clock.now_ms()
        )
        wait_ms = recovery_ms(rejection_cause(failure.kind, call_ms, outage_ms))
        advice = None
        if admission is not None:
            advice = admission.book_return(request, wait_ms)
        return advice or ReturnAdvice(wait_ms, wait_ms, is_booked=False)
