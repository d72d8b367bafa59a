"""Memory per item of the state of an instance."""

import asyncio
import gc
import tracemalloc
from collections.abc import Callable
from random import Random

from chestnuthall.adapters.http import (
    ClientConnection,
    HttpRequest,
    HttpResponse,
    HttpServer,
    connect,
)
from chestnuthall.core.admission import AdmissionQueue, Arrive
from chestnuthall.core.claims import ClaimEntry
from chestnuthall.core.model import CallerClass, KeyRange, Replica, Shard, ShardAnswer
from chestnuthall.core.quarantine import QuarantineRegistry, QuarantineSettings
from chestnuthall.core.routing import Router, RouterSettings

Figures = dict[str, float]


def _bytes_per_item(make_item: Callable[[int], object], n_items: int) -> float:
    """Return the mean number of traced bytes allocated per item."""
    items: list[object] = []
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for index in range(n_items):
        items.append(make_item(index))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / n_items


def _caller_class(name: str) -> CallerClass:
    return CallerClass(
        name=name,
        share=1.0,
        urgency=0,
        coverage_floor_ratio=0.0,
        deadline_ms=1e9,
        n_queued_max=10**9,
    )


def _replica_state_bytes(n_items: int) -> float:
    router = Router(RouterSettings(), Random(1))

    def make_item(index: int) -> object:
        replica = Replica(f"replica-{index}", f"10.0.0.1:{index}", "zone-a")
        router.on_started(replica, 0.0)
        answer = ShardAnswer("q.1", "s", 2, (), 10, held_snapshots=(1, 2))
        router.on_answered(replica, 0.0, answer, 5.0)
        return None

    return _bytes_per_item(make_item, n_items)


def _map_bytes_per_replica(n_items: int) -> float:
    def make_item(index: int) -> object:
        return Shard(
            f"s{index}",
            KeyRange(f"{index}", f"{index + 1}"),
            1000,
            tuple(
                Replica(f"group-{index}-{n}", f"10.0.{index}.{n}:8000", "zone-a")
                for n in range(3)
            ),
        )

    return _bytes_per_item(make_item, n_items) / 3


def _queued_query_bytes(n_items: int) -> float:
    queue = AdmissionQueue((_caller_class("c"),), 1.0)
    queue.handle(Arrive(0.0, "first", "c", "search", 1.0, 1e9))

    def make_item(index: int) -> object:
        return queue.handle(Arrive(0.0, f"t{index}", "c", "search", 10.0, 1e9 + index))

    return _bytes_per_item(make_item, n_items)


def _class_bytes(n_items: int) -> float:
    queues: list[AdmissionQueue] = []

    def make_item(index: int) -> object:
        queues.append(AdmissionQueue((_caller_class(f"c{index}"),), 1.0))
        return None

    return _bytes_per_item(make_item, n_items)


def _suspicion_bytes(n_items: int) -> float:
    registry = QuarantineRegistry(QuarantineSettings(n_fingerprints_max=10**6))

    def make_item(index: int) -> object:
        registry.merge(f"{index:016x}", (f"replica-{index}",), 1e9, 0.0)
        return None

    return _bytes_per_item(make_item, n_items)


def _claim_entry_bytes(n_items: int) -> float:
    entries: dict[str, ClaimEntry] = {}

    def make_item(index: int) -> object:
        entries[f"key-{index:012d}"] = ClaimEntry(f"{index:016x}", float(index))
        return None

    return _bytes_per_item(make_item, n_items)


async def _connection_bytes(n_items: int) -> tuple[float, float]:
    """Return the bytes per client connection and per server connection."""

    async def handle(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200)

    server = HttpServer(handle)
    port = await server.start("127.0.0.1", 0)
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    connections = [
        item
        for item in [await connect(f"127.0.0.1:{port}", 5000.0) for _ in range(n_items)]
        if isinstance(item, ClientConnection)
    ]
    for connection in connections:
        await connection.request(HttpRequest("GET", "/"))
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for connection in connections:
        connection.close()
    await server.close()
    pair_bytes = (after - before) / n_items
    return pair_bytes / 2, pair_bytes / 2


def measure_memory() -> Figures:
    """Return the bytes per item for each kind of item.

    Client and server connections have similar state and share one process here, so
    each counts as half of a pair. Kernel buffers are not included.
    """
    client, server = asyncio.run(_connection_bytes(200))
    return {
        "bytes_per_replica_in_map": _map_bytes_per_replica(2000),
        "bytes_per_replica_state": _replica_state_bytes(2000),
        "bytes_per_queued_query": _queued_query_bytes(2000),
        "bytes_per_class_queue": _class_bytes(500),
        "bytes_per_suspicion": _suspicion_bytes(2000),
        "bytes_per_claim_entry": _claim_entry_bytes(5000),
        "bytes_per_upstream_connection": client,
        "bytes_per_caller_connection": server,
    }
