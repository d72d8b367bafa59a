"""Processor time per shard call over real sockets, compared with bare h11."""

import asyncio
import json
import time
from dataclasses import replace
from random import Random

import h11

from benchmarks._fakes import FixedStore
from chestnuthall.adapters.callers import encode_outcome
from chestnuthall.adapters.clock import LoopClock
from chestnuthall.adapters.documents import JsonPartitionCodec, read_environment
from chestnuthall.adapters.http import HttpRequest
from chestnuthall.adapters.metrics import NullMetrics
from chestnuthall.adapters.searchapi import SearchCaller, encode_call
from chestnuthall.core.claims import LedgerSettings
from chestnuthall.core.model import (
    Answer,
    Configuration,
    EnvironmentDocument,
    PartitionMap,
    SearchRequest,
    ShardCall,
)
from chestnuthall.core.quarantine import QuarantineRegistry, QuarantineSettings
from chestnuthall.core.results import INVALID_REQUEST
from chestnuthall.services import (
    Admissions,
    ClaimLedger,
    ConfigurationManager,
    Directory,
    InstanceIdentity,
    QueryService,
)
from chestnuthall.standins.fleet import FleetPlan, GroupPlan, LocalFleet

Figures = dict[str, float]

FAN_OUTS = (1, 5, 10, 20)
N_HITS_MAX = 10
N_ROUNDS = 8
DOCUMENT_TEXT = """
{
  "classes": {"planner": {"share": 1, "deadline_ms": 60000}},
  "groups": {"g": {"n_slots": 64, "n_connections_max": 64}}
}
"""


