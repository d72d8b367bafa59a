"""Serves the feeds of this instance to its peers."""

from collections.abc import Callable
from urllib.parse import parse_qs, unquote

from chestnuthall.adapters.feeds._models import encode_batch
from chestnuthall.adapters.http import HttpRequest, HttpResponse
from chestnuthall.core.results import HISTORY_TRIMMED, Failure
from chestnuthall.ports import FeedAnswer, FeedSource, WatchBatch

FEED_PATH = "/v1/feeds/"
# Longest wait that a peer may request.
WAIT_MS_MAX = 10_000.0
N_ENCODED_BODIES_MAX = 8
AGE_MS_HEADER = b"x-age-ms"
# Also sent for any longer age, and for objects that the store never confirmed.
AGE_MS_MAX = 1e9


class FeedHandler:
    """Serves ``/v1/feeds/KIND``; with the option ``after``, waits for changes.

    Statuses 404 and 503 mean that the peer has to use another source, 410 that the
    changes after the version are no longer kept.
    """

    def __init__(
        self,
        find_feed: Callable[[str], FeedSource | None],
        find_snapshot_source: Callable[[str], FeedSource | None],
    ) -> None:
        self._find_feed = find_feed
        self._find_snapshot_source = find_snapshot_source
        # Bodies are encoded once, since all followers get the same changes.
        self._encoded_bodies: dict[WatchBatch, bytes] = {}

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve one call of a peer."""
        if not request.path.startswith(FEED_PATH):
            return HttpResponse(404)
        kind = unquote(request.path.removeprefix(FEED_PATH))
        options = {name: value[0] for name, value in parse_qs(request.query).items()}
        if "after" not in options:
            source = self._find_snapshot_source(kind)
            return (
                HttpResponse(404)
                if source is None
                else self._respond(source.snapshot())
            )
        try:
            after = int(options["after"])
            wait_ms = min(float(options.get("wait_ms", "0")), WAIT_MS_MAX)
        except ValueError:
            return HttpResponse(400)
        feed = self._find_feed(kind)
        if feed is None:
            return HttpResponse(503)
        answer = await feed.watch(after, wait_ms)
        if isinstance(answer, Failure):
            return HttpResponse(410 if answer.kind is HISTORY_TRIMMED else 503)
        return self._respond(answer)

    def _respond(self, answer: FeedAnswer) -> HttpResponse:
        headers = {
            b"content-type": b"application/octet-stream",
            AGE_MS_HEADER: b"%.0f" % min(answer.age_ms, AGE_MS_MAX),
        }
        return HttpResponse(200, headers, self._encode_body(answer.batch))

    def _encode_body(self, batch: WatchBatch) -> bytes:
        body = self._encoded_bodies.get(batch)
        if not batch.changed:
            body = encode_batch(batch)
        elif body is None:
            while len(self._encoded_bodies) >= N_ENCODED_BODIES_MAX:
                del self._encoded_bodies[next(iter(self._encoded_bodies))]
            body = self._encoded_bodies[batch] = encode_batch(batch)
        return body
