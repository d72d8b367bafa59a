"""Tests requests that reach an instance while it stops as planned, on real sockets.

Guards against requests that are passed on to a replica and whose connection then ends
without an answer.
"""

import asyncio

import pytest

from chestnuthall.core.results import Failure
from chestnuthall.platform import _instance
from chestnuthall.platform.tests.standins import (
    forward_route,
    open_deployment,
    scatter_route,
)

# The stop ends 1.5 s after the signal; the instance listens for the first 0.8 s.
GRACE_S = 2.0
REMOVAL_MS = 500.0
NOTICE_MS = 800.0
NOT_RUN = (429, 503)
KINDS = ("fetch", "hold", "sweep")


@pytest.fixture(autouse=True)
def short_notice(monkeypatch):
    monkeypatch.setattr(_instance, "BALANCER_REMOVAL_MS", REMOVAL_MS)
    monkeypatch.setattr(_instance, "LEAVE_NOTICE_MS", NOTICE_MS)


async def set_up(deployment, work_s):
    for service in ("s0", "s1", "t"):
        for index in range(2):
            name = f"{service}r{index}"
            replica = await deployment.add_replica(name, service, b"A" * 16)
            replica.delay_s = work_s
    timeout = {"TimeoutMs": 5_000, "TargetLatencyMs": 250}
    routes = [
        scatter_route(("s0", "s1"), **timeout),
        forward_route("t", **timeout),
        forward_route(
            "t", Name="hold", PathPrefix="/hold/", Kind="non_idempotent", **timeout
        ),
    ]
    deployment.configure(1, routes)
    await deployment.start(grace_s=GRACE_S)


def n_received(deployment):
    return sum(len(item.received) for item in deployment.replicas.values())


# (case, seconds from the signal to the request, work of the replicas in seconds,
# whether it is served)
REQUESTS = [
    ("short", 0.6, 0.02, True),
    ("long, before the signal", -0.1, 4.0, False),
    ("long, at once", 0.1, 4.0, False),
    ("long, late", 0.7, 4.0, False),
]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    ("sent_s", "work_s", "is_served"),
    [case[1:] for case in REQUESTS],
    ids=[case[0] for case in REQUESTS],
)
def test_each_request_is_answered_before_the_process_ends(
    kind, sent_s, work_s, is_served
):
    """Also requests that a replica still runs at the end of the grace time."""

    async def scenario():
        async with open_deployment() as deployment:
            await set_up(deployment, work_s)
            loop = asyncio.get_running_loop()
            leaves_s = loop.time() + max(0.0, -sent_s)
            loop.call_at(leaves_s, deployment.instance.lifecycle.announce_leave)
            await asyncio.sleep(max(0.0, sent_s))
            response = await deployment.send(f"/{kind}/x")
            await deployment.instance_task
            return response, n_received(deployment), loop.time() - leaves_s

    response, n_calls, duration_s = asyncio.run(scenario())
    assert not isinstance(response, Failure)
    assert (response.status == 200) == is_served
    assert response.headers[b"connection"] == b"close" or sent_s < REMOVAL_MS / 1000.0
    assert not (response.status in NOT_RUN and n_calls)
    assert duration_s < GRACE_S


@pytest.mark.parametrize("kind", KINDS)
def test_request_that_is_complete_too_late_is_not_passed_on(kind):
    """It could only be cut off at the end of the grace time."""

    async def scenario():
        async with open_deployment() as deployment:
            await set_up(deployment, 4.0)
            address = deployment.instance.settings.caller_address
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"POST /{kind}/x HTTP/1.1\r\nhost: h.example\r\n"
            head += "x-request-id: q\r\ncontent-length: 4\r\n\r\n"
            writer.write(head.encode())
            deployment.instance.lifecycle.announce_leave()
            await asyncio.sleep(1.1)
            writer.write(b"body")
            answer = await reader.read()
            writer.close()
            await deployment.instance_task
            return answer, n_received(deployment)

    answer, n_calls = asyncio.run(scenario())
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"retry-after" in answer
    assert n_calls == 0
