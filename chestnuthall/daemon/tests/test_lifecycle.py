"""Tests of the graceful stop of an instance.

A stop that closes the server or its connections too early truncates responses and
loses requests that callers have already sent.
"""

import asyncio
import json
import signal
from pathlib import Path

import pytest

from chestnuthall.adapters.clock import LoopClock
from chestnuthall.adapters.http import HttpResponse, HttpServer
from chestnuthall.services import Lifecycle
from chestnuthall.standins.fleet import FleetPlan, GroupPlan, LocalFleet

DOCUMENT = Path(__file__).parents[3] / "examples" / "environment.jsonc"
GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n"
N_LARGE_BODY_BYTES = 8_000_000
NOTICE_S = 0.8
SERVICE_S = 0.3


async def _serve(request):
    await asyncio.sleep(SERVICE_S)
    return HttpResponse(200, {}, b"x" * (N_LARGE_BODY_BYTES if request.body else 2))


async def _read_response(reader, delay_s=0.0):
    """Return the response head and the number of body bytes received."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return b"", 0
    length = next(
        int(line.partition(b":")[2])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length")
    )
    await asyncio.sleep(delay_s)
    try:
        return head, len(await reader.readexactly(length))
    except asyncio.IncompleteReadError as error:
        return head, len(error.partial)


async def _stop_with_request_in_flight(reader, writer, stop):
    writer.write(GET)
    await asyncio.sleep(0.05)
    stop()
    return await _read_response(reader)


async def _send_during_notice(reader, writer, stop):
    stop()
    await asyncio.sleep(0.05)
    writer.write(GET)
    return await _read_response(reader)


async def _complete_request_after_notice(reader, writer, stop):
    writer.write(POST + b"ab")
    await asyncio.sleep(0.05)
    stop()
    await asyncio.sleep(NOTICE_S * 2)
    writer.write(b"cd")
    return await _read_response(reader)


async def _read_response_slowly(reader, writer, stop):
    writer.write(POST + b"abcd")
    await asyncio.sleep(0.05)
    stop()
    return await _read_response(reader, delay_s=SERVICE_S + NOTICE_S + 0.5)


async def _send_on_kept_alive_connection(reader, writer, stop):
    writer.write(GET)
    await _read_response(reader)
    stop()
    stop()
    writer.write(GET)
    return await _read_response(reader)


@pytest.mark.parametrize(
    ("caller", "n_bytes"),
    [
        pytest.param(_stop_with_request_in_flight, 2, id="request-in-flight"),
        pytest.param(_send_during_notice, 2, id="request-on-open-connection-in-notice"),
        pytest.param(
            _complete_request_after_notice,
            N_LARGE_BODY_BYTES,
            id="request-half-received",
        ),
        pytest.param(_read_response_slowly, N_LARGE_BODY_BYTES, id="slow-reader"),
        pytest.param(
            _send_on_kept_alive_connection, 2, id="kept-alive-and-second-signal"
        ),
    ],
)
def test_stop_completes_every_request(caller, n_bytes):
    """Each request that reached the instance must get its complete response."""

    async def scenario():
        lifecycle = Lifecycle(LoopClock(), NOTICE_S * 1000.0)
        server = HttpServer(_serve)
        port = await server.start("127.0.0.1", 0)

        async def run():
            await lifecycle.wait_leave()
            await lifecycle.drain(server)
            await server.close()

        running = asyncio.create_task(run())
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        reply = await caller(reader, writer, lifecycle.announce_leave)
        await asyncio.wait_for(running, 5.0)
        is_closed = await reader.read() == b""
        writer.close()
        return *reply, is_closed

    head, n_received, is_closed = asyncio.run(scenario())
    assert head.startswith(b"HTTP/1.1 200")
    assert b"connection: close" in head.lower()
    assert (n_received, is_closed) == (n_bytes, True)


@pytest.mark.parametrize("was_ready", [True, False])
def test_stop_before_ready_needs_no_notice(was_ready):
    """An instance that was never ready must not wait for the load balancer."""

    async def scenario():
        lifecycle = Lifecycle(LoopClock(), 300.0)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await lifecycle.drain(HttpServer(_serve), was_ready)
        return loop.time() - started_s >= 0.3

    assert asyncio.run(scenario()) is was_ready


@pytest.mark.processes
def test_processes_leave_and_are_drained():
    """SIGTERM and operators' drains must show in replies, list and status."""

    async def scenario():
        plan = FleetPlan(
            groups=(
                GroupPlan(
                    name="planner-desk", n_shards=1, n_replicas=2, service_ms=700.0
                ),
                GroupPlan(name="booking-ledger", n_shards=1, n_replicas=1),
            ),
            document_text=DOCUMENT.read_text(),
            n_instances=2,
        )
        async with LocalFleet(plan) as fleet:
            first, second = fleet.instances
            search = {
                "request_id": "t1",
                "class": "planner",
                "group": "planner-desk",
                "query": "x",
            }
            replica = {"replica": "planner-desk-00-0"}
            replies = [
                await second.client.send("POST", "/v1/admin/drain", replica),
                await second.client.send("POST", "/v1/admin/drain", {}),
                await second.client.send("GET", "/v1/admin/quarantines"),
                await second.client.send(
                    "DELETE", "/v1/admin/quarantines?fingerprint=f"
                ),
            ]
            # A drain reaches every instance within 3 s.
            await asyncio.sleep(3.0)
            in_flight = asyncio.create_task(
                first.client.send("POST", "/v1/search", search)
            )
            await asyncio.sleep(0.2)
            first.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            first.process.send_signal(signal.SIGTERM)
            health = await first.client.send("GET", "/v1/health")
            answer = await in_flight
            exit_code = await first.process.wait()
            list_entry = await fleet.store.send("GET", "/v1/objects/instances/entry-0")
            stored_status = await fleet.store.send("GET", "/v1/objects/status/entry-0")
            peer_status = await second.client.send("GET", "/v1/admin/status")
            second.process.send_signal(signal.SIGTERM)
            return (
                [reply.status for reply in replies],
                (answer.status, answer.body["result"], health.status, exit_code),
                json.loads(list_entry.body["value"])["state"],
                json.loads(stored_status.body["value"])["fleet"]["leaving"],
                json.loads(stored_status.body["value"])["news"]["drains"],
                peer_status.body["status"]["fleet"]["n_live"],
            )

    assert asyncio.run(scenario()) == (
        [200, 400, 200, 404],
        (200, "OK", 503, 0),
        "leaving",
        True,
        {"planner-desk-00-0": "operator"},
        1,
    )
