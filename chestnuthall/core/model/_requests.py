"""Requests of callers, one type per kind."""

from dataclasses import dataclass
from functools import singledispatch


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """What every request of a caller has.

    ``arrived_ms`` and ``deadline_ms`` are readings of the instance's monotonic
    clock. ``fingerprint`` identifies the content of the request, without its
    id, so that a resend has the same one.
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
    """A request that must run at most once, such as a hold or a renewal.

    ``issued_at_ms`` is the caller's wall-clock time in milliseconds since the
    epoch at which it made ``idempotency_key``.
    """

    key: str
    payload: str
    idempotency_key: str
    issued_at_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayedRequest(Request):
    """A request whose content is passed on to replicas unchanged.

    ``headers`` are the end-to-end headers in the order of the caller, and
    ``n_replicas_max`` bounds the replicas of one shard that may be sent it.
    """

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    n_replicas_max: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardRequest(RelayedRequest):
    """A relayed request that one replica of one service answers."""

    is_repeatable: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ScatterRequest(RelayedRequest):
    """A relayed request to every shard; the largest records are merged.

    A replica's answer is a sequence of records of ``n_record_bytes`` each. A peer
    that divides a search asks for ``shard_ids`` only, of which ``n_missing_max`` may
    be missing; without them, the search is for all shards.
    """

    n_records_max: int
    n_record_bytes: int
    shard_ids: frozenset[str] = frozenset()
    n_missing_max: int = 0


@singledispatch
def request_kind(request: Request) -> str:
    """Return the name of the request's kind: search, lookup or mutation."""
    raise TypeError(f"not a request: {type(request).__name__}")


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
    """Return whether the request may be run more than once."""
    return True


@is_idempotent.register
def _(request: MutationRequest) -> bool:
    return False


@is_idempotent.register
def _(request: ForwardRequest) -> bool:
    return request.is_repeatable
