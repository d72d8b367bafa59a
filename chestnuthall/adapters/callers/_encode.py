"""JSON encoding of answers, refusals and accounts."""

import json
from dataclasses import asdict
from enum import Enum
from functools import singledispatch
from math import ceil

from chestnuthall.adapters.http import HttpResponse
from chestnuthall.core.model import Account, Answer, Coverage, Refusal
from chestnuthall.core.results import Failure

_JSON = {b"content-type": b"application/json"}


def _encode_enum(value: object) -> object:
    if isinstance(value, Enum):
        return value.value
    raise TypeError(f"cannot encode {type(value).__name__}")


def encode_json(value: object) -> bytes:
    """Return compact JSON; enumeration members are encoded as their values."""
    return json.dumps(value, default=_encode_enum, separators=(",", ":")).encode()


def encode_account(account: Account) -> dict[str, object]:
    """Return the JSON object of an account."""
    return asdict(account)


def _encode_coverage(coverage: Coverage) -> dict[str, object]:
    return {**asdict(coverage), "ratio": coverage.ratio}


@singledispatch
def encode_outcome(outcome: object) -> HttpResponse:
    """Return the HTTP response for an outcome; dispatches on its type."""
    raise TypeError(f"not an outcome: {type(outcome).__name__}")


@encode_outcome.register
def _(outcome: Answer) -> HttpResponse:
    body = {
        "request_id": outcome.request_id,
        "result_code": int(outcome.result_code),
        "result": outcome.result_code.name,
        "hits": [asdict(hit) for hit in outcome.hits],
        "coverage": _encode_coverage(outcome.coverage),
        "snapshot_id": outcome.snapshot_id,
        "configuration_revision": outcome.configuration_revision,
        "account": encode_account(outcome.account),
    }
    return HttpResponse(200, dict(_JSON), encode_json(body))


@encode_outcome.register
def _(outcome: Refusal) -> HttpResponse:
    kind = outcome.failure.kind
    headers = dict(_JSON)
    advice = outcome.advice
    if advice is not None:
        headers[b"retry-after"] = b"%d" % ceil(advice.retry_after_ms / 1000.0)
    body = {
        "request_id": outcome.request_id,
        "result_code": int(kind.code),
        "result": kind.name,
        "reason": outcome.failure.reason,
        "run": outcome.run_state,
        "repeat": outcome.repeat,
        "return": None if advice is None else asdict(advice),
        "configuration_revision": outcome.configuration_revision,
        "account": encode_account(outcome.account),
    }
    return HttpResponse(kind.http_status, headers, encode_json(body))


@encode_outcome.register
def _(outcome: Failure) -> HttpResponse:
    kind = outcome.kind
    body = {
        "result_code": int(kind.code),
        "result": kind.name,
        "reason": outcome.reason,
        "run": kind.run,
        "repeat": kind.repeat,
    }
    return HttpResponse(kind.http_status, dict(_JSON), encode_json(body))
