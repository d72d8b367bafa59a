"""Shard calls, shard answers, coverage and answers to callers."""

from dataclasses import dataclass, field

from chestnuthall.core.model._accounts import Account
from chestnuthall.core.model._partition_map import KeyRange, Replica
from chestnuthall.core.model._requests import Request
from chestnuthall.core.results import Failure, ResultCode, RetryAdvice, RunState


@dataclass(frozen=True, slots=True)
class Hit:
    """One ranked record, ordered by descending score, then by ascending key."""

    key: str
    score: float
    record: str


@dataclass(frozen=True, slots=True)
class ShardSet:
    """Shards that a peer searches in one call.

    ``n_missing_max`` is the number of these shards that may be missing from an
    answer sent in time; it follows from the coverage floor of the whole request.
    """

    shard_ids: tuple[str, ...]
    n_missing_max: int


@dataclass(slots=True)
class CallTrace:
    """What the port that runs a call has done with it so far."""

    is_written: bool = False


@dataclass(frozen=True, slots=True)
class ShardCall:
    """One call to one replica, or to a peer for a set of shards.

    ``deadline_ms`` is a reading of the instance's monotonic clock. ``is_probe`` marks
    a call whose outcome tells whether its request crashes replicas. It is sent only to
    a replica that has just accepted a connection or answered another call.
    """

    call_id: str
    replica: Replica
    shard_id: str
    snapshot_id: int
    deadline_ms: float
    request: Request
    shard_set: ShardSet | None = None
    is_probe: bool = False
    trace: CallTrace = field(default_factory=CallTrace, compare=False)


@dataclass(frozen=True, slots=True)
class Reply:
    """HTTP response of a replica to a relayed request, forwarded unchanged."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class ShardAnswer:
    """A complete answer of a replica, which echoes the identifiers of its call.

    ``n_documents_searched`` is the number of documents that the replica
    searched, which is below the shard's size if the replica stopped early.
    ``held_snapshots`` are the snapshots that the replica can serve now.
    ``reply`` is the response to a relayed request, and ``is_error`` says that
    this response reports a failure of the replica.
    """

    call_id: str
    shard_id: str
    snapshot_id: int
    hits: tuple[Hit, ...]
    n_documents_searched: int
    held_snapshots: tuple[int, ...] = ()
    is_draining: bool = False
    reply: Reply | None = None
    is_error: bool = False


@dataclass(frozen=True, slots=True)
class LeaveNotice:
    """Statement in a response that a replica leaves and must get no new calls.

    ``incarnation`` is None if it is not known which start of the replica said so.
    """

    replica_name: str
    incarnation: int | None = None


@dataclass(frozen=True, slots=True)
class Coverage:
    """Documents and shards of the pinned snapshot that an answer includes.

    Examples
    --------
    >>> Coverage(900, 1000, 9, 10, (KeyRange("s", "t"),)).ratio
    0.9
    """

    n_documents_covered: int
    n_documents_total: int
    n_shards_covered: int
    n_shards_total: int
    missing_ranges: tuple[KeyRange, ...] = ()

    @property
    def ratio(self) -> float:
        """Fraction of the documents that are covered; 1.0 for an empty index."""
        if self.n_documents_total == 0:
            return 1.0 if self.n_shards_covered == self.n_shards_total else 0.0
        return self.n_documents_covered / self.n_documents_total

    @property
    def is_full(self) -> bool:
        """Whether every document of every shard is included."""
        return (
            self.n_shards_covered == self.n_shards_total
            and self.n_documents_covered == self.n_documents_total
        )


@dataclass(frozen=True, slots=True)
class Answer:
    """A successful answer to a caller.

    For a relayed request, ``reply`` is the response to the caller, and
    ``replica_replies`` are the replies of the replicas from which it was merged.
    """

    request_id: str
    result_code: ResultCode
    hits: tuple[Hit, ...]
    coverage: Coverage
    snapshot_id: int
    configuration_revision: int
    account: Account
    reply: Reply | None = None
    replica_replies: tuple[Reply, ...] = ()


@dataclass(frozen=True, slots=True)
class ReturnAdvice:
    """When a rejected caller should return.

    Without ``is_booked`` the caller's time is over by then, so that a return is not
    expected to be served.
    """

    retry_after_ms: float
    drain_ms: float
    is_booked: bool


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that ends without an answer.

    ``run_state`` and ``repeat`` apply to this request and may be more specific than
    those of the failure's kind. ``reply`` is the replica's own error response,
    which is forwarded to the caller of a relayed request. ``advice`` states when the
    caller of a request that was not run should return.
    """

    request_id: str
    failure: Failure
    run_state: RunState
    repeat: RetryAdvice
    configuration_revision: int
    account: Account
    advice: ReturnAdvice | None = None
    reply: Reply | None = None
