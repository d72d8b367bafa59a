"""Serves the feeds of this instance to its peers."""

from collections.abc import Callable
from urllib.parse import parse_qs, unquote

from chestnuthall.adapters.feeds._models import encode_batch
from chestnuthall.adapters.http import HttpRequest, HttpResponse
from chestnuthall.core.results import HISTORY_TRIMMED, Failure
from chestnuthall.ports import FeedAnswer, FeedSource, WatchBatch

FEED_PATH = "/v1/feeds/"
# Longest wait that a peer may ask for.
WAIT_MS_MAX = 10_000.0
N_ENCODED_KEPT = 8
AGE_MS = b"x-age-ms"
# Stands for any longer time, and for never.
AGE_MS_MAX = 1e9


class FeedFrontend:
    """Answers ``/v1/feeds/KIND``, and with ``after`` waits for changes.

    404 and 503 mean that the peer has to look elsewhere, 410 that the changes are
    no longer kept.
    """

    def __init__(
        self,
        feed: Callable[[str], FeedSource | None],
        known: Callable[[str], FeedSource | None],
    ) -> None:
        self._feed = feed
        self._known = known
        # The same changes go to all followers.
        self._encoded: dict[WatchBatch, bytes] = {}

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve one call of a peer."""
        if not request.path.startswith(FEED_PATH):
            return HttpResponse(404)
        kind = unquote(request.path.removeprefix(FEED_PATH))
        options = {name: value[0] for name, value in parse_qs(request.query).items()}
        if "after" not in options:
            known = self._known(kind)
            return (
                HttpResponse(404) if known is None else self._respond(known.snapshot())
            )
        try:
            after = int(options["after"])
            wait_ms = min(float(options.get("wait_ms", "0")), WAIT_MS_MAX)
        except ValueError:
            return HttpResponse(400)
        feed = self._feed(kind)
        if feed is None:
            return HttpResponse(503)
        answer = await feed.watch(after, wait_ms)
        if isinstance(answer, Failure):
            return HttpResponse(410 if answer.kind is HISTORY_TRIMMED else 503)
        return self._respond(answer)

    def _respond(self, answer: FeedAnswer) -> HttpResponse:
        headers = {
            b"content-type": b"application/octet-stream",
            AGE_MS: b"%.0f" % min(answer.age_ms, AGE_MS_MAX),
        }
        return HttpResponse(200, headers, self._body(answer.batch))

    def _body(self, batch: WatchBatch) -> bytes:
        body = self._encoded.get(batch)
        if not batch.changed:
            body = encode_batch(batch)
        elif body is None:
            while len(self._encoded) >= N_ENCODED_KEPT:
                del self._encoded[next(iter(self._encoded))]
            body = self._encoded[batch] = encode_batch(batch)
        return body
