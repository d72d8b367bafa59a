"""Contract tests of the PeerTransport port, run on the fake and on gRPC.

Guards against fields that are lost in conversion, against failures that are raised
or returned too late, and against an unbounded number of channels.
"""

import asyncio
import socket
from contextlib import asynccontextmanager
from random import Random

import pytest

from chestnuthall.adapters.peers import GrpcPeerServer, GrpcPeerTransport
from chestnuthall.core.fanout import PartialAnswer
from chestnuthall.core.model import Coverage, Hit, KeyRange
from chestnuthall.core.results import (
    CALL_TIMED_OUT,
    CONNECTION_LOST,
    SNAPSHOT_GONE,
    Failure,
)
from chestnuthall.ports import (
    ClassUse,
    DrainNotice,
    MemberUpdate,
    PeerConfiguration,
    PeerDigest,
    QuarantineNotice,
    ShardSetCall,
)
from chestnuthall.standins.peers import Host, PeerNetwork

DIGEST = PeerDigest(
    sender="entry-1",
    sender_address="127.0.0.1:9",
    incarnation=1_700_000_000_000,
    configuration_revision=7,
    configuration_digest="ab" * 32,
    members=(MemberUpdate("entry-2", "127.0.0.1:8", "zone-a", "suspect", 5),),
    uses=(ClassUse("entry-2", 5, 3, "g", "planner", 12.5, 3.0),),
    drains=(DrainNotice("r1", 1_500.5, 9, "list", True),),
    quarantines=(QuarantineNotice("f", ("r1", "r2"), 2_000.0, 4),),
)
CONFIGURATION = PeerConfiguration("trial", 7, "ab", "{}")
CALL = ShardSetCall(
    call_id="c1",
    group="g",
    class_name="planner",
    snapshot_id=3,
    shard_ids=("s1", "s2"),
    remaining_ms=250.0,
    query="x",
    n_hits_max=5,
    fingerprint="f",
)
PARTIAL = PartialAnswer(
    3, (Hit("k", 1.5, "r"),), Coverage(5, 9, 1, 2, (KeyRange("m", ""),)), 2
)


class Peer:
    """Peer service with preset answers and a preset delay."""

    def __init__(self):
        self.delay_s = 0.0
        self.received = []
        self.partial = PARTIAL

    async def receive(self, digest):
        self.received.append(digest)
        await asyncio.sleep(self.delay_s)
        return DIGEST

    async def probe_indirectly(self, target_address):
        await asyncio.sleep(self.delay_s)
        return target_address == "127.0.0.1:8"

    def configuration(self):
        return CONFIGURATION

    async def query_shards(self, call):
        self.received.append(call)
        await asyncio.sleep(self.delay_s)
        return self.partial


def _free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@asynccontextmanager
async def _fake(peer, address):
    network = PeerNetwork(Random(1))
    network.listen(address, peer, Host())
    yield (
        network.transport("127.0.0.1:9", Host()),
        (lambda: network.stop_listening(address)),
    )


@asynccontextmanager
async def _grpc(peer, address):
    server = GrpcPeerServer(peer)
    await server.start(address)
    transport = GrpcPeerTransport()

    async def stop():
        await server.close(0.0)

    yield transport, stop
    await transport.close()
    await server.close(0.0)


async def _exchange(transport, address, timeout_ms=2_000.0):
    return await transport.exchange(address, DIGEST, timeout_ms)


async def _probe_alive(transport, address, timeout_ms=2_000.0):
    return await transport.probe_indirectly(address, "127.0.0.1:8", timeout_ms)


async def _probe_dead(transport, address, timeout_ms=2_000.0):
    return await transport.probe_indirectly(address, "127.0.0.1:7", timeout_ms)


async def _fetch(transport, address, timeout_ms=2_000.0):
    return await transport.fetch_configuration(address, timeout_ms)


async def _query(transport, address, timeout_ms=2_000.0):
    return await transport.query_shards(address, CALL, timeout_ms)


CALLS = [
    pytest.param(_exchange, DIGEST, id="exchange"),
    pytest.param(_probe_alive, True, id="probe-alive"),
    pytest.param(_probe_dead, False, id="probe-dead"),
    pytest.param(_fetch, CONFIGURATION, id="configuration"),
    pytest.param(_query, PARTIAL, id="shards"),
]
ADAPTERS = [pytest.param(_fake, id="fake"), pytest.param(_grpc, id="grpc")]


@pytest.mark.parametrize("adapter", ADAPTERS)
@pytest.mark.parametrize(("call", "expected"), CALLS)
def test_values_are_transmitted_unchanged(adapter, call, expected):
    """No field may be lost or changed on its way to a peer and back."""

    async def scenario():
        peer, address = Peer(), _free_address()
        async with adapter(peer, address) as (transport, _):
            return await call(transport, address), peer.received

    result, received = asyncio.run(scenario())
    assert result == expected
    assert all(item in (DIGEST, CALL) for item in received)


@pytest.mark.parametrize("adapter", ADAPTERS)
@pytest.mark.parametrize(
    ("call", "fault", "kind"),
    [
        (_exchange, "slow", CALL_TIMED_OUT),
        (_probe_alive, "slow", CALL_TIMED_OUT),
        (_query, "slow", CALL_TIMED_OUT),
        (_exchange, "stopped", CONNECTION_LOST),
        (_probe_alive, "stopped", CONNECTION_LOST),
        (_fetch, "stopped", CONNECTION_LOST),
        (_query, "stopped", CONNECTION_LOST),
        (_query, "refused", SNAPSHOT_GONE),
    ],
)
def test_failures_are_returned(adapter, call, fault, kind):
    """A failed call must return its failure within its timeout and not raise."""

    async def scenario():
        peer, address = Peer(), _free_address()
        async with adapter(peer, address) as (transport, stop):
            if fault == "slow":
                peer.delay_s = 5.0
            elif fault == "refused":
                peer.partial = SNAPSHOT_GONE.with_reason("gone")
            elif (stopping := stop()) is not None:
                await stopping
            started_s = asyncio.get_running_loop().time()
            result = await call(transport, address, 300.0)
            return result, asyncio.get_running_loop().time() - started_s

    result, elapsed_s = asyncio.run(scenario())
    assert isinstance(result, Failure)
    assert result.kind is kind
    assert elapsed_s < 2.0


def test_channels_are_bounded():
    """One channel for each of 1,900 peers would exceed the memory of an instance."""

    async def scenario():
        addresses = [_free_address() for _ in range(6)]
        servers = [GrpcPeerServer(Peer()) for _ in addresses]
        for server, address in zip(servers, addresses, strict=True):
            await server.start(address)
        transport = GrpcPeerTransport(n_channels_max=3)
        results = [await _exchange(transport, address) for address in addresses * 2]
        n_channels = len(transport._channels)
        concurrent_results = await asyncio.gather(
            *(_exchange(transport, a) for a in addresses)
        )
        await transport.close()
        for server in servers:
            await server.close(0.0)
        return n_channels, {DIGEST} == {*results, *concurrent_results}

    assert asyncio.run(scenario()) == (3, True)