class _BareClient(asyncio.Protocol):
    """Minimal h11 client that performs one exchange at a time."""

    def __init__(self) -> None:
        self._h11 = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._done: asyncio.Future[bytes] | None = None
        self._body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to h11; called by the event loop."""
        self._h11.receive_data(data)
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                return
            if isinstance(event, h11.Data):
                self._body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._h11.start_next_cycle()
                assert self._done is not None
                self._done.set_result(self._body)
                return

    async def exchange(self, request: HttpRequest) -> object:
        """Send a request and return the decoded body of its response."""
        assert self._transport is not None
        self._body = b""
        self._done = asyncio.get_running_loop().create_future()
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=[
                (b"host", b"127.0.0.1"),
                *request.headers.items(),
                (b"content-length", b"%d" % len(request.body)),
            ],
        )
        data = self._h11.send(head) or b""
        data += self._h11.send(h11.Data(data=request.body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self._transport.write(data)
        return json.loads(await self._done)

    def close(self) -> None:
        """Close the connection."""
        assert self._transport is not None
        self._transport.close()


def _make_request(number: int, now_ms: float) -> SearchRequest:
    return SearchRequest(
        request_id=f"q{number}",
        class_name="planner",
        group="g",
        arrived_ms=now_ms,
        deadline_ms=now_ms + 60_000.0,
        fingerprint="f",
        query="possession of line seven",
        n_hits_max=N_HITS_MAX,
    )


async def _bare_us_per_exchange(partition_map: PartitionMap, n_queries: int) -> float:
    """Return the processor time of one exchange without the query service, in us.

    As in a query, all shards are called concurrently.
    """
    clock = LoopClock()
    loop = asyncio.get_running_loop()
    connections = []
    for shard in partition_map.shards:
        host, _, port = shard.replicas[0].address.rpartition(":")
        _, connection = await loop.create_connection(_BareClient, host, int(port))
        connections.append((shard, connection))

    async def query(number: int) -> None:
        request = _make_request(number, clock.now_ms())
        await asyncio.gather(
            *(
                connection.exchange(
                    encode_call(
                        ShardCall(
                            f"q{number}",
                            shard.replicas[0],
                            shard.shard_id,
                            1,
                            request.deadline_ms,
                            request,
                        ),
                        60_000.0,
                    )
                )
                for shard, connection in connections
            )
        )

    await query(0)
    started_s = time.process_time()
    for number in range(n_queries):
        await query(number)
    cpu_s = time.process_time() - started_s
    for _, connection in connections:
        connection.close()
    return cpu_s * 1e6 / (n_queries * len(connections))


def _make_query_service(
    partition_map: PartitionMap, document: EnvironmentDocument
) -> tuple[QueryService, SearchCaller]:
    clock = LoopClock()
    identity = InstanceIdentity("entry-0", "", "zone-a")
    store = FixedStore(clock, tuple)
    caller = SearchCaller(clock)
    caller.set_connection_budget("g", 8)
    manager = ConfigurationManager(
        "trial", store, clock, lambda text: INVALID_REQUEST.with_reason("unused")
    )
    directory = Directory(
        store,
        caller,
        clock,
        lambda text: INVALID_REQUEST.with_reason("unused"),
        "zone-a",
        Random(1),
    )
    service = QueryService(
        identity=identity,
        clock=clock,
        metrics=NullMetrics(),
        caller=caller,
        directory=directory,
        configuration=manager,
        admissions=Admissions(clock),
        ledger=ClaimLedger(store, clock, JsonPartitionCodec(), LedgerSettings()),
        quarantine=QuarantineRegistry(QuarantineSettings()),
    )
    directory.add_map(partition_map)
    manager.offer(
        Configuration(
            environment="trial", revision=1, digest="", text="", document=document
        ),
        "benchmark",
    )
    return service, caller


async def _service_us_per_query(
    partition_map: PartitionMap, document: EnvironmentDocument, n_queries: int
) -> float:
    service, caller = _make_query_service(partition_map, document)
    clock = LoopClock()
    for number in range(10):
        outcome = await service.serve(_make_request(number, clock.now_ms()))
        if not isinstance(outcome, Answer):
            raise RuntimeError(f"warm-up query failed: {outcome.failure.reason}")
    started_s = time.process_time()
    for number in range(n_queries):
        encode_outcome(await service.serve(_make_request(number, clock.now_ms())))
    cpu_s = time.process_time() - started_s
    caller.close()
    return cpu_s * 1e6 / n_queries


def _slope_and_intercept(points: list[tuple[float, float]]) -> tuple[float, float]:
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    numerator = sum((x - mean_x) * (y - mean_y) for x, y in points)
    denominator = sum((x - mean_x) ** 2 for x, _ in points)
    slope = numerator / denominator
    return slope, mean_y - slope * mean_x


async def _minimum_over_rounds(
    partition_map: PartitionMap, document: EnvironmentDocument, n_queries: int
) -> tuple[float, float]:
    """Return the minimum of several interleaved rounds.

    Other work on the machine only ever adds time, so the minimum is the best
    estimate of the cost of the code.
    """
    n_queries_per_round = max(1, n_queries // N_ROUNDS)
    bare_us = []
    query_us = []
    for _ in range(N_ROUNDS):
        bare_us.append(await _bare_us_per_exchange(partition_map, n_queries_per_round))
        query_us.append(
            await _service_us_per_query(partition_map, document, n_queries_per_round)
        )
    return min(bare_us), min(query_us)


async def _measure(n_queries: int) -> Figures:
    document = read_environment(DOCUMENT_TEXT)
    if not isinstance(document, EnvironmentDocument):
        raise RuntimeError(document.reason)
    plan = FleetPlan(
        groups=(
            GroupPlan(
                name="g",
                n_shards=max(FAN_OUTS),
                n_replicas=1,
                n_slots=64,
                service_ms=0.0,
            ),
        ),
        document_text=DOCUMENT_TEXT,
        n_instances=0,
    )
    figures: Figures = {}
    points = []
    async with LocalFleet(plan) as fleet:
        full_map = fleet.partition_maps["g"]
        for fan_out in FAN_OUTS:
            partial_map = replace(full_map, shards=full_map.shards[:fan_out])
            bare_us, query_us = await _minimum_over_rounds(
                partial_map, document, n_queries
            )
            figures[f"bare_us_per_exchange_{fan_out}"] = bare_us
            figures[f"service_us_per_call_{fan_out}"] = query_us / fan_out
            figures[f"ratio_{fan_out}"] = query_us / fan_out / bare_us
            points.append((float(fan_out), query_us))
    slope_us, intercept_us = _slope_and_intercept(points)
    figures["us_per_shard_call_slope"] = slope_us
    figures["us_per_query_intercept"] = intercept_us
    return figures


def measure_processor_time(n_queries: int = 800) -> Figures:
    """Return the processor time per exchange, call and query, in microseconds.

    Only the time of this process counts; the upstream stand-ins run in separate
    processes. Each shard answer has ten hits.
    """
    return asyncio.run(_measure(n_queries))
