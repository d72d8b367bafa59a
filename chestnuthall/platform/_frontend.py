"""HTTP front end of an instance for callers and the balancer of the platform."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from functools import singledispatch

from chestnuthall.adapters.http import HttpRequest, HttpResponse
from chestnuthall.core.model import Answer, Refusal, Reply
from chestnuthall.core.overload import MemoryFull, Starting, recovery_ms
from chestnuthall.core.results import (
    NOT_FOUND,
    NOT_READY,
    QUEUE_FULL,
    Failure,
    RunState,
)
from chestnuthall.platform._relayed_calls import (
    DEADLINE_MS,
    REQUEST_ID,
    SHARD_SIGNATURES,
    SIGNATURE,
    end_to_end_headers,
    read_number,
    relayed_headers,
)
from chestnuthall.ports import Clock, RequestTracker
from chestnuthall.services import RelayCall, RelayService

N_MISSING_SHARDS = b"x-missing-parts"
RESULT_CODE = b"x-result-code"
READY_PATH = "/v1/ready"
# Statuses that guarantee that the request has not run; others guarantee nothing.
NOT_RUN_STATUS = 503
TOO_MANY_REQUESTS_STATUS = 429
GATEWAY_ERROR_STATUSES = (502, 504)
# Status of a request that was still running at the end of a stop, and may have run.
ENDED_STATUS = 504


class RelayFrontend:
    """Converts callers' requests to relay calls and outcomes to responses."""

    def __init__(
        self, relay: RelayService, lifecycle: RequestTracker, clock: Clock
    ) -> None:
        self._relay = relay
        self._lifecycle = lifecycle
        self._clock = clock

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve one request of a caller."""
        return await self._serve(self._read_call(request))

    async def handle_shard_set(
        self,
        request: HttpRequest,
        shard_ids: frozenset[str],
        n_missing_max: int,
        waited_ms: float,
    ) -> HttpResponse:
        """Serve some shards of a search that reached a peer ``waited_ms`` ago."""
        call = self._read_call(request)
        if call is not None:
            left_ms = call.deadline_in_ms
            call = replace(
                call,
                arrived_ms=call.arrived_ms - waited_ms,
                deadline_in_ms=None if left_ms is None else left_ms + waited_ms,
                shard_ids=shard_ids,
                n_missing_max=n_missing_max,
            )
        return await self._serve(call)

    async def _serve(self, call: RelayCall | None) -> HttpResponse:
        if call is None:
            return encode_http_error(400, "the request has no id")
        self._lifecycle.begin_request()
        try:
            return encode(await self._relay.serve(call))
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if not self._lifecycle.is_ending or task is None:
                raise
            task.uncancel()
            return encode_http_error(ENDED_STATUS, "the instance ends")
        finally:
            self._lifecycle.end_request()

    def _read_call(self, request: HttpRequest) -> RelayCall | None:
        headers = request.headers
        request_id = headers.get(REQUEST_ID)
        if not request_id:
            return None
        host = headers.get(b"host", b"").decode("latin-1")
        return RelayCall(
            request_id=request_id.decode("latin-1"),
            host=host.partition(":")[0].lower(),
            path=request.path,
            method=request.method,
            target=request.target,
            headers=relayed_headers(request.all_headers),
            body=request.body,
            arrived_ms=self._clock.now_ms(),
            deadline_in_ms=read_number(headers.get(DEADLINE_MS)),
        )


class ReadinessFrontend:
    """Serves the balancer's readiness checks."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve one check."""
        if request.path != READY_PATH:
            return HttpResponse(404)
        return HttpResponse(200 if self._is_ready() else 503)


@singledispatch
def encode(outcome: object) -> HttpResponse:
    """Return the response to the caller for one type of outcome."""
    raise TypeError(f"not an outcome: {type(outcome).__name__}")


@encode.register
def _(outcome: Answer) -> HttpResponse:
    reply = outcome.reply
    assert reply is not None
    if len(outcome.replica_replies) == 1 and outcome.replica_replies[0] is reply:
        return _relay_reply(reply)
    signatures = [
        _shard_signatures(shard_reply) for shard_reply in outcome.replica_replies
    ]
    n_missing = outcome.coverage.n_shards_total - outcome.coverage.n_shards_covered
    headers = {
        b"content-type": b"application/octet-stream",
        REQUEST_ID: outcome.request_id.encode("latin-1"),
        SHARD_SIGNATURES: b", ".join(signatures),
        N_MISSING_SHARDS: b"%d" % n_missing,
    }
    return HttpResponse(reply.status, headers, reply.body)


@encode.register
def _(outcome: Refusal) -> HttpResponse:
    if outcome.reply is not None:
        return _relay_reply(outcome.reply)
    status = outcome.failure.kind.http_status
    if outcome.run_state is RunState.NO:
        status = (
            TOO_MANY_REQUESTS_STATUS
            if status == TOO_MANY_REQUESTS_STATUS
            else NOT_RUN_STATUS
        )
    elif status not in GATEWAY_ERROR_STATUSES:
        status = GATEWAY_ERROR_STATUSES[0]
    retry_after_ms = None if outcome.advice is None else outcome.advice.retry_after_ms
    return _failure_response(outcome.failure, status, retry_after_ms)


@encode.register
def _(outcome: Failure) -> HttpResponse:
    if outcome.kind is NOT_FOUND:
        return _failure_response(outcome, 404, None)
    if outcome.kind is QUEUE_FULL:
        retry_after_ms = recovery_ms(MemoryFull())
        return _failure_response(outcome, TOO_MANY_REQUESTS_STATUS, retry_after_ms)
    retry_after_ms = recovery_ms(Starting()) if outcome.kind is NOT_READY else None
    return _failure_response(outcome, NOT_RUN_STATUS, retry_after_ms)


def _shard_signatures(reply: Reply) -> bytes:
    """Return the signature of a replica, or those of a peer's merged shards."""
    headers = dict(reply.headers)
    return headers.get(SHARD_SIGNATURES) or headers[SIGNATURE]


def _relay_reply(reply: Reply) -> HttpResponse:
    pairs = end_to_end_headers(reply.headers)
    return HttpResponse(reply.status, dict(pairs), reply.body, pairs)


def _failure_response(
    failure: Failure, status: int, retry_after_ms: float | None
) -> HttpResponse:
    headers = {
        b"content-type": b"text/plain; charset=utf-8",
        RESULT_CODE: b"%d" % failure.code,
    }
    if retry_after_ms is not None:
        headers[b"retry-after"] = b"%.3f" % (retry_after_ms / 1000.0)
    return HttpResponse(status, headers, f"{failure.reason}\n".encode())


def encode_http_error(status: int, reason: str) -> HttpResponse:
    """Return the response to a request that is invalid or cannot be served."""
    headers = {b"content-type": b"text/plain; charset=utf-8"}
    if status == NOT_RUN_STATUS:
        headers[b"retry-after"] = b"%.3f" % (recovery_ms(MemoryFull()) / 1000.0)
    return HttpResponse(status, headers, f"{reason}\n".encode())
