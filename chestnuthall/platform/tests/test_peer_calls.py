"""Guards searches that a peer runs in the zone of the replicas, on real sockets."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest

from chestnuthall.adapters.http import HttpRequest
from chestnuthall.core.model import Replica, ScatterRequest, ShardCall, ShardSet
from chestnuthall.core.overload import OverloadDetector
from chestnuthall.core.results import NOT_READY
from chestnuthall.platform import _instance
from chestnuthall.platform._frontend import RelayFrontend
from chestnuthall.platform._peer_calls import PeerCodec
from chestnuthall.platform.tests.standins import (
    document,
    forward_route,
    scatter_route,
    world,
)
from chestnuthall.services import InstanceEntry

SHARDS = ("s0", "s1", "s2", "s3")
# Longer than a busy machine delays anything here.
PATIENT_MS = 4_000.0


@pytest.fixture(autouse=True)
def patient(monkeypatch):
    """Keep bounds in real time from deciding where a search runs.

    Beside a load of 20 on 8 cores, the set of a sound peer was searched from here,
    as it is where a peer does not accept within 20 ms or is overloaded.
    """
    monkeypatch.setattr(_instance, "PEER_CONNECT_TIMEOUT_MS", PATIENT_MS)
    monkeypatch.setattr(OverloadDetector, "observe", lambda detector, lag_ms: False)


@asynccontextmanager
async def two_zones():
    """Yield a world whose instance has no replicas in its zone, and its peer."""
    async with world() as made:
        for number, shard in enumerate(SHARDS):
            record = bytes([65 + number]) * 16
            await made.add_replica(f"{shard}r", shard, record)
        await made.add_replica("t", "t", b"body")
        patient = {"TimeoutMs": PATIENT_MS, "TargetLatencyMs": PATIENT_MS}
        routes = [scatter_route(SHARDS, **patient), forward_route("t", **patient)]
        made.configure(1, routes)
        peer = await made.add_peer("entry-2", "a")
        await made.start(zone="b")
        settings = peer.settings
        entry = InstanceEntry(settings.name, settings.peer_address, settings.zone)
        made.instance.presence.peers = (entry,)
        yield made, peer


def n_served(instance, kind):
    """Return how many requests of a kind ended at an instance, by result."""
    text = instance._metrics.text().decode()
    return sum(
        float(line.rpartition(" ")[2])
        for line in text.splitlines()
        if line.startswith(f'chestnuthall_requests_total{{of="{kind}')
    )


async def other_revision(made, peer):
    newer = document(2, [scatter_route(SHARDS)], SHARDS)
    peer.configuration.offer_text(json.dumps(newer), "test")


async def no_configuration(made, peer):
    peer.configuration._in_force = None


async def leaving(made, peer):
    peer.lifecycle.announce_leave()


async def gone(made, peer):
    made.peer_runs["entry-2"].cancel()
    await asyncio.gather(made.peer_runs["entry-2"], return_exceptions=True)


async def sound(made, peer):
    """Leave the peer as it is."""


# (case, what happens to the peer, whether it serves the search)
PEERS = [
    ("sound", sound, True),
    ("another configuration", other_revision, False),
    ("no configuration", no_configuration, False),
    ("leaving", leaving, False),
    ("gone", gone, False),
]


@pytest.mark.parametrize(
    ("change", "is_served_there"),
    [case[1:] for case in PEERS],
    ids=[case[0] for case in PEERS],
)
def test_search_is_whole_wherever_it_runs(change, is_served_there):
    """A peer that cannot run a search must not cost its caller the answer."""

    async def scenario():
        async with two_zones() as (made, peer):
            await change(made, peer)
            response = await made.send("/sweep/x")
            received = [x for r in made.replicas.values() for x in r.received]
            return response, received, n_served(peer, "scatter")

    response, received, n_at_peer = asyncio.run(scenario())
    assert response.status == 200
    assert response.body == b"D" * 16 + b"C" * 16 + b"B" * 16
    assert response.headers[b"x-missing-parts"] == b"0"
    assert len(response.headers[b"x-part-stamps"].split(b",")) == len(SHARDS)
    assert response.headers[b"x-request-id"] == b"q1"
    assert len(received) == len(SHARDS)
    assert not any(
        name.startswith(b"x-chestnut") for x in received for name in x.headers
    )
    assert (n_at_peer > 0) == is_served_there


def test_single_record_requests_stay():
    """One answer is as large from a peer as from its replica."""

    async def scenario():
        async with two_zones() as (made, peer):
            response = await made.send("/fetch/x")
            return response.status, n_served(peer, "forward")

    assert asyncio.run(scenario()) == (200, 0)


def test_search_that_a_peer_may_have_begun_is_not_run_again():
    """Its second run would count as a repeat at every shard."""

    async def scenario():
        async with two_zones() as (made, peer):
            for replica in made.replicas.values():
                replica.delay_s = 0.4
            task = asyncio.get_running_loop().create_task(made.send("/sweep/x"))
            await made.until(
                lambda: all(made.replicas[f"{s}r"].received for s in SHARDS)
            )
            for connection in tuple(peer.peers._connections):
                connection.close()
            response = await task
            return response, [len(made.replicas[f"{s}r"].received) for s in SHARDS]

    response, n_received = asyncio.run(scenario())
    assert response.status == 504
    assert n_received == [1] * len(SHARDS)


def test_callers_departure_reaches_the_replicas_through_the_peer():
    async def scenario():
        async with two_zones() as (made, _):
            for replica in made.replicas.values():
                replica.delay_s = 0.4
            task = asyncio.get_running_loop().create_task(made.send("/sweep/x"))
            await made.until(
                lambda: all(made.replicas[f"{s}r"].received for s in SHARDS)
            )
            made.pool.close()
            task.cancel()
            for connection in tuple(made.instance.callers._connections):
                connection.eof_received()
            await made.until(
                lambda: sum(r.n_cancelled for r in made.replicas.values()) == 4
            )
            return made.instance.lifecycle.n_in_flight

    assert asyncio.run(scenario()) == 0


class FixedClock:
    def now_ms(self):
        return 1_000.0


class RecordedCalls:
    """Stands for the relay, and for what counts its requests."""

    def __init__(self):
        self.calls = []

    async def serve(self, call):
        self.calls.append(call)
        return NOT_READY.with_reason("test")

    def begin_request(self):
        """Count nothing."""

    end_request = begin_request


def test_peer_counts_the_time_that_a_search_has_waited():
    """Its partial answer is due when the caller expects it, not when the peer does."""
    relay = RecordedCalls()
    frontend = RelayFrontend(relay, relay, FixedClock())
    headers = {b"x-request-id": b"q", b"x-request-deadline-ms": b"700"}
    request = HttpRequest("GET", "/sweep/x", headers)
    asyncio.run(frontend.handle_part(request, frozenset({"s0"}), 1, 300.0))
    (call,) = relay.calls
    assert call.arrived_ms == 700.0
    assert call.arrived_ms + call.deadline_in_ms == 1_700.0
    assert (call.shard_ids, call.n_missing_max) == ({"s0"}, 1)


def test_call_to_a_peer_says_how_long_its_search_has_waited():
    request = ScatterRequest(
        request_id="q",
        class_name="c",
        group="g",
        arrived_ms=100.0,
        deadline_ms=900.0,
        fingerprint="f",
        method="GET",
        target="/sweep/x",
        headers=((b"host", b"h.example"),),
        body=b"",
        n_replicas_max=2,
        n_records_max=3,
        n_record_bytes=16,
    )
    shard_set = ShardSet(("s0", "s1"), 1)
    peer = Replica("entry-2", "10.0.0.2:1", "a")
    call = ShardCall("q.1", peer, "s0+1", 7, 900.0, request, shard_set)
    encoded = PeerCodec(lambda: 5).encode_call(call, remaining_ms=600.0)
    assert encoded.headers == {
        b"host": b"h.example",
        b"x-request-deadline-ms": b"596",
        b"x-chestnuthall-revision": b"5",
        b"x-chestnuthall-shards": b"s0,s1",
        b"x-chestnuthall-missing-max": b"1",
        b"x-chestnuthall-waited-ms": b"204",
    }
