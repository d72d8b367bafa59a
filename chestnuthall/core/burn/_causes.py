"""Whether a request used up error budget, and why."""

from enum import Enum
from typing import Final

from chestnuthall.core.model import Account, Objective
from chestnuthall.core.results import ResultCode


class BurnCause(Enum):
    """Why a request was not good."""

    QUEUE = "queue"
    STRAGGLER = "straggler"
    SHED = "shed"
    COVERAGE = "coverage"
    STORE = "store"
    OTHER = "other"


SUCCESSES: Final = (ResultCode.OK, ResultCode.OK_PARTIAL)

_CAUSES: Final = {
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

# Refusals that are the fault of the request itself, not of the service.
_FAULTS_OF_REQUEST: Final = frozenset(
    {
        ResultCode.QUARANTINED,
        ResultCode.KEY_ALREADY_CLAIMED,
        ResultCode.KEY_EXPIRED,
    }
)


def affects_burn(code: int) -> bool:
    """Return whether a result says anything about the quality of service."""
    return not 2000 <= code < 3000 and code not in _FAULTS_OF_REQUEST


def burn_cause(account: Account, objective: Objective) -> BurnCause | None:
    """Return why a request was not good; None for a good one.

    A late answer counts against the queue if it spent at least half of its
    time there, and against stragglers otherwise.
    """
    if account.result_code in SUCCESSES:
        total_ms = account.finished_wall_ms - account.arrived_wall_ms
        if total_ms <= objective.latency_ms:
            return None
        is_queue = account.admission.queued_ms * 2.0 >= total_ms
        return BurnCause.QUEUE if is_queue else BurnCause.STRAGGLER
    return _CAUSES.get(ResultCode(account.result_code), BurnCause.OTHER)
