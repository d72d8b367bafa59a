"""Processor time per shard call in the services: ``python -m benchmarks.processor``.

No sockets are used: the shard caller answers after a sleep of 1 ms in virtual time.
The bare figure is the time of the same calls without the services.
"""

import asyncio
import cProfile
import pstats
import time
from dataclasses import replace

from cyclopts import run

from benchmarks._deployments import DERWENT, N_DOCUMENTS_PER_SHARD, GroupSize
from benchmarks._fleet import VirtualFleet
from chestnuthall.core.model import Hit, SearchRequest, ShardAnswer, ShardCall
from chestnuthall.standins.virtual_time import run_virtual


class EchoCaller:
    """Shard caller that answers every call after 1 ms of virtual time."""

    async def call(self, call: ShardCall) -> ShardAnswer:
        """Return an answer with one hit."""
        await asyncio.sleep(0.001)
        return ShardAnswer(
            call.call_id,
            call.shard_id,
            call.snapshot_id,
            (Hit(call.shard_id, 0.5, ""),),
            N_DOCUMENTS_PER_SHARD,
        )


async def _measure(n_shards: int, n_queries: int, profile: bool) -> tuple[float, float]:
    size = GroupSize("wide", n_shards, 3, 3, 30, 1.0)
    fleet = VirtualFleet(replace(DERWENT, groups=(size,), n_instances=1), seed=1)
    await fleet.start()
    (instance,) = fleet.instances
    echo = EchoCaller()
    instance.query._caller = echo
    profiler = cProfile.Profile()
    if profile:
        profiler.enable()
    started_s = time.process_time()
    for number in range(n_queries):
        await instance.query.serve(_make_request(number, fleet.clock.now_ms()))
    served_cpu_s = time.process_time() - started_s
    if profile:
        profiler.disable()
        pstats.Stats(profiler).sort_stats("tottime").print_stats(15)
    partition_map = fleet.upstreams.published_maps["wide"]
    started_s = time.process_time()
    for number in range(n_queries):
        request = _make_request(number, fleet.clock.now_ms())
        await asyncio.gather(
            *(
                echo.call(
                    ShardCall("c", shard.replicas[0], shard.shard_id, 1, 0.0, request)
                )
                for shard in partition_map.shards
            )
        )
    bare_cpu_s = time.process_time() - started_s
    await fleet.stop()
    n_calls = n_shards * n_queries
    return 1e6 * served_cpu_s / n_calls, 1e6 * bare_cpu_s / n_calls


def _make_request(number: int, now_ms: float) -> SearchRequest:
    return SearchRequest(
        request_id=f"q{number}",
        class_name="urgent",
        group="wide",
        arrived_ms=now_ms,
        deadline_ms=now_ms + 1_000.0,
        fingerprint=f"f{number}",
        query="x",
        n_hits_max=10,
    )


def main(*, profile: bool = False) -> None:
    """Print the processor time per shard call for several numbers of shards."""
    for n_shards, n_queries in ((10, 300), (100, 40), (1800, 4)):
        served_us, bare_us = run_virtual(_measure(n_shards, n_queries, profile))
        print(
            f"shards {n_shards:5}  served {served_us:.1f} us/call  "
            f"bare {bare_us:.1f} us/call"
        )


if __name__ == "__main__":
    run(main)
