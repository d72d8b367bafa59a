"""Validated models of the request bodies that callers send."""

from functools import singledispatch
from hashlib import sha256
from typing import Annotated, Any, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chestnuthall.core.model import (
    LookupRequest,
    MutationRequest,
    Request,
    SearchRequest,
)
from chestnuthall.core.results import INVALID_REQUEST, NOT_FOUND, Failure

RequestId = Annotated[str, Field(pattern=r"^[A-Za-z0-9_.:-]{1,64}$")]
Name = Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
DEADLINE_MAX_MS: Final = 600_000.0


class _RequestModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)

    request_id: RequestId
    class_name: Annotated[Name, Field(alias="class")]
    group: Name
    deadline_ms: Annotated[float, Field(gt=0.0, le=DEADLINE_MAX_MS)] | None = None


class SearchModel(_RequestModel):
    """Body of ``POST /v1/search``."""

    query: Annotated[str, Field(min_length=1, max_length=8192)]
    n_hits_max: Annotated[int, Field(ge=1, le=1000)] = 10


class LookupModel(_RequestModel):
    """Body of ``POST /v1/lookup``."""

    key: Annotated[str, Field(min_length=1, max_length=512)]


class MutationModel(_RequestModel):
    """Body of ``POST /v1/mutate``; the caller generates the idempotency key."""

    key: Annotated[str, Field(min_length=1, max_length=512)]
    payload: Annotated[str, Field(max_length=65_536)] = ""
    idempotency_key: Annotated[str, Field(min_length=8, max_length=128)]
    issued_at_ms: Annotated[float, Field(gt=0.0)]


_MODELS: Final[dict[str, type[_RequestModel]]] = {
    "/v1/search": SearchModel,
    "/v1/lookup": LookupModel,
    "/v1/mutate": MutationModel,
}


def read_request(path: str, body: bytes, now_ms: float) -> Request | Failure:
    """Validate a body and return the request; ``now_ms`` is its arrival time.

    A request without a deadline gets ``DEADLINE_MAX_MS``; the service limits it to
    the deadline of its class.
    """
    model_type = _MODELS.get(path)
    if model_type is None:
        return NOT_FOUND.with_reason(f"no such path: {path}")
    try:
        model = model_type.model_validate_json(body)
    except ValidationError as error:
        return INVALID_REQUEST.with_reason(_describe_errors(error))
    timeout_ms = DEADLINE_MAX_MS if model.deadline_ms is None else model.deadline_ms
    return _to_request(model, now_ms, now_ms + timeout_ms)


def _describe_errors(error: ValidationError) -> str:
    messages = []
    for item in error.errors():
        location = ".".join(str(element) for element in item["loc"]) or "body"
        messages.append(f"{location}: {item['msg']}")
    return "; ".join(messages)


def _fingerprint(*content: str) -> str:
    return sha256("\0".join(content).encode()).hexdigest()[:16]


@singledispatch
def _to_request(model: _RequestModel, now_ms: float, deadline_ms: float) -> Request:
    raise TypeError(f"not a request body: {type(model).__name__}")


def _common_fields(
    model: _RequestModel, now_ms: float, deadline_ms: float, *content: str
) -> dict[str, Any]:
    """Return the fields of all requests; ``content`` is hashed as the fingerprint."""
    return {
        "request_id": model.request_id,
        "class_name": model.class_name,
        "group": model.group,
        "arrived_ms": now_ms,
        "deadline_ms": deadline_ms,
        "fingerprint": _fingerprint(content[0], model.group, *content[1:]),
    }


@_to_request.register
def _(model: SearchModel, now_ms: float, deadline_ms: float) -> Request:
    common = _common_fields(model, now_ms, deadline_ms, "search", model.query)
    return SearchRequest(**common, query=model.query, n_hits_max=model.n_hits_max)


@_to_request.register
def _(model: LookupModel, now_ms: float, deadline_ms: float) -> Request:
    common = _common_fields(model, now_ms, deadline_ms, "lookup", model.key)
    return LookupRequest(**common, key=model.key)


@_to_request.register
def _(model: MutationModel, now_ms: float, deadline_ms: float) -> Request:
    content = ("mutation", model.key, model.payload)
    return MutationRequest(
        **_common_fields(model, now_ms, deadline_ms, *content),
        key=model.key,
        payload=model.payload,
        idempotency_key=model.idempotency_key,
        issued_at_ms=model.issued_at_ms,
    )
