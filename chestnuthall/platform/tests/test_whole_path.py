"""Guards the path from a caller to replicas and back, on real sockets."""

import asyncio

import pytest

from chestnuthall.adapters.http import HttpResponse
from chestnuthall.platform.tests.standins import (
    forward_route,
    scatter_route,
    world,
)

SHARDS = ("s0", "s1", "s2")


async def start_search(made, **route):
    for number, shard in enumerate(SHARDS):
        for index in range(2):
            record = bytes([65 + number]) * 16
            await made.add_replica(f"{shard}r{index}", shard, record)
    made.configure(1, [scatter_route(SHARDS, **route)])
    await made.start()


async def start_fetch(made, **route):
    for index in range(2):
        await made.add_replica(f"t{index}", "t", b"body of t")
    made.configure(1, [forward_route("t", **route)])
    await made.start()


def misbehave(made, service, respond):
    for replica in made.replicas.values():
        if replica.service == service:
            replica.respond = respond


def drop(request):
    """Close the connection without an answer."""


def shed(request):
    return HttpResponse(503, {b"x-not-executed": b"1"})


def fail(request):
    return HttpResponse(500, {b"x-server-stamp": b"f", b"x-request-id": b"q1"}, b"no")


def unsigned(request):
    return HttpResponse(200, {b"x-request-id": b"q1"}, b"Z" * 16)


def crossed(request):
    headers = {b"x-server-stamp": b"f", b"x-request-id": b"other"}
    return HttpResponse(200, headers, b"Z" * 16)


def encoded(request):
    headers = {
        b"x-server-stamp": b"f",
        b"x-request-id": b"q1",
        b"content-encoding": b"gzip",
    }
    return HttpResponse(200, headers, b"Z" * 16)


# (case, what the replicas of one shard do, missing parts)
SEARCHES = [
    ("all answer", None, 0),
    ("connections dropped", drop, 1),
    ("sheds", shed, 1),
    ("errors", fail, 1),
    ("success without a signature", unsigned, 1),
    ("answers to another request", crossed, 1),
    ("encoded bodies", encoded, 1),
]


@pytest.mark.parametrize(
    ("respond", "n_missing"),
    [case[1:] for case in SEARCHES],
    ids=[case[0] for case in SEARCHES],
)
def test_search(respond, n_missing):
    """A spoiled part must be left out and counted, and never be merged."""

    async def scenario():
        async with world() as made:
            await start_search(made)
            if respond is not None:
                misbehave(made, "s2", respond)
            return await made.send("/sweep/x", x_request_deadline_ms="700")

    response = asyncio.run(scenario())
    assert response.status == 200
    signatures = response.headers[b"x-part-stamps"].split(b", ")
    assert len(signatures) == len(SHARDS) - n_missing
    assert response.headers[b"x-missing-parts"] == b"%d" % n_missing
    best = [b"C", b"B", b"A"][n_missing:]
    assert response.body == b"".join(letter * 16 for letter in best)


# (case, what every replica does, route, status, body or None)
FETCHES = [
    ("answer", None, {}, 200, b"body of t"),
    ("error is passed on", fail, {}, 500, b"no"),
    ("sheds are a promise", shed, {}, 503, None),
    ("lost answers promise nothing", drop, {}, 502, None),
    ("unrepeatable", drop, {"Kind": "non_idempotent"}, 502, None),
    ("unrepeatable shed", shed, {"Kind": "non_idempotent"}, 503, None),
]


@pytest.mark.parametrize(
    ("respond", "route", "status", "body"),
    [case[1:] for case in FETCHES],
    ids=[case[0] for case in FETCHES],
)
def test_fetch(respond, route, status, body):
    """503 promises that nothing ran; a lost answer must not be called that."""

    async def scenario():
        async with world() as made:
            await start_fetch(made, **route)
            if respond is not None:
                misbehave(made, "t", respond)
            response = await made.send("/fetch/x?y=1", method="POST", body=b"b")
            received = [x for r in made.replicas.values() for x in r.received]
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
    if route and respond is drop:
        assert len(received) == 1


def test_replica_gets_the_time_that_is_left_and_the_callers_headers():
    async def scenario():
        async with world() as made:
            await start_fetch(made)
            headers = {"x_request_deadline_ms": "300", "x_other": "kept"}
            await made.send("/fetch/x", connection="x-hop", x_hop="1", **headers)
            return [x for r in made.replicas.values() for x in r.received]

    (received,) = asyncio.run(scenario())
    assert 0 < int(received.headers[b"x-request-deadline-ms"]) <= 300
    assert received.headers[b"host"] == b"h.example"
    assert received.headers[b"x-other"] == b"kept"
    assert b"x-hop" not in received.headers
    assert received.headers[b"x-request-id"] == b"q1"


# (case, path, headers, status)
REFUSED = [
    ("no route", "/none/", {}, 404),
    ("body too large", "/fetch/x", {"method": "POST", "body": b"x" * 2_000}, 413),
    ("no id", "/fetch/x", {"request_id": ""}, 400),
]


@pytest.mark.parametrize(
    ("path", "options", "status"),
    [case[1:] for case in REFUSED],
    ids=[case[0] for case in REFUSED],
)
def test_improper_requests(path, options, status):
    async def scenario():
        async with world() as made:
            await start_fetch(made)
            return await made.send(path, **options)

    assert asyncio.run(scenario()).status == status


