"""Contract tests of the shard caller port with the upstream emulator on real sockets.

Guards against answers that reach the wrong call, and against failures whose kind
misstates whether the replica may have started the call.
"""

import asyncio

import pytest

from chestnuthall.adapters.clock import LoopClock
from chestnuthall.adapters.http import HttpResponse
from chestnuthall.adapters.searchapi import SearchCaller, decode_answer
from chestnuthall.core.model import (
    MutationRequest,
    PartitionMap,
    Replica,
    SearchRequest,
    ShardAnswer,
    ShardCall,
)
from chestnuthall.core.results import (
    ANSWER_CUT,
    CALL_MISMATCH,
    CALL_TIMED_OUT,
    CONNECTION_REFUSED,
    DEADLINE_PASSED,
    NO_REPLICA,
    SHED_BY_UPSTREAM,
    SNAPSHOT_GONE,
    Failure,
)
from chestnuthall.standins.upstream import (
    IndexSnapshot,
    UpstreamBehaviour,
    UpstreamServer,
)

KEYS = ("a1", "a2", "a3", "a4")


def make_call(number, address, now_ms, *, timeout_ms=400.0, snapshot_id=1, kind=None):
    shared = {
        "request_id": f"q{number}",
        "class_name": "c",
        "group": "g",
        "arrived_ms": now_ms,
        "deadline_ms": now_ms + timeout_ms,
        "fingerprint": "f",
    }
    request = SearchRequest(**shared, query="x", n_hits_max=2)
    if kind == "mutation":
        request = MutationRequest(
            **shared,
            key="a1",
            payload="p",
            idempotency_key=f"key-{number:04d}",
            issued_at_ms=0.0,
        )
    return ShardCall(
        call_id=f"q{number}.1",
        replica=Replica("r", address, "z"),
        shard_id="s0",
        snapshot_id=snapshot_id,
        deadline_ms=request.deadline_ms,
        request=request,
    )


async def with_upstream(use_caller, **behaviour):
    server = UpstreamServer(
        "r", "z", UpstreamBehaviour(**{"service_ms": 5.0, **behaviour})
    )
    server.add_snapshot(IndexSnapshot("g", 1, "s0", KEYS))
    port = await server.start("127.0.0.1", 0)
    caller = SearchCaller(LoopClock())
    caller.set_connection_budget("g", 2)
    try:
        return await use_caller(caller, server, f"127.0.0.1:{port}")
    finally:
        caller.close()
        await server.close()


@pytest.mark.parametrize(
    ("behaviour", "changes", "expected"),
    [
        pytest.param({}, {}, 4, id="complete"),
        pytest.param({"n_short_answers": 1}, {}, 2, id="stopped-early"),
        pytest.param({"n_duplicate_answers": 1}, {}, 4, id="duplicate"),
        pytest.param({"n_crossed_answers": 1}, {}, CALL_MISMATCH, id="other-call-id"),
        pytest.param({"n_truncated_answers": 1}, {}, ANSWER_CUT, id="truncated"),
        pytest.param({"n_lost_answers": 1}, {}, CALL_TIMED_OUT, id="no-answer"),
        pytest.param({"is_shedding": True}, {}, SHED_BY_UPSTREAM, id="shed"),
        pytest.param({}, {"snapshot_id": 7}, SNAPSHOT_GONE, id="snapshot-gone"),
        pytest.param({}, {"timeout_ms": -1.0}, NO_REPLICA, id="no-time-to-connect"),
        pytest.param({"slow_factor": 500.0}, {}, CALL_TIMED_OUT, id="straggler"),
    ],
)
def test_fault_results(behaviour, changes, expected):
    """The next call on the same pool must get its own, complete answer."""

    async def use_caller(caller, server, address):
        clock = LoopClock()
        first = await caller.call(make_call(1, address, clock.now_ms(), **changes))
        server.behaviour = UpstreamBehaviour(service_ms=1.0)
        second = await caller.call(make_call(2, address, clock.now_ms()))
        return first, second

    first, second = asyncio.run(with_upstream(use_caller, **behaviour))
    found = first.kind if isinstance(first, Failure) else first.n_documents_searched
    assert found == expected
    assert isinstance(second, ShardAnswer)
    assert second.call_id == "q2.1"
    assert [hit.record[-2:] for hit in second.hits] == ["@1", "@1"]


