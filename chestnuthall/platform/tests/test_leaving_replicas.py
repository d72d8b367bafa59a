"""Tests replicas that say in their answers that they leave, on real sockets.

Guards against calls to a replica after such an answer, which were cut off by its end
while the store did not answer the instance.
"""

import asyncio
from dataclasses import replace

import pytest

from chestnuthall.adapters.http import HttpResponse
from chestnuthall.core.model import LeaveNotice
from chestnuthall.core.registry import _registry
from chestnuthall.platform._peer_calls import decode_leaves, encode_leaves
from chestnuthall.platform.tests.standins import (
    forward_route,
    open_deployment,
    scatter_route,
)
from chestnuthall.platform.tests.test_peer_calls import SHARDS, two_zones

LEAVING = {b"server-leaving": b"1"}
N_REQUESTS = 20
# Exceeds the penalty of a replica after one failure, which would hide a late call.
PENALTY_S = 0.5
NOT_IDEMPOTENT = {"Kind": "non_idempotent"}


def succeed(replica, request):
    return replica.signed_response(request)


def fail(replica, request):
    return replica.signed_response(request, status=500)


def lose_deadline(replica, request):
    return replica.signed_response(request, status=504)


def refuse(replica, request):
    headers = {
        b"x-not-executed": b"1",
        b"x-request-id": request.headers[b"x-request-id"],
    }
    return HttpResponse(503, headers)


def refuse_without_promise(replica, request):
    return HttpResponse(503, {b"x-request-id": request.headers[b"x-request-id"]})


def answer_unsigned(replica, request):
    return HttpResponse(200, {b"x-request-id": request.headers[b"x-request-id"]})


def answer_other_request(replica, request):
    return HttpResponse(200, {b"x-request-id": b"other", b"x-server-stamp": b"f"})


def answer_encoded(replica, request):
    response = replica.signed_response(request)
    return with_headers(response, {b"content-encoding": b"gzip"})


# (case, response of the replica that leaves)
ANSWERS = [
    ("success", succeed),
    ("failure", fail),
    ("deadline passed at the replica", lose_deadline),
    ("refusal", refuse),
    ("refusal without a promise", refuse_without_promise),
    ("success without a signature", answer_unsigned),
    ("answer to another request", answer_other_request),
    ("encoded body", answer_encoded),
]
# A hedge that loses ends before its answer is read, so that the leave stays unknown.
WITHOUT_HEDGES = {"MaxAttempts": 1}
ROUTES = [("repeatable", WITHOUT_HEDGES), ("unrepeatable", NOT_IDEMPOTENT)]
# (case, whether the store answers, change of the entry after the answer)
NEWS = [
    ("store down", False, None),
    ("entry unchanged", True, None),
    ("entry written again as ready", True, {"Sequence": 2, "WarmupLeftMs": 1}),
]


def with_headers(response, headers):
    return replace(response, headers=response.headers | headers)


def leave(replica, respond=succeed):
    """Let a replica say in all its answers that it leaves."""
    replica.respond = lambda request: with_headers(respond(replica, request), LEAVING)


async def send_until_received(deployment, replica):
    """Send requests until one has reached a replica."""
    for number in range(200):
        await deployment.send(
            f"/fetch/{number}",
            request_id=f"a{number}",
            method="POST",
            x_request_deadline_ms="700",
        )
        if replica.received:
            return
    raise AssertionError(f"{replica.name} got no request")


async def send_requests(deployment, prefix="b", path="/fetch/"):
    return [
        await deployment.send(
            f"{path}{number}",
            request_id=f"{prefix}{number}",
            method="POST",
            x_request_deadline_ms="700",
        )
        for number in range(N_REQUESTS)
    ]


async def set_up(deployment, n_replicas=2, **route):
    for index in range(n_replicas):
        await deployment.add_replica(f"t{index}", "t", b"body of t")
    deployment.configure(1, [forward_route("t", **route)])
    await deployment.start()


