"""Sentinels of all kinds of failure.

Each one has a row in docs/result-codes.md, which repeats its summary word for word.
"""

from typing import Final

from chestnuthall.core.results._codes import ResultCode, RetryAdvice, RunState
from chestnuthall.core.results._failures import FailureKind
from chestnuthall.core.results._failures import define_failure_kind as _define

_NO = RunState.NO
_UNKNOWN = RunState.UNKNOWN
_YES = RunState.YES
_SAFE = RetryAdvice.SAFE
_NEVER = RetryAdvice.NEVER
_ASK = RetryAdvice.ASK
_NEW_KEY = RetryAdvice.NEW_KEY
_CODE = ResultCode

BAD_HTTP: Final[FailureKind] = _define(
    _CODE.BAD_HTTP, 400, _NO, _NEVER, "The message is not valid HTTP/1.1."
)
INVALID_REQUEST: Final[FailureKind] = _define(
    _CODE.INVALID_REQUEST, 400, _NO, _NEVER, "The body breaks a rule of the interface."
)
BODY_TOO_LARGE: Final[FailureKind] = _define(
    _CODE.BODY_TOO_LARGE, 413, _NO, _NEVER, "The body exceeds the configured size."
)
NOT_FOUND: Final[FailureKind] = _define(
    _CODE.NOT_FOUND, 404, _NO, _NEVER, "There is no such path."
)
UNKNOWN_CLASS: Final[FailureKind] = _define(
    _CODE.UNKNOWN_CLASS, 403, _NO, _NEVER, "The document has no such class of callers."
)
UNKNOWN_GROUP: Final[FailureKind] = _define(
    _CODE.UNKNOWN_GROUP, 404, _NO, _NEVER, "The document has no such upstream group."
)
CONFIGURATION_REJECTED: Final[FailureKind] = _define(
    _CODE.CONFIGURATION_REJECTED, 422, _NO, _NEVER, "The document breaks a rule."
)
NOT_READY: Final[FailureKind] = _define(
    _CODE.NOT_READY, 503, _NO, _SAFE, "The instance knows no configuration or map yet."
)
QUEUE_FULL: Final[FailureKind] = _define(
    _CODE.QUEUE_FULL, 429, _NO, _SAFE, "The queue of the class is full."
)
DEADLINE_UNREACHABLE: Final[FailureKind] = _define(
    _CODE.DEADLINE_UNREACHABLE,
    503,
    _NO,
    _SAFE,
    "The queue ahead is longer than the deadline allows.",
)
DEADLINE_PASSED: Final[FailureKind] = _define(
    _CODE.DEADLINE_PASSED, 504, _NO, _SAFE, "The deadline passed before the first call."
)
SHUTTING_DOWN: Final[FailureKind] = _define(
    _CODE.SHUTTING_DOWN, 503, _NO, _SAFE, "The instance is leaving."
)
QUARANTINED: Final[FailureKind] = _define(
    _CODE.QUARANTINED,
    422,
    _NO,
    _NEVER,
    "Earlier runs of the request crashed upstreams.",
)
RATE_LIMITED: Final[FailureKind] = _define(
    _CODE.RATE_LIMITED, 429, _NO, _SAFE, "A rate limit was reached."
)
NO_REPLICA: Final[FailureKind] = _define(
    _CODE.NO_REPLICA, 503, _NO, _SAFE, "No replica of a shard can be called."
)
CONNECTION_REFUSED: Final[FailureKind] = _define(
    _CODE.CONNECTION_REFUSED, 503, _NO, _SAFE, "Nothing listens on the address."
)
CONNECTION_LOST: Final[FailureKind] = _define(
    _CODE.CONNECTION_LOST,
    502,
    _UNKNOWN,
    _SAFE,
    "The connection ended before the whole answer arrived.",
)
ANSWER_CUT: Final[FailureKind] = _define(
    _CODE.ANSWER_CUT,
    502,
    _UNKNOWN,
    _SAFE,
    "The connection ended before the whole answer, while others stayed open.",
)
CALL_TIMED_OUT: Final[FailureKind] = _define(
    _CODE.CALL_TIMED_OUT, 504, _UNKNOWN, _SAFE, "The upstream did not answer in time."
)
CALL_MISMATCH: Final[FailureKind] = _define(
    _CODE.CALL_MISMATCH, 502, _UNKNOWN, _SAFE, "The answer belongs to another call."
)
SNAPSHOT_GONE: Final[FailureKind] = _define(
    _CODE.SNAPSHOT_GONE,
    503,
    _NO,
    _SAFE,
    "The upstream does not hold the pinned snapshot.",
)
SHED_BY_UPSTREAM: Final[FailureKind] = _define(
    _CODE.SHED_BY_UPSTREAM, 503, _NO, _SAFE, "The upstream refused before starting."
)
REPLICA_REPLACED: Final[FailureKind] = _define(
    _CODE.REPLICA_REPLACED,
    503,
    _NO,
    _SAFE,
    "Another process has the replica's address and refused the call.",
)
UPSTREAM_ERROR: Final[FailureKind] = _define(
    _CODE.UPSTREAM_ERROR, 502, _UNKNOWN, _SAFE, "The upstream answered with an error."
)
COVERAGE_BELOW_FLOOR: Final[FailureKind] = _define(
    _CODE.COVERAGE_BELOW_FLOOR,
    504,
    _YES,
    _SAFE,
    "The merged coverage is below the floor of the class.",
)
OUTCOME_UNKNOWN: Final[FailureKind] = _define(
    _CODE.OUTCOME_UNKNOWN,
    502,
    _UNKNOWN,
    _ASK,
    "A mutation was dispatched and its answer did not arrive.",
)
CALL_CANCELLED: Final[FailureKind] = _define(
    _CODE.CALL_CANCELLED, 499, _UNKNOWN, _SAFE, "The call was cancelled."
)
STORE_UNAVAILABLE: Final[FailureKind] = _define(
    _CODE.STORE_UNAVAILABLE, 503, _NO, _SAFE, "The object store cannot be reached."
)
STORE_WRITE_UNKNOWN: Final[FailureKind] = _define(
    _CODE.STORE_WRITE_UNKNOWN, 503, _NO, _SAFE, "The answer to a store write was lost."
)
OBJECT_CONFLICT: Final[FailureKind] = _define(
    _CODE.OBJECT_CONFLICT, 409, _NO, _ASK, "Another writer changed the object first."
)
OBJECT_NOT_FOUND: Final[FailureKind] = _define(
    _CODE.OBJECT_NOT_FOUND, 404, _NO, _ASK, "The object does not exist."
)
KEY_ALREADY_CLAIMED: Final[FailureKind] = _define(
    _CODE.KEY_ALREADY_CLAIMED,
    409,
    _UNKNOWN,
    _ASK,
    "Another request holds the idempotency key.",
)
KEY_EXPIRED: Final[FailureKind] = _define(
    _CODE.KEY_EXPIRED,
    410,
    _UNKNOWN,
    _ASK,
    "The key is older than the ledger remembers; this request was not dispatched.",
)
LEDGER_FULL: Final[FailureKind] = _define(
    _CODE.LEDGER_FULL, 503, _NO, _SAFE, "The ledger partition has no room for the key."
)
CLAIM_UNSETTLED: Final[FailureKind] = _define(
    _CODE.CLAIM_UNSETTLED,
    503,
    _NO,
    _NEW_KEY,
    "The claim was not settled before the deadline, so nothing was dispatched.",
)
HISTORY_TRIMMED: Final[FailureKind] = _define(
    _CODE.HISTORY_TRIMMED,
    410,
    _NO,
    _SAFE,
    "The store no longer keeps the changes after the version asked for.",
)
INTERNAL_ERROR: Final[FailureKind] = _define(
    _CODE.INTERNAL_ERROR, 500, _UNKNOWN, _ASK, "The instance has a defect."
)