def test_refused_connection_is_reported():
    async def scenario():
        caller = SearchCaller(LoopClock())
        call = make_call(1, "127.0.0.1:1", LoopClock().now_ms())
        return await caller.call(call)

    assert asyncio.run(scenario()).kind is CONNECTION_REFUSED


def test_nothing_is_sent_after_the_deadline():
    """A process that resumes after a stall must not send calls that have expired."""

    async def use_caller(caller, server, address):
        clock = LoopClock()
        await caller.call(make_call(1, address, clock.now_ms()))
        late = make_call(2, address, clock.now_ms() - 1000.0, kind="mutation")
        result = await caller.call(late)
        return result, server.mutations

    result, mutations = asyncio.run(with_upstream(use_caller))
    assert result.kind is DEADLINE_PASSED
    assert mutations == []


@pytest.mark.parametrize(
    ("kind", "n_cancelled"),
    [
        pytest.param("search", 1, id="search"),
        pytest.param("mutation", 0, id="mutation"),
    ],
)
def test_cancelled_call(kind, n_cancelled):
    """A search is cancelled at the upstream; a mutation that was sent never is."""

    async def use_caller(caller, server, address):
        clock = LoopClock()
        task = asyncio.ensure_future(
            caller.call(make_call(1, address, clock.now_ms(), kind=kind))
        )
        await asyncio.sleep(0.03)
        task.cancel()
        await asyncio.sleep(0.05)
        server.behaviour = UpstreamBehaviour(service_ms=1.0)
        second = await caller.call(make_call(2, address, clock.now_ms()))
        return server.n_cancelled, second

    n_received, second = asyncio.run(with_upstream(use_caller, service_ms=100.0))
    assert n_received == n_cancelled
    assert isinstance(second, ShardAnswer)


def test_connection_budget_holds_under_load():
    """The connection limit of the upstream must hold while many calls wait."""

    async def use_caller(caller, server, address):
        clock = LoopClock()
        results = await asyncio.gather(
            *(
                caller.call(make_call(n, address, clock.now_ms(), timeout_ms=5000.0))
                for n in range(30)
            )
        )
        return results, server

    results, server = asyncio.run(with_upstream(use_caller, n_queued_max=64))
    assert all(isinstance(item, ShardAnswer) for item in results)
    assert server._server.n_connections_peak <= 2


def test_partition_map_is_read_from_a_replica():
    async def use_caller(caller, server, address):
        server.partition_map_text = (
            '{"group":"g","snapshot_id":3,"shards":[{"shard_id":"s0","start":"",'
            '"end":"","n_documents":4,"replicas":[]}]}'
        )
        return await caller.fetch_partition_map(Replica("r", address, "z"), 500.0)

    found = asyncio.run(with_upstream(use_caller))
    assert isinstance(found, PartitionMap)
    assert found.snapshot_id == 3


@pytest.mark.parametrize(
    ("header", "is_draining"), [(b"1", True), (b"0", False), (None, False)]
)
def test_draining_header_of_an_answer_is_read(header, is_draining):
    """The answers of an upstream are the first to show that it is draining."""
    call = make_call(1, "127.0.0.1:1", 0.0)
    headers = {b"x-call-id": b"q1.1", b"x-snapshot-id": b"1", b"x-shard-id": b"s0"}
    if header is not None:
        headers[b"x-draining"] = header
    body = b'{"hits": [], "n_documents_searched": 0}'
    answer = decode_answer(call, HttpResponse(200, headers, body))
    assert answer.is_draining == is_draining
