"""Tests the path from a caller to the replicas and back, on real sockets.

Guards against merged answers that contain a faulty shard answer, requests that are
reported as not run although a replica may have run them, and requests lost while an
instance stops.
"""

import asyncio

import pytest

from chestnuthall.adapters.http import HttpResponse
from chestnuthall.platform.tests.standins import (
    forward_route,
    open_deployment,
    scatter_route,
)

SHARDS = ("s0", "s1", "s2")


async def set_up_search(deployment, **route):
    for number, shard in enumerate(SHARDS):
        for index in range(2):
            record = bytes([65 + number]) * 16
            await deployment.add_replica(f"{shard}r{index}", shard, record)
    deployment.configure(1, [scatter_route(SHARDS, **route)])
    await deployment.start()


async def set_up_fetch(deployment, **route):
    for index in range(2):
        await deployment.add_replica(f"t{index}", "t", b"body of t")
    deployment.configure(1, [forward_route("t", **route)])
    await deployment.start()


def set_response(deployment, service, respond):
    for replica in deployment.replicas.values():
        if replica.service == service:
            replica.respond = respond


def drop_connection(request):
    """Close the connection without a response."""


def shed(request):
    headers = {b"x-not-executed": b"1", b"x-request-id": b"q1"}
    return HttpResponse(503, headers)


def respond_error(request):
    return HttpResponse(500, {b"x-server-stamp": b"f", b"x-request-id": b"q1"}, b"no")


def respond_unsigned(request):
    return HttpResponse(200, {b"x-request-id": b"q1"}, b"Z" * 16)


def respond_to_other_request(request):
    headers = {b"x-server-stamp": b"f", b"x-request-id": b"other"}
    return HttpResponse(200, headers, b"Z" * 16)


def respond_encoded(request):
    headers = {
        b"x-server-stamp": b"f",
        b"x-request-id": b"q1",
        b"content-encoding": b"gzip",
    }
    return HttpResponse(200, headers, b"Z" * 16)


# (case, response of the replicas of one shard, number of missing shards)
SEARCHES = [
    ("all answer", None, 0),
    ("connections dropped", drop_connection, 1),
    ("shed calls", shed, 1),
    ("error responses", respond_error, 1),
    ("success without a signature", respond_unsigned, 1),
    ("responses to another request", respond_to_other_request, 1),
    ("encoded bodies", respond_encoded, 1),
]


@pytest.mark.parametrize(
    ("respond", "n_missing"),
    [case[1:] for case in SEARCHES],
    ids=[case[0] for case in SEARCHES],
)
def test_search_with_faulty_shard(respond, n_missing):
    """A faulty shard answer must be counted as missing and never be merged."""

    async def scenario():
        async with open_deployment() as deployment:
            await set_up_search(deployment)
            if respond is not None:
                set_response(deployment, "s2", respond)
            return await deployment.send("/sweep/x", x_request_deadline_ms="700")

    response = asyncio.run(scenario())
    assert response.status == 200
    signatures = response.headers[b"x-part-stamps"].split(b", ")
    assert len(signatures) == len(SHARDS) - n_missing
    assert response.headers[b"x-missing-parts"] == b"%d" % n_missing
    best = [b"C", b"B", b"A"][n_missing:]
    assert response.body == b"".join(letter * 16 for letter in best)


# (case, response of every replica, changes to the route, status, body or None)
FETCHES = [
    ("answer", None, {}, 200, b"body of t"),
    ("error is forwarded", respond_error, {}, 500, b"no"),
    ("shed calls have not run", shed, {}, 503, None),
    ("lost answers may have run", drop_connection, {}, 502, None),
    ("not repeatable", drop_connection, {"Kind": "non_idempotent"}, 502, None),
    ("not repeatable, shed", shed, {"Kind": "non_idempotent"}, 503, None),
]


