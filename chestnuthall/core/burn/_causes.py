"""Classification of requests that use error budget, by cause."""

from enum import Enum
from typing import Final

from chestnuthall.core.model import Account, Objective
from chestnuthall.core.results import ResultCode


class BurnCause(Enum):
    """Cause of a request that did not meet the objective."""

    QUEUE = "queue"
    STRAGGLER = "straggler"
    SHED = "shed"
    COVERAGE = "coverage"
    STORE = "store"
    OTHER = "other"


SUCCESSES: Final = (ResultCode.OK, ResultCode.OK_PARTIAL)

_CAUSE_BY_RESULT: Final = {
    ResultCode.QUEUE_FULL: BurnCause.SHED,
    ResultCode.DEADLINE_UNREACHABLE: BurnCause.SHED,
    ResultCode.RATE_LIMITED: BurnCause.SHED,
    ResultCode.NOT_READY: BurnCause.SHED,
    ResultCode.SHUTTING_DOWN: BurnCause.SHED,
    ResultCode.SHED_BY_UPSTREAM: BurnCause.SHED,
    ResultCode.DEADLINE_PASSED: BurnCause.QUEUE,
    ResultCode.CALL_TIMED_OUT: BurnCause.STRAGGLER,
    ResultCode.COVERAGE_BELOW_FLOOR: BurnCause.COVERAGE,
    ResultCode.NO_REPLICA: BurnCause.COVERAGE,
    ResultCode.SNAPSHOT_GONE: BurnCause.COVERAGE,
    ResultCode.STORE_UNAVAILABLE: BurnCause.STORE,
    ResultCode.STORE_WRITE_UNKNOWN: BurnCause.STORE,
    ResultCode.LEDGER_FULL: BurnCause.STORE,
    ResultCode.CLAIM_UNSETTLED: BurnCause.STORE,
}

# Refusals that are caused by the request itself, not by the service.
_REQUEST_FAULTS: Final = frozenset(
    {
        ResultCode.QUARANTINED,
        ResultCode.KEY_ALREADY_CLAIMED,
        ResultCode.KEY_EXPIRED,
    }
)


def affects_burn(code: int) -> bool:
    """Return whether a result counts for the service-level objective.

    Results that are caused by the request itself do not.
    """
    return not 2000 <= code < 3000 and code not in _REQUEST_FAULTS


def burn_cause(account: Account, objective: Objective) -> BurnCause | None:
    """Return why a request missed the objective, or None if it met it.

    A late answer is attributed to the queue if the request spent at least half of
    its time there, and to stragglers otherwise.
    """
    if account.result_code in SUCCESSES:
        total_ms = account.finished_wall_ms - account.arrived_wall_ms
        if total_ms <= objective.latency_ms:
            return None
        is_mostly_queued = account.admission.queued_ms * 2.0 >= total_ms
        return BurnCause.QUEUE if is_mostly_queued else BurnCause.STRAGGLER
    return _CAUSE_BY_RESULT.get(ResultCode(account.result_code), BurnCause.OTHER)