def test_instance_without_a_configuration_is_not_ready_and_refuses():
    """A start during an outage of the store must not answer 404."""

    async def scenario():
        async with world() as made:
            made.store.is_down = True
            await made.start(wait=False)
            response = await made.send("/fetch/x")
            return response.status, made.instance.is_ready()

    assert asyncio.run(scenario()) == (503, False)


def test_search_without_replicas_is_refused_at_once_and_callers_are_sent_away():
    """An instance cut from the store keeps a set of shards that is gone; its
    searches waited for admission until their deadlines."""

    async def scenario():
        async with world() as made:
            await start_search(made)
            for name, replica in made.replicas.items():
                made.store.put("servers", name, replica.entry(State="draining"))
            for name in tuple(made.replicas):
                made.store.remove("servers", name)
            await made.until(lambda: not made.instance.is_ready())
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            response = await made.send("/sweep/x", x_request_deadline_ms="700")
            return response, loop.time() - started_s

    response, duration_s = asyncio.run(scenario())
    assert response.status == 503
    assert b"retry-after" in response.headers
    assert duration_s < 0.3


def test_replaced_replica_is_called_once():
    """Calls to a reused address count as load of its new holder's service."""

    async def scenario():
        async with world() as made:
            await start_fetch(made)
            for replica in made.replicas.values():
                replica.name = f"new-{replica.name}"
            responses = [
                await made.send("/fetch/x", request_id=f"q{i}") for i in range(4)
            ]
            return [x.status for x in responses], made.instance.directory

    statuses, _ = asyncio.run(scenario())
    assert statuses == [503] * 4


def test_draining_and_new_replicas_are_followed():
    async def scenario():
        async with world() as made:
            await start_fetch(made)
            old, new = made.replicas["t0"], made.replicas["t1"]
            made.store.put("servers", "t0", old.entry(State="draining", Sequence=2))
            await made.until(
                lambda: len(made.instance.directory.pin("t").shards[0].replicas) == 1
            )
            for i in range(6):
                await made.send("/fetch/x", request_id=f"q{i}")
            return len(old.received), len(new.received)

    assert asyncio.run(scenario()) == (0, 6)


def test_configuration_is_applied_at_once_and_never_goes_back():
    async def scenario():
        async with world() as made:
            await start_fetch(made)
            made.configure(5, [forward_route("t", PathPrefix="/new/")])
            await made.until(lambda: made.instance.configuration.revision == 5)
            first = await made.send("/new/x"), await made.send("/fetch/x")
            made.configure(4, [forward_route("t")])
            await asyncio.sleep(0.4)
            second = await made.send("/new/x"), await made.send("/fetch/x")
            return [x.status for x in first + second]

    assert asyncio.run(scenario()) == [200, 404, 200, 404]


def test_callers_departure_reaches_the_replicas():
    async def scenario():
        async with world() as made:
            await start_search(made)
            for replica in made.replicas.values():
                replica.delay_s = 0.4
            task = asyncio.get_running_loop().create_task(made.send("/sweep/x"))
            await made.until(
                lambda: sum(len(r.received) for r in made.replicas.values()) == 3
            )
            made.pool.close()
            task.cancel()
            for connection in tuple(made.instance.caller_server._connections):
                connection.eof_received()
            await made.until(
                lambda: sum(r.n_cancelled for r in made.replicas.values()) == 3
            )
            return made.instance.lifecycle.n_in_flight

    assert asyncio.run(scenario()) == 0


def test_stop_cuts_no_request_and_ends_within_its_grace():
    """A rolling stop must not lose what a process has read."""

    async def scenario():
        async with world() as made:
            await start_fetch(made)
            for replica in made.replicas.values():
                replica.delay_s = 0.3
            loop = asyncio.get_running_loop()
            task = loop.create_task(made.send("/fetch/x"))
            await made.until(lambda: made.instance.lifecycle.n_in_flight == 1)
            made.instance.lifecycle.announce_leave()
            is_ready = made.instance.is_ready()
            response = await task
            started_s = loop.time()
            await made.run
            return response.status, is_ready, loop.time() - started_s

    status, is_ready, duration_s = asyncio.run(scenario())
    assert (status, is_ready) == (200, False)
    assert duration_s < 5.5


def test_metrics_are_served_as_text():
    async def scenario():
        async with world() as made:
            await start_search(made)
            await made.send("/sweep/x")
            made.instance._set_gauges()
            return made.instance._metrics.text().decode()

    text = asyncio.run(scenario())
    assert 'chestnuthall_requests_total{of="scatter.ok"} 1.0' in text
    assert 'chestnuthall_replicas{of=""} 6.0' in text


def test_instance_that_starts_without_the_store_serves_what_a_seed_knows():
    """It answered 503 until the store was back (inc-7a0f)."""

    async def scenario():
        async with world() as made:
            await made.add_replica("t0", "t", b"body of t")
            made.configure(1, [forward_route("t")])
            peer = await made.add_peer("entry-2", "a")
            made.store.is_down = True
            await made.start(seeds=(peer.settings.peer_address,))
            return await made.send("/fetch/x")

    response = asyncio.run(scenario())
    assert (response.status, response.body) == (200, b"body of t")
