"""Result codes, numbered in blocks of one thousand by cause."""

from enum import Enum, IntEnum


class ResultCode(IntEnum):
    """Number that identifies a result in answers, logs and metrics.

    1xxx is success, 2xxx an error in the request, 3xxx a refusal due to load or
    policy, 4xxx an error of an upstream, 5xxx an error of the object store or of
    a claim, and 9xxx an internal error. Numbers are never reused.
    """

    OK = 1000
    OK_PARTIAL = 1001

    BAD_HTTP = 2000
    INVALID_REQUEST = 2001
    BODY_TOO_LARGE = 2002
    NOT_FOUND = 2003
    UNKNOWN_CLASS = 2004
    UNKNOWN_GROUP = 2005
    CONFIGURATION_REJECTED = 2006

    NOT_READY = 3000
    QUEUE_FULL = 3001
    DEADLINE_UNREACHABLE = 3002
    DEADLINE_PASSED = 3003
    SHUTTING_DOWN = 3004
    QUARANTINED = 3005
    RATE_LIMITED = 3006

    NO_REPLICA = 4000
    CONNECTION_LOST = 4001
    CALL_TIMED_OUT = 4002
    CALL_MISMATCH = 4003
    SNAPSHOT_GONE = 4004
    SHED_BY_UPSTREAM = 4005
    UPSTREAM_ERROR = 4006
    COVERAGE_BELOW_FLOOR = 4007
    OUTCOME_UNKNOWN = 4008
    CALL_CANCELLED = 4009
    CONNECTION_REFUSED = 4010
    ANSWER_CUT = 4011
    REPLICA_REPLACED = 4012

    STORE_UNAVAILABLE = 5000
    STORE_WRITE_UNKNOWN = 5001
    OBJECT_CONFLICT = 5002
    OBJECT_NOT_FOUND = 5003
    KEY_ALREADY_CLAIMED = 5004
    KEY_EXPIRED = 5005
    LEDGER_FULL = 5006
    CLAIM_UNSETTLED = 5007
    HISTORY_TRIMMED = 5008

    INTERNAL_ERROR = 9000


class RunState(Enum):
    """Whether any upstream ran the request, as far as the result proves it."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class RetryAdvice(Enum):
    """Whether a caller may repeat a request after a result.

    ``SAFE`` permits a repeat of the same request; ``NEW_KEY`` permits it with a
    new idempotency key; ``ASK`` means that the caller has to look up the outcome
    first; ``NEVER`` means that a repeat cannot succeed.
    """

    SAFE = "safe"
    NEW_KEY = "new_key"
    ASK = "ask"
    NEVER = "never"