@pytest.mark.parametrize(
    ("respond", "route", "status", "body"),
    [case[1:] for case in FETCHES],
    ids=[case[0] for case in FETCHES],
)
def test_forwarded_request(respond, route, status, body):
    """503 guarantees that nothing ran, so it must not be returned for a lost answer."""

    async def scenario():
        async with open_deployment() as deployment:
            await set_up_fetch(deployment, **route)
            if respond is not None:
                set_response(deployment, "t", respond)
            response = await deployment.send("/fetch/x?y=1", method="POST", body=b"b")
            received = [x for r in deployment.replicas.values() for x in r.received]
            return response, received

    response, received = asyncio.run(scenario())
    assert response.status == status
    if body is not None:
        assert response.body == body
        assert b"x-server-stamp" in response.headers
    if status == 503:
        assert float(response.headers[b"retry-after"]) > 0.0
    assert {(x.method, x.target, x.body) for x in received} == {
        ("POST", "/fetch/x?y=1", b"b")
    }
    if route and respond is drop_connection:
        assert len(received) == 1


def test_replica_receives_the_remaining_time_and_the_callers_headers():
    async def scenario():
        async with open_deployment() as deployment:
            await set_up_fetch(deployment)
            headers = {"x_request_deadline_ms": "300", "x_other": "kept"}
            await deployment.send("/fetch/x", connection="x-hop", x_hop="1", **headers)
            return [x for r in deployment.replicas.values() for x in r.received]

    (received,) = asyncio.run(scenario())
    assert 0 < int(received.headers[b"x-request-deadline-ms"]) <= 300
    assert received.headers[b"host"] == b"h.example"
    assert received.headers[b"x-other"] == b"kept"
    assert b"x-hop" not in received.headers
    assert received.headers[b"x-request-id"] == b"q1"


# (case, path, headers, status)
INVALID_REQUESTS = [
    ("no route", "/none/", {}, 404),
    ("body too large", "/fetch/x", {"method": "POST", "body": b"x" * 2_000}, 413),
    ("no id", "/fetch/x", {"request_id": ""}, 400),
]


@pytest.mark.parametrize(
    ("path", "options", "status"),
    [case[1:] for case in INVALID_REQUESTS],
    ids=[case[0] for case in INVALID_REQUESTS],
)
def test_invalid_requests(path, options, status):
    async def scenario():
        async with open_deployment() as deployment:
            await set_up_fetch(deployment)
            return await deployment.send(path, **options)

    assert asyncio.run(scenario()).status == status


def test_instance_without_a_configuration_is_not_ready_and_refuses():
    """A start during an outage of the store must not answer 404."""

    async def scenario():
        async with open_deployment() as deployment:
            deployment.store.is_unavailable = True
            await deployment.start(wait=False)
            response = await deployment.send("/fetch/x")
            return response.status, deployment.instance.is_ready()

    assert asyncio.run(scenario()) == (503, False)


def test_search_without_replicas_is_refused_at_once_and_instance_is_not_ready():
    """Such searches waited for admission until their deadlines.

    This happens to an instance that cannot reach the store and keeps an outdated set
    of shards.
    """

    async def scenario():
        async with open_deployment() as deployment:
            await set_up_search(deployment)
            for name, replica in deployment.replicas.items():
                deployment.store.put("servers", name, replica.entry(State="draining"))
            for name in tuple(deployment.replicas):
                deployment.store.remove("servers", name)
            await deployment.wait_until(lambda: not deployment.instance.is_ready())
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            response = await deployment.send("/sweep/x", x_request_deadline_ms="700")
            return response, loop.time() - started_s

    response, duration_s = asyncio.run(scenario())
    assert response.status == 503
    assert b"retry-after" in response.headers
    assert duration_s < 0.3


def test_replaced_replica_is_called_once():
    """Calls to a reused address are load on the service of its new replica."""

    async def scenario():
        async with open_deployment() as deployment:
            await set_up_fetch(deployment)
            for replica in deployment.replicas.values():
                replica.name = f"new-{replica.name}"
            responses = [
                await deployment.send("/fetch/x", request_id=f"q{i}") for i in range(4)
            ]
            return [x.status for x in responses], deployment.instance.directory

    statuses, _ = asyncio.run(scenario())
    assert statuses == [503] * 4


