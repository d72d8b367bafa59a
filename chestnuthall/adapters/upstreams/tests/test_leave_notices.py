"""Tests of the responses that tell that a replica leaves, on real sockets.

Guards against a statement that is lost because its response ends no call.
"""

import asyncio

import pytest

from chestnuthall.adapters.clock import LoopClock
from chestnuthall.adapters.http import HttpRequest, HttpResponse, HttpServer
from chestnuthall.adapters.searchapi import SearchCaller
from chestnuthall.core.model import LeaveNotice, Replica, SearchRequest, ShardCall

STATUSES = (200, 409, 499, 500, 503, 504)
# (case, time of the answer, whether the call is cancelled before it)
MOMENTS = [("in time", 0.0, False), ("after a cancelled call", 0.1, True)]
# Requests that are not shard calls.
REQUESTS = ["/v1/health", "/v1/partition-map"]


def make_call(replica):
    request = SearchRequest(
        request_id="q",
        class_name="c",
        group="g",
        arrived_ms=0.0,
        deadline_ms=1e12,
        fingerprint="f",
        query="x",
        n_hits_max=1,
    )
    return ShardCall("q/0", replica, "s", 1, 1e12, request)


async def notices_of(use, status, delay_s, value=b"1"):
    """Return the notices of one exchange with a replica that leaves."""

    async def respond(request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(delay_s)
        call_id = request.headers.get(b"x-call-id", b"")
        return HttpResponse(status, {b"x-draining": value, b"x-call-id": call_id})

    server = HttpServer(respond)
    port = await server.start("127.0.0.1", 0)
    replica = Replica("r", f"127.0.0.1:{port}", "a", 7)
    caller = SearchCaller(LoopClock())
    notices = []
    caller.add_leave_listener(notices.append)
    await use(caller, replica)
    await asyncio.sleep(2.0 * delay_s)
    caller.close()
    await server.close()
    return notices


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize(
    ("delay_s", "is_cancelled"),
    [case[1:] for case in MOMENTS],
    ids=[case[0] for case in MOMENTS],
)
def test_leave_is_read_from_the_response_to_a_call(status, delay_s, is_cancelled):
    """Failures and late answers state a leave as well."""

    async def use(caller, replica):
        task = asyncio.ensure_future(caller.call(make_call(replica)))
        if is_cancelled:
            await asyncio.sleep(delay_s / 2.0)
            task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    notices = asyncio.run(notices_of(use, status, delay_s))
    assert notices == [LeaveNotice("r", 7)]


@pytest.mark.parametrize(("value", "n"), [(b"1", 1), (b"0", 0), (b"yes", 0)])
@pytest.mark.parametrize("path", REQUESTS)
def test_leave_is_read_from_the_response_to_another_request(path, value, n):
    """Health checks and fetched maps state a leave in their headers, too."""

    async def use(caller, replica):
        await caller.send_request(replica, "g", HttpRequest("GET", path), 500.0)

    assert len(asyncio.run(notices_of(use, 200, 0.0, value))) == n
