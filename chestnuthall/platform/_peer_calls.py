"""Calls between instances for some shards of a search.

Each call is the caller's request with additional headers.
"""

from collections.abc import Awaitable, Callable, Iterable, Sequence
from urllib.parse import quote, unquote

from chestnuthall.adapters.http import HttpRequest, HttpResponse
from chestnuthall.core.model import (
    LeaveNotice,
    RelayedRequest,
    Replica,
    Reply,
    ShardAnswer,
    ShardCall,
)
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
    LEAVES,
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
# Limits of what a peer's header may name; those of this instance are smaller.
N_LEAVES_MAX = 64
N_INCARNATION_DIGITS_MAX = 16
# Statuses that guarantee that the peer has not run the search.
NOT_RUN_STATUSES = frozenset({NOT_RUN_STATUS, TOO_MANY_REQUESTS_STATUS})


def encode_leaves(notices: Iterable[LeaveNotice]) -> bytes:
    """Return the header that names leaving replicas with their incarnations.

    Examples
    --------
    >>> encode_leaves([LeaveNotice("i-1", 17), LeaveNotice("i-2", 18)])
    b'i-1;17, i-2;18'
    """
    return ", ".join(
        f"{quote(item.replica_name, safe='')};{item.incarnation}" for item in notices
    ).encode()


def decode_leaves(value: bytes | None) -> tuple[LeaveNotice, ...]:
    """Return the leaves that a peer names; items that cannot be read are skipped."""
    notices = []
    for item in (value or b"").decode("latin-1").split(",")[:N_LEAVES_MAX]:
        name, _, incarnation = item.strip().rpartition(";")
        is_number = incarnation.isascii() and incarnation.isdecimal()
        if name and is_number and len(incarnation) <= N_INCARNATION_DIGITS_MAX:
            notices.append(LeaveNotice(unquote(name), int(incarnation)))
    return tuple(notices)


class PeerCodec:
    """Encodes searches for a peer and decodes its answers.

    The request is that of the caller, with the shards that the peer has to search.
    Both directions carry the leaves of replicas that the sender learnt recently.
    """

    cancels_by_closing = True

    def __init__(
        self,
        revision: Callable[[], int],
        recent_leaves: Callable[[], Sequence[LeaveNotice]] = tuple,
    ) -> None:
        self._revision = revision
        self._recent_leaves = recent_leaves

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
        if leaves := self._recent_leaves():
            pairs = (*pairs, (LEAVES, encode_leaves(leaves)))
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

    def leave_notices(
        self, replica: Replica, response: HttpResponse
    ) -> tuple[LeaveNotice, ...]:
        """Return the leaves that the peer learnt, also from answers to this search."""
        return decode_leaves(response.headers.get(LEAVES))

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
        recent_leaves: Callable[[], Sequence[LeaveNotice]],
        on_leave: Callable[[LeaveNotice], None],
    ) -> None:
        self._frontend = frontend
        self._feeds = feeds
        self._is_ready = is_ready
        self._revision = revision
        self._recent_leaves = recent_leaves
        self._on_leave = on_leave

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve one call of a peer."""
        if SHARD_IDS not in request.headers:
            return await self._feeds(request)
        for notice in decode_leaves(request.headers.get(LEAVES)):
            self._on_leave(notice)
        response = await self._search(request)
        own_headers = {REQUEST_ID: request.headers.get(REQUEST_ID, b"")}
        if leaves := self._recent_leaves():
            own_headers[LEAVES] = encode_leaves(leaves)
        return _with_headers(response, own_headers)

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


def _with_headers(
    response: HttpResponse, own_headers: dict[bytes, bytes]
) -> HttpResponse:
    """Return a response with headers of this instance in place of any replica's.

    The id of the request is the one by which the peer matches the response.
    """
    replaced = own_headers.keys() | {LEAVES}
    pairs = [pair for pair in response.all_headers if pair[0] not in replaced]
    pairs += own_headers.items()
    return HttpResponse(response.status, dict(pairs), response.body, tuple(pairs))
