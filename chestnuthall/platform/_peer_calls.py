"""Parts of searches between instances, in the form in which callers send searches."""

from collections.abc import Awaitable, Callable

from chestnuthall.adapters.http import HttpRequest, HttpResponse
from chestnuthall.core.model import RelayedRequest, Reply, ShardAnswer, ShardCall
from chestnuthall.core.results import SHED_BY_UPSTREAM, UPSTREAM_ERROR, Failure
from chestnuthall.platform._frontend import (
    NOT_RUN_STATUS,
    TOO_MANY_STATUS,
    RelayFrontend,
    respond_to_http_error,
)
from chestnuthall.platform._relayed_calls import (
    DEADLINE_MS,
    N_MISSING_MAX,
    PART_SIGNATURES,
    REVISION,
    SHARD_IDS,
    WAITED_MS,
    read_number,
)

# Taken off the peer's time, so that its answer is back when the caller's is due.
RETURN_RESERVE_MS = 4.0
# Statuses with which a peer promises that it has not run the search.
NOT_RUN_STATUSES = frozenset({NOT_RUN_STATUS, TOO_MANY_STATUS})


class PeerCodec:
    """Encodes searches for a peer and reads its answers.

    The request is that of the caller, with the shards that the peer is to search.
    """

    closes_to_cancel = True

    def __init__(self, revision: Callable[[], int]) -> None:
        self._revision = revision

    def encode_call(self, call: ShardCall, remaining_ms: float) -> HttpRequest:
        """Return the caller's request with what the peer has to know besides."""
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

    def read_answer(
        self, call: ShardCall, response: HttpResponse
    ) -> ShardAnswer | Failure:
        """Return the answer of the peer, or why there is none."""
        if response.status in NOT_RUN_STATUSES:
            return SHED_BY_UPSTREAM.with_reason(f"the peer answered {response.status}")
        signatures = response.headers.get(PART_SIGNATURES)
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

    def encode_cancel(self, call: ShardCall) -> HttpRequest | None:
        """Return None; a call is cancelled by closing its connection."""
        return None


class PeerFrontend:
    """Serves the parts of searches that peers ask this instance for, and its feeds.

    A search is refused as not run where this instance has another configuration
    than its peer, since the shards could be those of another set.
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
        headers = request.headers
        if SHARD_IDS not in headers:
            return await self._feeds(request)
        shard_ids = headers[SHARD_IDS].decode("latin-1")
        is_same = read_number(headers.get(REVISION)) == self._revision()
        if not self._is_ready() or not is_same:
            return respond_to_http_error(NOT_RUN_STATUS, "not ready for this search")
        return await self._frontend.handle_part(
            request,
            frozenset(shard_ids.split(",")),
            int(read_number(headers.get(N_MISSING_MAX)) or 0),
            read_number(headers.get(WAITED_MS)) or 0.0,
        )