@pytest.mark.parametrize("route", [x[1] for x in ROUTES], ids=[x[0] for x in ROUTES])
@pytest.mark.parametrize(
    "respond", [case[1] for case in ANSWERS], ids=[case[0] for case in ANSWERS]
)
def test_no_call_follows_an_answer_of_a_leaving_replica(respond, route):
    """The header was read in no kind of answer."""

    async def scenario():
        async with open_deployment() as deployment:
            await set_up(deployment, **route)
            leaver = deployment.replicas["t0"]
            deployment.store.is_unavailable = True
            leave(leaver, respond)
            await send_until_received(deployment, leaver)
            leave(leaver)
            deployment.replicas["t1"].delay_s = 0.02
            await asyncio.sleep(PENALTY_S)
            n_before = len(leaver.received)
            responses = await send_requests(deployment)
            return responses, len(leaver.received) - n_before

    responses, n_late = asyncio.run(scenario())
    assert n_late == 0
    assert {item.status for item in responses} == {200}


@pytest.mark.parametrize(
    ("has_store", "change"), [case[1:] for case in NEWS], ids=[case[0] for case in NEWS]
)
def test_entry_of_the_same_incarnation_does_not_end_a_leave(has_store, change):
    """What a replica says itself is newer than its entry in the store."""

    async def scenario():
        async with open_deployment() as deployment:
            await set_up(deployment)
            leaver = deployment.replicas["t0"]
            deployment.store.is_unavailable = not has_store
            leave(leaver)
            await send_until_received(deployment, leaver)
            if change is not None:
                deployment.store.put("servers", "t0", leaver.entry(**change))
                await asyncio.sleep(0.1)
            n_before = len(leaver.received)
            await send_requests(deployment)
            return len(leaver.received) - n_before

    assert asyncio.run(scenario()) == 0


def test_replica_that_restarted_after_its_leave_is_called_again():
    """A leave belongs to one incarnation, not to the id or the address."""

    async def scenario():
        async with open_deployment() as deployment:
            await set_up(deployment)
            leaver = deployment.replicas["t0"]
            leave(leaver)
            await send_until_received(deployment, leaver)
            leaver.respond = None
            await leaver.server.close()
            await leaver.restart("t0")
            leaver.received.clear()
            deployment.store.put("servers", "t0", leaver.entry())
            await asyncio.sleep(0.1)
            await send_until_received(deployment, leaver)

    asyncio.run(scenario())


# (case, whether the other replica is registered when it is named)
OTHERS = [("registered", True), ("registered later", False)]


@pytest.mark.parametrize(
    "is_registered", [case[1] for case in OTHERS], ids=[case[0] for case in OTHERS]
)
def test_refusal_by_another_replica_tells_of_the_leave_of_that_one(is_registered):
    """A replica that has the address of another one says that it leaves itself."""

    async def scenario():
        async with open_deployment() as deployment:
            await set_up(deployment)
            named = await deployment.add_replica("t9", "t", b"body of t")
            other = deployment.replicas["t0"]
            if not is_registered:
                deployment.store.remove("servers", "t9")
            await asyncio.sleep(0.1)
            # The process at the address of t0 is now t9.
            other.name = "t9"
            other.refusal_headers = LEAVING
            for number in range(200):
                await deployment.send(
                    f"/fetch/{number}", method="POST", x_request_deadline_ms="700"
                )
                if other.n_refused:
                    break
            if not is_registered:
                deployment.store.put("servers", "t9", named.entry())
            await asyncio.sleep(0.1)
            n_before = len(named.received)
            responses = await send_requests(deployment)
            return responses, len(named.received) - n_before

    responses, n_late = asyncio.run(scenario())
    assert n_late == 0
    assert {item.status for item in responses} == {200}


def test_search_calls_no_replica_whose_part_said_that_it_leaves():
    """The parts of a search say it, too."""

    async def scenario():
        async with open_deployment() as deployment:
            for number, shard in enumerate(SHARDS):
                for index in range(2):
                    record = bytes([65 + number]) * 16
                    await deployment.add_replica(f"{shard}r{index}", shard, record)
            deployment.configure(1, [scatter_route(SHARDS)])
            await deployment.start()
            leavers = [deployment.replicas[f"{shard}r0"] for shard in SHARDS]
            deployment.store.is_unavailable = True
            for replica in leavers:
                leave(replica)
            for number in range(200):
                await deployment.send(f"/sweep/{number}", x_request_deadline_ms="700")
                if all(replica.received for replica in leavers):
                    break
            n_before = sum(len(replica.received) for replica in leavers)
            responses = await send_requests(deployment, path="/sweep/")
            n_late = sum(len(replica.received) for replica in leavers) - n_before
            return responses, n_late

    responses, n_late = asyncio.run(scenario())
    assert n_late == 0
    assert {item.headers[b"x-missing-parts"] for item in responses} == {b"0"}


