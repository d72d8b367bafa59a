"""Interface to the protocols of upstreams."""

from collections.abc import Sequence
from typing import Protocol

from chestnuthall.adapters.http import HttpRequest, HttpResponse
from chestnuthall.core.model import LeaveNotice, Replica, ShardAnswer, ShardCall
from chestnuthall.core.results import Failure


class UpstreamCodec(Protocol):
    """Encodes shard calls and decodes shard answers."""

    cancels_by_closing: bool
    """Whether a call is cancelled by closing its connection."""

    def encode_call(self, call: ShardCall, remaining_ms: float) -> HttpRequest:
        """Return the HTTP request of a shard call."""
        ...

    def decode_answer(
        self, call: ShardCall, response: HttpResponse
    ) -> ShardAnswer | Failure:
        """Return the answer to a call, or a failure if the response is not one."""
        ...

    def is_foreign(self, call: ShardCall, response: HttpResponse) -> bool:
        """Return whether a response names another call than this one."""
        ...

    def leave_notices(
        self, replica: Replica, response: HttpResponse
    ) -> Sequence[LeaveNotice]:
        """Return the leaves that any response on a connection to a replica states."""
        ...

    def encode_cancel(self, call: ShardCall) -> HttpRequest | None:
        """Return the HTTP request that cancels a call, or None if there is none."""
        ...
