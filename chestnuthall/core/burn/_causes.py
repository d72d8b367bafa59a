"""Whether a request used up error budget, and why."""

from enum import Enum
from typing import Final

from chestnuthall.core.model import Account, Objective
from chestnuthall.core.results import ResultCode


class Cause(Enum):
    """Why a request was not good."""

    QUEUE = "queue"
    STRAGGLER = "straggler"
    SHED = "shed"
    COVERAGE = "coverage"
    STORE = "store"
    OTHER = "other"


SUCCESSES: Final = (ResultCode.OK, ResultCode.OK_PARTIAL)

_CAUSES: Final = {
    ResultCode.QUEUE_FULL: Cause.SHED,
    ResultCode.DEADLINE_UNREACHABLE: Cause.SHED,
    ResultCode.RATE_LIMITED: Cause.SHED,
    ResultCode.NOT_READY: Cause.SHED,
    ResultCode.SHUTTING_DOWN: Cause.SHED,
    ResultCode.SHED_BY_UPSTREAM: Cause.SHED,
    ResultCode.DEADLINE_PASSED: Cause.QUEUE,
    ResultCode.CALL_TIMED_OUT: Cause.STRAGGLER,
    ResultCode.COVERAGE_BELOW_FLOOR: Cause.COVERAGE,
    ResultCode.NO_REPLICA: Cause.COVERAGE,
    ResultCode.SNAPSHOT_GONE: Cause.COVERAGE,
    ResultCode.STORE_UNAVAILABLE: Cause.STORE,
    ResultCode.STORE_WRITE_UNKNOWN: Cause.STORE,
    ResultCode.LEDGER_FULL: Cause.STORE,
    ResultCode.CLAIM_UNSETTLED: Cause.STORE,
}

# Refusals that are the fault of the request itself, not of the service.
_FAULTS_OF_REQUEST: Final = frozenset(
    {
        ResultCode.QUARANTINED,
        ResultCode.KEY_ALREADY_CLAIMED,
        ResultCode.KEY_EXPIRED,
    }
)


def counts_for_burn(code: int) -> bool:
    """Return whether a result says anything about the quality of service."""
    return not 2000 <= code < 3000 and code not in _FAULTS_OF_REQUEST


def cause_of(account: Account, objective: Objective) -> Cause | None:
    """Return why a request was not good; None for a good one.

    A late answer counts against the queue if it spent at least half of its
    time there, and against stragglers otherwise.
    """
    if account.result_code in SUCCESSES:
        total_ms = account.finished_wall_ms - account.arrived_wall_ms
        if total_ms <= objective.latency_ms:
            return None
        is_queue = account.admission.queued_ms * 2.0 >= total_ms
        return Cause.QUEUE if is_queue else Cause.STRAGGLER
    return _CAUSES.get(ResultCode(account.result_code), Cause.OTHER)
