"""Requests of callers, one type per kind."""

from dataclasses import dataclass
from functools import singledispatch


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """Fields that requests of every kind have.

    ``arrived_ms`` and ``deadline_ms`` are readings of the instance's monotonic
    clock. ``fingerprint`` is a hash of the request without its id, so that a
    request that is sent again has the same one.
    """

    request_id: str
    class_name: str
    group: str
    arrived_ms: float
    deadline_ms: float
    fingerprint: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SearchRequest(Request):
    """A search over all shards of a group; returns the best ``n_hits_max`` hits."""

    query: str
    n_hits_max: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LookupRequest(Request):
    """A lookup of a single record by its key."""

    key: str


@dataclass(frozen=True, slots=True, kw_only=True)
class MutationRequest(Request):
    """A request that must run at most once, such as a reservation or renewal.

    ``issued_at_ms`` is the caller's wall-clock time, in milliseconds since the
    epoch, at which it generated ``idempotency_key``.
    """

    key: str
    payload: str
    idempotency_key: str
    issued_at_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayedRequest(Request):
    """A request whose content is forwarded to replicas unchanged.

    ``headers`` are the end-to-end headers in the order in which the caller sent
    them. ``n_replicas_max`` is the maximum number of replicas of one shard to
    which the request may be sent.
    """

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    n_replicas_max: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardRequest(RelayedRequest):
    """A relayed request that a single replica of a service answers."""

    is_repeatable: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ScatterRequest(RelayedRequest):
    """A relayed request to every shard, whose largest records are merged.

    A replica's answer is a sequence of records of ``n_record_bytes`` each. In a
    two-level fan-out, a peer requests only the shards in ``shard_ids``, of which
    ``n_missing_max`` may be missing; if it is empty, all shards are searched.
    """

    n_records_max: int
    n_record_bytes: int
    shard_ids: frozenset[str] = frozenset()
    n_missing_max: int = 0


@singledispatch
def request_kind(request: Request) -> str:
    """Return the name of the request's kind, such as search or lookup."""
    raise TypeError(f"unsupported request type: {type(request).__name__}")


@request_kind.register
def _(request: SearchRequest) -> str:
    return "search"


@request_kind.register
def _(request: LookupRequest) -> str:
    return "lookup"


@request_kind.register
def _(request: MutationRequest) -> str:
    return "mutation"


@request_kind.register
def _(request: ForwardRequest) -> str:
    return "forward"


@request_kind.register
def _(request: ScatterRequest) -> str:
    return "scatter"


@singledispatch
def is_idempotent(request: Request) -> bool:
    """Return whether the request may run more than once."""
    return True


@is_idempotent.register
def _(request: MutationRequest) -> bool:
    return False


@is_idempotent.register
def _(request: ForwardRequest) -> bool:
    return request.is_repeatable
