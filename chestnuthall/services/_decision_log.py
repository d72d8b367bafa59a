"""Logs the decisions on each request, at a limited rate."""

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from chestnuthall.core.model import (
    Account,
    Answer,
    Decision,
    DecisionEvent,
    Refusal,
    Request,
)
from chestnuthall.core.results import ResultCode
from chestnuthall.ports import Clock, Metrics

# Name of the logger whose volume is limited here.
DECISION_LOGGER_NAME = "chestnuthall.decisions"
_log = logging.getLogger(DECISION_LOGGER_NAME)

# Token bucket of lines: its size, and its refill per second. A line takes about
# 35 us, so that the log takes less than a twentieth of the time of the requests.
N_LINES_BURST = 600.0
N_LINES_PER_S = 60.0
# Fractions of the bucket that the summary lines and the decision lines of ordinary
# requests leave to requests that were refused, late, partial or retried.
SUMMARY_RESERVE_RATIO = 0.25
DECISION_RESERVE_RATIO = 0.6


@dataclass(slots=True)
class LineBudget:
    """Token bucket of log lines.

    Lines that are not granted are counted in ``n_suppressed``.

    Examples
    --------
    >>> budget = LineBudget(n_burst=10.0, n_per_s=1.0, now_ms=0.0)
    >>> budget.try_acquire(6, 0.5, 0.0), budget.try_acquire(6, 0.0, 0.0)
    (False, True)
    >>> budget.n_suppressed
    6
    >>> budget.try_acquire(5, 0.0, 1_000.0)
    True
    """

    n_burst: float
    n_per_s: float
    now_ms: float
    n_left: float = 0.0
    n_suppressed: int = 0

    def __post_init__(self) -> None:
        self.n_left = self.n_burst

    def try_acquire(self, n_lines: int, reserved_ratio: float, now_ms: float) -> bool:
        """Acquire lines if at least the reserved fraction of the bucket remains."""
        n_refilled = (now_ms - self.now_ms) / 1000.0 * self.n_per_s
        self.n_left = min(self.n_burst, self.n_left + n_refilled)
        self.now_ms = now_ms
        if self.n_left - n_lines < reserved_ratio * self.n_burst:
            self.n_suppressed += n_lines
            return False
        self.n_left -= n_lines
        return True


Defer = Callable[[Callable[[], None]], object]


def _call_now(function: Callable[[], None]) -> None:
    function()


class DecisionLog:
    """Logs the decisions on a request after it has ended.

    Each request has a line for every decision and a summary line, as far as the
    budget allows; otherwise only the summary, or none. Requests that were refused,
    late, partial or retried have precedence over ordinary ones. Suppressed lines
    are counted.

    ``defer`` calls a function later, so that the response does not wait for the
    log: the lines of a search over 36 shards take 4 ms.
    """

    def __init__(
        self, clock: Clock, metrics: Metrics, defer: Defer = _call_now
    ) -> None:
        self._defer = defer
        self._clock = clock
        self._metrics = metrics
        self.budget = LineBudget(N_LINES_BURST, N_LINES_PER_S, 0.0)

    def request_ended(
        self, outcome: Answer | Refusal, decisions: Sequence[Decision]
    ) -> None:
        """Log and count the decisions on one request."""
        for decision in decisions:
            self._metrics.count(f"decisions.{decision.event.name.lower()}")
            if decision.event is DecisionEvent.CALL_FAILED:
                result = decision.fields()["result"]
                self._metrics.count(f"call_failures.{str(result).lower()}")
        if not _log.isEnabledFor(logging.INFO):
            return
        self._defer(partial(self._write, outcome, decisions, self._clock.now_ms()))

    def _write(
        self, outcome: Answer | Refusal, decisions: Sequence[Decision], now_ms: float
    ) -> None:
        is_ordinary = _is_ordinary(outcome)
        n_lines = len(decisions) + 1
        if self.budget.try_acquire(
            n_lines, DECISION_RESERVE_RATIO if is_ordinary else 0.0, now_ms
        ):
            self._write_decisions(outcome.account, decisions, now_ms)
        elif not self.budget.try_acquire(
            1, SUMMARY_RESERVE_RATIO if is_ordinary else 0.0, now_ms
        ):
            return
        self._write_summary(outcome)

    def request_abandoned(self, request: Request) -> None:
        """Log a request that its caller cancelled before the outcome."""
        now_ms = self._clock.now_ms()
        if not self.budget.try_acquire(1, SUMMARY_RESERVE_RATIO, now_ms):
            return
        fields = {
            "request_id": request.request_id,
            "class_name": request.class_name,
            "total_ms": round(now_ms - request.arrived_ms, 1),
        }
        _log.info("request abandoned by its caller", extra=fields)

    def _write_decisions(
        self, account: Account, decisions: Sequence[Decision], now_ms: float
    ) -> None:
        for decision in decisions:
            fields = decision.fields()
            fields["request_id"] = account.request_id
            # The line is logged after the end of the request, so its timestamp is not
            # that of the decision.
            fields["ago_ms"] = round(now_ms - decision.at_ms, 1)
            _log.log(logging.INFO, decision.event.text, extra=fields)

    def _write_summary(self, outcome: Answer | Refusal) -> None:
        fields = outcome_fields(outcome.account)
        if isinstance(outcome, Answer):
            _log.info("request answered", extra=fields)
            return
        fields["reason"] = outcome.failure.reason
        fields["run"] = outcome.run_state.value
        fields["rule"] = outcome.account.admission.rule.value
        fields["n_ahead"] = outcome.account.admission.n_ahead_at_arrival
        advice = outcome.advice
        if advice is not None:
            fields["retry_after_ms"] = round(advice.retry_after_ms, 1)
            fields["drain_ms"] = round(advice.drain_ms, 1)
            fields["is_return_booked"] = advice.is_booked
        _log.info("request refused", extra=fields)

    def report(self) -> None:
        """Log the number of lines suppressed since the last report."""
        n_lines, self.budget.n_suppressed = self.budget.n_suppressed, 0
        if n_lines:
            _log.info("decision lines suppressed", extra={"n_lines": n_lines})


def _is_ordinary(outcome: Answer | Refusal) -> bool:
    if isinstance(outcome, Refusal) or outcome.result_code is not ResultCode.OK:
        return False
    account = outcome.account
    return not account.is_late and not account.fan_out.n_retries


def outcome_fields(account: Account) -> dict[str, object]:
    """Return the fields of the summary line of a request."""
    fan_out = account.fan_out
    return {
        "request_id": account.request_id,
        "class_name": account.class_name,
        "kind": account.kind,
        "group": account.group,
        "result_code": account.result_code,
        "result": ResultCode(account.result_code).name,
        "queued_ms": round(account.admission.queued_ms, 1),
        "total_ms": round(account.finished_wall_ms - account.arrived_wall_ms, 1),
        "revision": account.configuration_revision,
        "is_late": account.is_late,
        "coverage_ratio": round(account.coverage_ratio, 4),
        "n_calls": fan_out.n_calls,
        "n_hedges": fan_out.n_hedges,
        "n_retries": fan_out.n_retries,
        "slowest_shard_id": fan_out.slowest_shard_id,
        "slowest_shard_ms": round(fan_out.slowest_shard_ms, 1),
        "is_return": account.admission.is_return,
    }
