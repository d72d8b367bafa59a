"""Guards searches that a peer runs in the zone of the replicas, on real sockets."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest

from chestnuthall.adapters.http import ConnectionPool, PoolSettings
from chestnuthall.platform.tests.standins import (
    document,
    forward_route,
    scatter_route,
    world,
)
from chestnuthall.services import InstanceEntry

SHARDS = ("s0", "s1", "s2", "s3")


@asynccontextmanager
async def two_zones():
    """Yield a world whose instance has no replicas in its zone, and its peer."""
    async with world() as made:
        for number, shard in enumerate(SHARDS):
            record = bytes([65 + number]) * 16
            await made.add_replica(f"{shard}r", shard, record)
        await made.add_replica("t", "t", b"body")
        made.configure(1, [scatter_route(SHARDS), forward_route("t")])
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
            response = await made.send("/sweep/x", x_request_deadline_ms="700")
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
            task = asyncio.get_running_loop().create_task(
                made.send("/sweep/x", x_request_deadline_ms="700")
            )
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


def test_peer_counts_the_time_that_a_search_has_waited():
    """Its partial answer is due when the caller expects it, not when the peer does."""

    async def scenario():
        async with two_zones() as (made, peer):
            made.replicas["s0r"].delay_s = 0.6
            made.pool = ConnectionPool(peer.settings.peer_address, PoolSettings())
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            response = await made.send(
                "/sweep/x",
                x_request_deadline_ms="700",
                x_chestnuthall_revision="1",
                x_chestnuthall_shards=",".join(SHARDS),
                x_chestnuthall_missing_max="1",
                x_chestnuthall_waited_ms="300",
            )
            return response, 1000.0 * (loop.time() - started_s)

    response, duration_ms = asyncio.run(scenario())
    assert response.status == 200
    assert response.headers[b"x-missing-parts"] == b"1"
    assert duration_ms < 200.0
