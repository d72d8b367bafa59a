"""Calls between instances for some shards of a search.

Each call is the caller's request with additional headers.
"""

from collections.abc import Awaitable, Callable

from chestnuthall.adapters.http import HttpRequest, HttpResponse
from chestnuthall.core.model import RelayedRequest, Reply, ShardAnswer, ShardCall
from chestnuthall.core.results import (
    CALL_MISMATCH,
    QUARANTINED,
    SHED_BY_UPSTREAM,
    UPSTREAM_ERROR,
    Failure,
    ResultCode,
)
from chestnuthall.platform._frontend import (
    NOT_RUN_STATUS,
    RESULT_CODE,
    TOO_MANY_REQUESTS_STATUS,
    RelayFrontend,
    encode_http_error,
)
from chestnuthall.platform._relayed_calls import (
    DEADLINE_MS,
    N_MISSING_MAX,
    REQUEST_ID,
    REVISION,
    SHARD_IDS,
    SHARD_SIGNATURES,
    WAITED_MS,
    echoes_request_id,
    read_number,
)

# Subtracted from the peer's time, so that its answer arrives before the caller's
# deadline.
RETURN_RESERVE_MS = 4.0
# Statuses that guarantee that the peer has not run the search.
NOT_RUN_STATUSES = frozenset({NOT_RUN_STATUS, TOO_MANY_REQUESTS_STATUS})


class PeerCodec:
    """Encodes searches for a peer and decodes its answers.

    The request is that of the caller, with the shards that the peer has to search.
    """

    cancels_by_closing = True

    def __init__(self, revision: Callable[[], int]) -> None:
        self._revision = revision

    def encode_call(self, call: ShardCall, remaining_ms: float) -> HttpRequest:
        """Return the caller's request with the headers for the peer."""
        request = call.request
        assert isinstance(request, RelayedRequest)
        assert call.shard_set is not None
        waited_ms = call.deadline_ms - remaining_ms - request.arrived_ms
        left_ms = max(1.0, remaining_ms - RETURN_RESERVE_MS)
        pairs = (
            *request.headers,
            (DEADLINE_MS, b"%d" % int(left_ms)),
            (REVISION, b"%d" % self._revision()),
            (SHARD_IDS, ",".join(call.shard_set.shard_ids).encode()),
            (N_MISSING_MAX, b"%d" % call.shard_set.n_missing_max),
            (WAITED_MS, b"%d" % (max(0.0, waited_ms) + RETURN_RESERVE_MS)),
        )
        return HttpRequest(
            request.method, request.target, dict(pairs), request.body, pairs
        )

    def decode_answer(
        self, call: ShardCall, response: HttpResponse
    ) -> ShardAnswer | Failure:
        """Decode the answer of the peer; return a failure if there is none."""
        if not echoes_request_id(call, response, is_required=True):
            return CALL_MISMATCH.with_reason(
                f"the peer answered {response.status} to another request"
            )
        if response.headers.get(RESULT_CODE) == b"%d" % ResultCode.QUARANTINED:
            return QUARANTINED.with_reason("the peer knows that it crashes replicas")
        if response.status in NOT_RUN_STATUSES:
            return SHED_BY_UPSTREAM.with_reason(f"the peer answered {response.status}")
        signatures = response.headers.get(SHARD_SIGNATURES)
        if response.status != 200 or not signatures:
            return UPSTREAM_ERROR.with_reason(f"the peer answered {response.status}")
        return ShardAnswer(
            call_id=call.call_id,
            shard_id=call.shard_id,
            snapshot_id=call.snapshot_id,
            hits=(),
            n_documents_searched=signatures.count(b",") + 1,
            reply=Reply(response.status, response.all_headers, response.body),
        )

    def is_foreign(self, call: ShardCall, response: HttpResponse) -> bool:
        """Return whether a response echoes the id of another request."""
        return not echoes_request_id(call, response, is_required=False)

    def encode_cancel(self, call: ShardCall) -> HttpRequest | None:
        """Return None; a call is cancelled by closing its connection."""
        return None


class PeerFrontend:
    """Serves the feeds and the shard sets that peers request from this instance.

    A search is refused as not run if this instance and its peer have different
    configurations, since the shard ids could then belong to another set of shards.
    """

    def __init__(
        self,
        frontend: RelayFrontend,
        feeds: Callable[[HttpRequest], Awaitable[HttpResponse]],
        is_ready: Callable[[], bool],
        revision: Callable[[], int],
    ) -> None:
        self._frontend = frontend
        self._feeds = feeds
        self._is_ready = is_ready
        self._revision = revision

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve one call of a peer."""
        if SHARD_IDS not in request.headers:
            return await self._feeds(request)
        response = await self._search(request)
        return _with_request_id(response, request.headers.get(REQUEST_ID, b""))

    async def _search(self, request: HttpRequest) -> HttpResponse:
        headers = request.headers
        shard_ids = headers[SHARD_IDS].decode("latin-1")
        has_same_revision = read_number(headers.get(REVISION)) == self._revision()
        if not self._is_ready() or not has_same_revision:
            return encode_http_error(NOT_RUN_STATUS, "not ready for this search")
        return await self._frontend.handle_shard_set(
            request,
            frozenset(shard_ids.split(",")),
            int(read_number(headers.get(N_MISSING_MAX)) or 0),
            read_number(headers.get(WAITED_MS)) or 0.0,
        )


def _with_request_id(response: HttpResponse, request_id: bytes) -> HttpResponse:
    """Return a response with the id of its request, by which the peer matches it."""
    pairs = [pair for pair in response.all_headers if pair[0] != REQUEST_ID]
    pairs.append((REQUEST_ID, request_id))
    return HttpResponse(response.status, dict(pairs), response.body, tuple(pairs))