def test_draining_replica_gets_no_calls():
    async def scenario():
        async with open_deployment() as deployment:
            await set_up_fetch(deployment)
            old, new = deployment.replicas["t0"], deployment.replicas["t1"]
            deployment.store.put(
                "servers", "t0", old.entry(State="draining", Sequence=2)
            )
            await deployment.wait_until(
                lambda: (
                    len(deployment.instance.directory.pin("t").shards[0].replicas) == 1
                )
            )
            for i in range(6):
                await deployment.send("/fetch/x", request_id=f"q{i}")
            return len(old.received), len(new.received)

    assert asyncio.run(scenario()) == (0, 6)


def test_configuration_is_applied_at_once_and_never_reverted():
    async def scenario():
        async with open_deployment() as deployment:
            await set_up_fetch(deployment)
            deployment.configure(5, [forward_route("t", PathPrefix="/new/")])
            await deployment.wait_until(
                lambda: deployment.instance.configuration.revision == 5
            )
            first = await deployment.send("/new/x"), await deployment.send("/fetch/x")
            deployment.configure(4, [forward_route("t")])
            await asyncio.sleep(0.4)
            second = await deployment.send("/new/x"), await deployment.send("/fetch/x")
            return [x.status for x in first + second]

    assert asyncio.run(scenario()) == [200, 404, 200, 404]


def test_caller_disconnect_cancels_calls():
    async def scenario():
        async with open_deployment() as deployment:
            await set_up_search(deployment)
            for replica in deployment.replicas.values():
                replica.delay_s = 0.4
            task = asyncio.get_running_loop().create_task(deployment.send("/sweep/x"))
            await deployment.wait_until(
                lambda: sum(len(r.received) for r in deployment.replicas.values()) == 3
            )
            deployment.pool.close()
            task.cancel()
            for connection in tuple(deployment.instance.caller_server._connections):
                connection.eof_received()
            await deployment.wait_until(
                lambda: sum(r.n_cancelled for r in deployment.replicas.values()) == 3
            )
            return deployment.instance.lifecycle.n_in_flight

    assert asyncio.run(scenario()) == 0


def test_stop_completes_requests_within_the_grace_time():
    """A rolling stop must not lose requests that a process has read."""

    async def scenario():
        async with open_deployment() as deployment:
            await set_up_fetch(deployment)
            for replica in deployment.replicas.values():
                replica.delay_s = 0.3
            loop = asyncio.get_running_loop()
            task = loop.create_task(deployment.send("/fetch/x"))
            await deployment.wait_until(
                lambda: deployment.instance.lifecycle.n_in_flight == 1
            )
            deployment.instance.lifecycle.announce_leave()
            is_ready = deployment.instance.is_ready()
            response = await task
            started_s = loop.time()
            await deployment.instance_task
            return response.status, is_ready, loop.time() - started_s

    status, is_ready, duration_s = asyncio.run(scenario())
    assert (status, is_ready) == (200, False)
    assert duration_s < 5.5


def test_metrics_are_served_as_text():
    async def scenario():
        async with open_deployment() as deployment:
            await set_up_search(deployment)
            await deployment.send("/sweep/x")
            deployment.instance._set_gauges()
            return deployment.instance._metrics.render().decode()

    text = asyncio.run(scenario())
    assert 'chestnuthall_requests_total{of="scatter.ok"} 1.0' in text
    assert 'chestnuthall_replicas{of=""} 6.0' in text


def test_instance_started_without_the_store_serves_with_the_state_of_a_seed():
    """Such an instance answered 503 until the store was available (inc-7a0f)."""

    async def scenario():
        async with open_deployment() as deployment:
            await deployment.add_replica("t0", "t", b"body of t")
            deployment.configure(1, [forward_route("t")])
            peer = await deployment.add_peer("entry-2", "a")
            deployment.store.is_unavailable = True
            await deployment.start(seeds=(peer.settings.peer_address,))
            return await deployment.send("/fetch/x")

    response = asyncio.run(scenario())
    assert (response.status, response.body) == (200, b"body of t")
