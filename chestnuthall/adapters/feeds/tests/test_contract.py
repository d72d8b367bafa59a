"""Guards the form of feeds between instances, on real sockets."""

import asyncio

import pytest

from chestnuthall.adapters.feeds import FeedFrontend, HttpPeerFeeds
from chestnuthall.adapters.http import HttpResponse, HttpServer
from chestnuthall.core.results import (
    HISTORY_TRIMMED,
    NOT_READY,
    STORE_UNAVAILABLE,
    Failure,
)
from chestnuthall.ports import FeedAnswer, StoredObject, WatchBatch

OBJECT = StoredObject("k/1", "näme", 7, '{"a": 1}', 9)


class Source:
    def __init__(self, result):
        self.result = result

    async def watch(self, after_version, timeout_ms):
        return self.result

    def snapshot(self):
        return self.result


async def ask(frontend, use):
    server = HttpServer(frontend)
    port = await server.start("127.0.0.1", 0)
    feeds = HttpPeerFeeds()
    try:
        return await use(feeds, f"127.0.0.1:{port}")
    finally:
        feeds.close()
        await server.close()


# (case, what the feed returns, expected result of the watch)
CHANGES = FeedAnswer(WatchBatch(9, (OBJECT,), ("gone",)), 1_200.0)
NOTHING = FeedAnswer(WatchBatch(9, ()), 0.0)
NEVER_CONFIRMED = FeedAnswer(WatchBatch(9, ()), float("inf"))
WATCHES = [
    ("changes", CHANGES, CHANGES),
    ("nothing", NOTHING, NOTHING),
    ("never confirmed", NEVER_CONFIRMED, FeedAnswer(WatchBatch(9, ()), 1e9)),
    ("history", HISTORY_TRIMMED.with_reason("x"), HISTORY_TRIMMED),
    ("no news", STORE_UNAVAILABLE.with_reason("x"), NOT_READY),
    ("not shared", None, NOT_READY),
]


@pytest.mark.parametrize(
    ("result", "expected"), [c[1:] for c in WATCHES], ids=[c[0] for c in WATCHES]
)
def test_watch(result, expected):
    source = None if result is None else Source(result)
    frontend = FeedFrontend(lambda kind: source, lambda kind: None)

    async def use(feeds, address):
        return await feeds.watch(address, "k/1", 3, 50.0)

    found = asyncio.run(ask(frontend.handle, use))
    assert (found.kind if isinstance(found, Failure) else found) == expected


def test_snapshot():
    known = FeedAnswer(WatchBatch(9, (OBJECT,)), 700.0)
    frontend = FeedFrontend(lambda kind: None, lambda kind: Source(known))

    async def use(feeds, address):
        return await feeds.snapshot(address, "k/1", 500.0)

    assert asyncio.run(ask(frontend.handle, use)) == known


async def silent(request):
    await asyncio.sleep(5.0)


async def garbage(request):
    return HttpResponse(200, {}, b"no feed")


async def refuse(request):
    return HttpResponse(500)


# (case, what the peer does)
BAD_PEERS = [("silent", silent), ("garbage", garbage), ("error", refuse)]


@pytest.mark.parametrize(
    "respond", [c[1] for c in BAD_PEERS], ids=[c[0] for c in BAD_PEERS]
)
def test_peer_that_gives_no_feed(respond):
    """An instance must turn to the store, and not take a crossed answer later."""

    async def use(feeds, address):
        first = await feeds.watch(address, "k", 3, 10.0)
        second = await feeds.snapshot(address, "k", 100.0)
        return first, second

    for result in asyncio.run(ask(respond, use)):
        assert isinstance(result, Failure)
        assert result.kind is STORE_UNAVAILABLE


def test_peer_that_is_gone():
    async def use(feeds, address):
        return await feeds.watch("127.0.0.1:9", "k", 3, 10.0)

    result = asyncio.run(ask(refuse, use))
    assert isinstance(result, Failure)
    assert result.kind is STORE_UNAVAILABLE
