"""Contract tests of feeds between instances, on real sockets.

Guards against changes that differ after the transfer, and against a peer without a
usable feed that is not reported as a failure.
"""

import asyncio

import pytest

from chestnuthall.adapters.feeds import FeedHandler, HttpFeedClient
from chestnuthall.adapters.http import HttpResponse, HttpServer
from chestnuthall.core.results import (
    HISTORY_TRIMMED,
    NOT_READY,
    STORE_UNAVAILABLE,
    Failure,
)
from chestnuthall.ports import FeedAnswer, StoredObject, WatchBatch

OBJECT = StoredObject("k/1", "näme", 7, '{"a": 1}', 9)


class FixedSource:
    """Feed source that always returns the same result."""

    def __init__(self, result):
        self.result = result

    async def watch(self, after_version, timeout_ms):
        return self.result

    def snapshot(self):
        return self.result


async def with_feed_server(handler, use_client):
    server = HttpServer(handler)
    port = await server.start("127.0.0.1", 0)
    client = HttpFeedClient(watch_margin_ms=400.0)
    try:
        return await use_client(client, f"127.0.0.1:{port}")
    finally:
        client.close()
        await server.close()


CHANGES = FeedAnswer(WatchBatch(9, (OBJECT,), ("gone",)), 1_200.0)
NOTHING = FeedAnswer(WatchBatch(9, ()), 0.0)
NEVER_CONFIRMED = FeedAnswer(WatchBatch(9, ()), float("inf"))
# (case, result of the feed, expected result of the watch)
WATCHES = [
    ("changes", CHANGES, CHANGES),
    ("nothing", NOTHING, NOTHING),
    ("never confirmed", NEVER_CONFIRMED, FeedAnswer(WatchBatch(9, ()), 1e9)),
    ("history trimmed", HISTORY_TRIMMED.with_reason("x"), HISTORY_TRIMMED),
    ("store unavailable", STORE_UNAVAILABLE.with_reason("x"), NOT_READY),
    ("no feed", None, NOT_READY),
]


@pytest.mark.parametrize(
    ("result", "expected"), [c[1:] for c in WATCHES], ids=[c[0] for c in WATCHES]
)
def test_watch(result, expected):
    source = None if result is None else FixedSource(result)
    handler = FeedHandler(lambda kind: source, lambda kind: None)

    async def use_client(client, address):
        return await client.watch(address, "k/1", 3, 50.0)

    answer = asyncio.run(with_feed_server(handler.handle, use_client))
    assert (answer.kind if isinstance(answer, Failure) else answer) == expected


def test_snapshot():
    snapshot = FeedAnswer(WatchBatch(9, (OBJECT,)), 700.0)
    handler = FeedHandler(lambda kind: None, lambda kind: FixedSource(snapshot))

    async def use_client(client, address):
        return await client.snapshot(address, "k/1", 500.0)

    assert asyncio.run(with_feed_server(handler.handle, use_client)) == snapshot


async def never_respond(request):
    await asyncio.sleep(5.0)


async def respond_with_invalid_body(request):
    return HttpResponse(200, {}, b"no feed")


async def respond_with_error(request):
    return HttpResponse(500)


# (case, request handler of the peer)
FAULTY_PEERS = [
    ("unresponsive", never_respond),
    ("invalid body", respond_with_invalid_body),
    ("error status", respond_with_error),
]


@pytest.mark.parametrize(
    "respond", [c[1] for c in FAULTY_PEERS], ids=[c[0] for c in FAULTY_PEERS]
)
def test_unusable_feed_is_reported(respond):
    """The watch must fail, so that the instance reads the store.

    A late reply must not be taken as the reply to the next call.
    """

    async def use_client(client, address):
        first = await client.watch(address, "k", 3, 10.0)
        second = await client.snapshot(address, "k", 100.0)
        return first, second

    for result in asyncio.run(with_feed_server(respond, use_client)):
        assert isinstance(result, Failure)
        assert result.kind is STORE_UNAVAILABLE


def test_unreachable_peer_is_reported():
    async def use_client(client, address):
        return await client.watch("127.0.0.1:9", "k", 3, 10.0)

    result = asyncio.run(with_feed_server(respond_with_error, use_client))
    assert isinstance(result, Failure)
    assert result.kind is STORE_UNAVAILABLE
