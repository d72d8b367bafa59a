"""Encoding of shard calls and decoding of shard answers."""

import json
from functools import lru_cache, singledispatch
from typing import Annotated, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chestnuthall.adapters.http import HttpRequest, HttpResponse
from chestnuthall.core.model import (
    Hit,
    LeaveNotice,
    LookupRequest,
    MutationRequest,
    Replica,
    Request,
    SearchRequest,
    ShardAnswer,
    ShardCall,
    is_idempotent,
)
from chestnuthall.core.results import (
    CALL_CANCELLED,
    CALL_MISMATCH,
    CALL_TIMED_OUT,
    SHED_BY_UPSTREAM,
    SNAPSHOT_GONE,
    UPSTREAM_ERROR,
    Failure,
)

CALL_ID: Final = b"x-call-id"
DEADLINE_MS: Final = b"x-deadline-ms"
SNAPSHOT_ID: Final = b"x-snapshot-id"
SHARD_ID: Final = b"x-shard-id"
HELD_SNAPSHOTS: Final = b"x-held-snapshots"
DRAINING: Final = b"x-draining"
NOT_STARTED: Final = b"x-not-started"

# Maximum number of cached request bodies. The shard calls of a query are made at
# about the same time, so one body is needed for each concurrent query.
N_BODIES_CACHED: Final = 64


class _AnswerModel(BaseModel):
    """Body of a shard answer; a hit is a list of key, score and record."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    hits: list[tuple[str, float, str]]
    n_documents_searched: Annotated[int, Field(ge=0)]


class _HealthModel(BaseModel):
    """Body of a health report; other fields of the upstream are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    draining: bool = False


@singledispatch
def _request_path(request: Request) -> str:
    raise TypeError(f"not a request: {type(request).__name__}")


@_request_path.register
def _(request: SearchRequest) -> str:
    return "/v1/shard/search"


@_request_path.register
def _(request: LookupRequest) -> str:
    return "/v1/shard/lookup"


@_request_path.register
def _(request: MutationRequest) -> str:
    return "/v1/shard/mutate"


@singledispatch
def _encode_body(request: Request) -> bytes:
    raise TypeError(f"not a request: {type(request).__name__}")


@_encode_body.register
def _(request: SearchRequest) -> bytes:
    body = {"query": request.query, "n_hits_max": request.n_hits_max}
    return json.dumps(body, separators=(",", ":")).encode()


@_encode_body.register
def _(request: LookupRequest) -> bytes:
    return json.dumps({"key": request.key}, separators=(",", ":")).encode()


@_encode_body.register
def _(request: MutationRequest) -> bytes:
    body = {
        "key": request.key,
        "payload": request.payload,
        "idempotency_key": request.idempotency_key,
    }
    return json.dumps(body, separators=(",", ":")).encode()


@lru_cache(maxsize=N_BODIES_CACHED)
def _encode_body_cached(request: Request) -> bytes:
    """Return the body of a request, which is the same for all shards."""
    return _encode_body(request)


class SearchCodec:
    """Codec of the protocol in ``docs/upstream-interface.md``."""

    cancels_by_closing = False

    def encode_call(self, call: ShardCall, remaining_ms: float) -> HttpRequest:
        """Return the HTTP request of a shard call."""
        return encode_call(call, remaining_ms)

    def decode_answer(
        self, call: ShardCall, response: HttpResponse
    ) -> ShardAnswer | Failure:
        """Return the answer to a call, or a failure if the response is not one."""
        return decode_answer(call, response)

    def is_foreign(self, call: ShardCall, response: HttpResponse) -> bool:
        """Return whether a response echoes the id of another call."""
        echoed = response.headers.get(CALL_ID)
        return echoed is not None and echoed.decode("latin-1") != call.call_id

    def leave_notices(
        self, replica: Replica, response: HttpResponse
    ) -> tuple[LeaveNotice, ...]:
        """Return the leave of a replica, which it states with any status."""
        if response.headers.get(DRAINING) != b"1":
            return ()
        return (LeaveNotice(replica.name, replica.incarnation),)

    def encode_cancel(self, call: ShardCall) -> HttpRequest | None:
        """Return the request that cancels a call; None if it is not idempotent."""
        if not is_idempotent(call.request):
            return None
        return HttpRequest("POST", "/v1/cancel", {CALL_ID: call.call_id.encode()})


def encode_call(call: ShardCall, remaining_ms: float) -> HttpRequest:
    """Return the HTTP request of a shard call."""
    headers = {
        b"content-type": b"application/json",
        CALL_ID: call.call_id.encode(),
        SHARD_ID: call.shard_id.encode(),
        SNAPSHOT_ID: b"%d" % call.snapshot_id,
        DEADLINE_MS: b"%.1f" % remaining_ms,
    }
    return HttpRequest(
        "POST", _request_path(call.request), headers, _encode_body_cached(call.request)
    )


def decode_answer(call: ShardCall, response: HttpResponse) -> ShardAnswer | Failure:
    """Return the answer to a call, or a failure if the response is not one."""
    headers = response.headers
    if headers.get(CALL_ID, b"").decode("latin-1") != call.call_id:
        return CALL_MISMATCH.with_reason("the response echoes another call id")
    if response.status != 200:
        return _failure_from_status(response)
    try:
        model = _AnswerModel.model_validate_json(response.body)
        snapshot_id = int(headers.get(SNAPSHOT_ID, b""))
        held_snapshots = tuple(
            int(item) for item in headers.get(HELD_SNAPSHOTS, b"").split()
        )
    except (ValidationError, ValueError):
        return UPSTREAM_ERROR.with_reason("the response is not a shard answer")
    return ShardAnswer(
        call_id=call.call_id,
        shard_id=headers.get(SHARD_ID, b"").decode("latin-1"),
        snapshot_id=snapshot_id,
        hits=tuple(Hit(*item) for item in model.hits),
        n_documents_searched=model.n_documents_searched,
        held_snapshots=held_snapshots,
        is_draining=headers.get(DRAINING) == b"1",
    )


def _failure_from_status(response: HttpResponse) -> Failure:
    if response.status == 409:
        return SNAPSHOT_GONE.with_reason("the replica does not hold the snapshot")
    if response.status == 503 and response.headers.get(NOT_STARTED) == b"1":
        return SHED_BY_UPSTREAM.with_reason("the replica refused before starting")
    if response.status == 499:
        return CALL_CANCELLED.with_reason("the replica cancelled the call")
    if response.status == 504:
        return CALL_TIMED_OUT.with_reason("the deadline passed at the replica")
    return UPSTREAM_ERROR.with_reason(f"the replica answered with {response.status}")


def decode_health(response: HttpResponse) -> bool | Failure:
    """Decode a health report; return whether the replica is draining."""
    try:
        return _HealthModel.model_validate_json(response.body).draining
    except ValidationError:
        return UPSTREAM_ERROR.with_reason("the response is not a health report")
