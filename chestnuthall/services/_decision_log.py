"""The log of the decisions on each request, within a bound on its volume."""

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from chestnuthall.core.model import (
    Account,
    Answer,
    Decision,
    Refusal,
    Request,
)
from chestnuthall.core.results import ResultCode
from chestnuthall.ports import Clock, Metrics

# Logger whose volume is bounded here.
DECISION_LOGGER_NAME = "chestnuthall.decisions"
_log = logging.getLogger(DECISION_LOGGER_NAME)

# Lines that may be written at once, and per second after that. A line costs about
# 35 us, so that the log stays below a twentieth of what the requests cost.
N_LINES_BURST = 600.0
N_LINES_PER_S = 60.0
# Part of the burst that ordinary requests leave to those that were refused, late,
# partial or repeated: for their single line, and for the lines of their decisions.
KEPT_FROM_SUMMARIES = 0.25
KEPT_FROM_DETAILS = 0.6


@dataclass(slots=True)
class LineBudget:
    """Lines that may be written now; refilled as time passes.

    Examples
    --------
    >>> budget = LineBudget(n_burst=10.0, n_per_s=1.0, now_ms=0.0)
    >>> budget.take(6, 0.5, 0.0), budget.take(6, 0.0, 0.0), budget.n_suppressed
    (False, True, 6)
    >>> budget.take(5, 0.0, 1_000.0)
    True
    """

    n_burst: float
    n_per_s: float
    now_ms: float
    n_left: float = 0.0
    n_suppressed: int = 0

    def __post_init__(self) -> None:
        self.n_left = self.n_burst

    def take(self, n_lines: int, kept_ratio: float, now_ms: float) -> bool:
        """Take so many lines if more than the kept part is left after them."""
        gained = (now_ms - self.now_ms) / 1000.0 * self.n_per_s
        self.n_left = min(self.n_burst, self.n_left + gained)
        self.now_ms = now_ms
        if self.n_left - n_lines < kept_ratio * self.n_burst:
            self.n_suppressed += n_lines
            return False
        self.n_left -= n_lines
        return True


Defer = Callable[[Callable[[], None]], object]


def _call_now(function: Callable[[], None]) -> None:
    function()


class DecisionLog:
    """Writes what was decided on a request once it has ended.

    A request that was refused, late, partial or repeated has a line for each
    decision; an ordinary one has them while there is room, and one line for its
    end otherwise. What finds no room is counted.

    ``defer`` calls a function later. The lines of a search over 36 shards take 4 ms,
    which its response does not wait for.
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
        if not _log.isEnabledFor(logging.INFO):
            return
        self._defer(partial(self._write, outcome, decisions, self._clock.now_ms()))

    def _write(
        self, outcome: Answer | Refusal, decisions: Sequence[Decision], now_ms: float
    ) -> None:
        is_ordinary = _is_ordinary(outcome)
        n_lines = len(decisions) + 1
        if self.budget.take(n_lines, KEPT_FROM_DETAILS if is_ordinary else 0.0, now_ms):
            self._write_all(outcome.account, decisions, now_ms)
        elif not self.budget.take(
            1, KEPT_FROM_SUMMARIES if is_ordinary else 0.0, now_ms
        ):
            return
        self._write_end(outcome)

    def request_abandoned(self, request: Request) -> None:
        """Log a request whose caller left before its outcome."""
        now_ms = self._clock.now_ms()
        if not self.budget.take(1, KEPT_FROM_SUMMARIES, now_ms):
            return
        fields = {
            "request_id": request.request_id,
            "class_name": request.class_name,
            "total_ms": round(now_ms - request.arrived_ms, 1),
        }
        _log.info("request abandoned by its caller", extra=fields)

    def _write_all(
        self, account: Account, decisions: Sequence[Decision], now_ms: float
    ) -> None:
        for decision in decisions:
            fields = decision.fields()
            fields["request_id"] = account.request_id
            # The line is written when the request has ended.
            fields["ago_ms"] = round(now_ms - decision.at_ms, 1)
            _log.log(logging.INFO, decision.event.text, extra=fields)

    def _write_end(self, outcome: Answer | Refusal) -> None:
        fields = outcome_fields(outcome.account)
        if isinstance(outcome, Answer):
            _log.info("request answered", extra=fields)
            return
        fields["reason"] = outcome.failure.reason
        fields["run"] = outcome.run_state.value
        fields["retry_after_ms"] = outcome.retry_after_ms
        _log.info("request refused", extra=fields)

    def report(self) -> None:
        """Log how many lines found no room since the last report."""
        n_lines, self.budget.n_suppressed = self.budget.n_suppressed, 0
        if n_lines:
            _log.info("decision lines suppressed", extra={"n_lines": n_lines})


def _is_ordinary(outcome: Answer | Refusal) -> bool:
    if isinstance(outcome, Refusal) or outcome.result_code is not ResultCode.OK:
        return False
    account = outcome.account
    return not account.is_late and not account.fan_out.n_retries


def outcome_fields(account: Account) -> dict[str, object]:
    """Return what a line on the end of a request says."""
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
    }