def test_service_whose_replicas_all_leave_is_served_for_a_while(monkeypatch):
    """All replicas serve for ``DrainMs``; a request after that must not wait."""
    fallback_ms = 400.0
    monkeypatch.setattr(_registry, "DRAINING_FALLBACK_MS", fallback_ms)

    async def scenario():
        async with open_deployment() as deployment:
            await set_up(deployment, **NOT_IDEMPOTENT)
            replicas = deployment.replicas.values()
            for replica in replicas:
                leave(replica)
            early = [
                await deployment.send("/fetch/x", method="POST") for _ in range(10)
            ]
            await asyncio.sleep(fallback_ms / 1000.0 + 0.3)
            n_before = sum(len(replica.received) for replica in replicas)
            late = await send_requests(deployment)
            n_late = sum(len(replica.received) for replica in replicas) - n_before
            return early, late, n_late

    early, late, n_late = asyncio.run(scenario())
    assert {item.status for item in early} == {200}
    assert {item.status for item in late} == {503}
    assert all(float(item.headers[b"retry-after"]) > 0.0 for item in late)
    assert n_late == 0


async def tell_by_answer(deployment, peer):
    """Let the replicas announce their leave in the parts that the peer fetches."""
    for shard in SHARDS:
        leave(deployment.replicas[f"{shard}r"])


async def tell_by_request(deployment, peer):
    """Let the instance know a leave that the peer doesn't."""
    for shard in SHARDS:
        notice = LeaveNotice(f"{shard}r", 1)
        deployment.instance._leaves.on_answer(notice)


# (case, how the leaves become known)
EXCHANGES = [("answer", tell_by_answer), ("request", tell_by_request)]


@pytest.mark.parametrize(
    "tell", [case[1] for case in EXCHANGES], ids=[case[0] for case in EXCHANGES]
)
def test_instances_tell_each_other_of_leaves(tell):
    """An instance knew of no leave that only its peer had been told."""

    async def scenario():
        async with two_zones() as (deployment, peer):
            await tell(deployment, peer)
            for number in range(5):
                await deployment.send(
                    f"/sweep/{number}", request_id=f"c{number}", method="GET"
                )
            registries = [
                item.directory._registry for item in (deployment.instance, peer)
            ]
            return [
                registry.is_leaving(f"{shard}r")
                for registry in registries
                for shard in SHARDS
            ]

    assert asyncio.run(scenario()) == [True] * (2 * len(SHARDS))


def test_peer_with_older_news_ends_no_leave():
    """Notices of an earlier incarnation, and none at all, change nothing."""

    async def scenario():
        async with two_zones() as (deployment, _):
            leaves = deployment.instance._leaves
            leaves.on_answer(LeaveNotice("s0r", 1))
            leaves.on_peer(LeaveNotice("s0r", 0))
            await deployment.send("/sweep/x")
            return deployment.instance.directory._registry.is_leaving("s0r")

    assert asyncio.run(scenario())


# (case, header of a peer, notices)
HEADERS = [
    ("absent", None, ()),
    ("empty", b"", ()),
    ("one", b"i-1;17", (LeaveNotice("i-1", 17),)),
    ("quoted name", b"a%2C%3Bb;17", (LeaveNotice("a,;b", 17),)),
    ("no number", b"i-1;x, i-2;18", (LeaveNotice("i-2", 18),)),
    ("negative number", b"i-1;-4", ()),
    ("no name", b";17", ()),
    ("no separator", b"17", ()),
    ("long number", b"i-1;" + b"9" * 5_000, ()),
    ("other bytes", b"\xff\xfe;1\xb2", ()),
]


@pytest.mark.parametrize(
    ("value", "notices"),
    [case[1:] for case in HEADERS],
    ids=[case[0] for case in HEADERS],
)
def test_notices_of_a_peer_are_decoded_leniently(value, notices):
    """A defective header of a peer must not fail the search that it came with."""
    assert decode_leaves(value) == notices
    assert decode_leaves(encode_leaves(notices)) == notices
