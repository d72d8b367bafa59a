"""Baseline query service that the policies are compared with.

It has no admission control: requests are sent on arrival, first in first out. Each
shard call goes to a random replica; after a failure or a fixed timeout it is retried
once, again at a random replica. There is no hedging.
"""

import asyncio
from random import Random

from benchmarks._fleet import VirtualFleet, VirtualInstance
from chestnuthall.core.fanout import coverage_of, merge_hits, target_shards
from chestnuthall.core.model import (
    Account,
    Answer,
    FanOutAccount,
    PartitionMap,
    Request,
    Shard,
    ShardAnswer,
    ShardCall,
    request_kind,
)
from chestnuthall.core.results import ResultCode
from chestnuthall.ports import ShardCaller
from chestnuthall.services._admission import unqueued_account

FIXED_TIMEOUT_MS = 250.0
N_ATTEMPTS = 2


class BaselineQuery:
    """Replacement for ``QueryService`` without any policy."""

    def __init__(self, fleet: VirtualFleet, caller: ShardCaller, instance: str) -> None:
        self._fleet = fleet
        self._caller = caller
        self._instance = instance
        self._random = Random(f"{fleet.seed}/baseline/{instance}")

    async def serve(self, request: Request) -> Answer:
        """Call every target shard and merge the answers received."""
        partition_map = self._fleet.upstreams.published_maps[request.group]
        shards = target_shards(request, partition_map)
        answers = await asyncio.gather(
            *(self._call(request, partition_map, shard) for shard in shards)
        )
        answers_by_shard = {item.shard_id: item for item in answers if item is not None}
        coverage = coverage_of(shards, answers_by_shard)
        code = ResultCode.OK if coverage.is_full else ResultCode.OK_PARTIAL
        return Answer(
            request_id=request.request_id,
            result_code=code,
            hits=merge_hits(answers_by_shard.values(), None),
            coverage=coverage,
            snapshot_id=partition_map.snapshot_id,
            configuration_revision=1,
            account=self._account(request, len(shards), code, coverage.ratio),
        )

    async def _call(
        self, request: Request, partition_map: PartitionMap, shard: Shard
    ) -> ShardAnswer | None:
        for attempt in range(N_ATTEMPTS):
            now_ms = self._fleet.clock.now_ms()
            call = ShardCall(
                call_id=f"{request.request_id}.{shard.shard_id}.{attempt}",
                replica=self._random.choice(shard.replicas),
                shard_id=shard.shard_id,
                snapshot_id=partition_map.snapshot_id,
                deadline_ms=min(request.deadline_ms, now_ms + FIXED_TIMEOUT_MS),
                request=request,
            )
            result = await self._caller.call(call)
            if isinstance(result, ShardAnswer):
                return result
        return None

    def _account(
        self, request: Request, n_calls: int, code: ResultCode, ratio: float
    ) -> Account:
        return Account(
            request_id=request.request_id,
            instance=self._instance,
            zone="",
            class_name=request.class_name,
            kind=request_kind(request),
            group=request.group,
            arrived_wall_ms=request.arrived_ms,
            admitted_wall_ms=request.arrived_ms,
            finished_wall_ms=self._fleet.clock.now_ms(),
            deadline_in_ms=request.deadline_ms - request.arrived_ms,
            admission=unqueued_account(),
            fan_out=FanOutAccount(n_calls=n_calls),
            coverage_ratio=ratio,
            snapshot_id=1,
            configuration_revision=1,
            result_code=int(code),
        )


def use_baseline(fleet: VirtualFleet) -> None:
    """Replace the query service of every instance with the baseline."""
    for instance in fleet.instances:
        _replace_query_service(fleet, instance)


def _replace_query_service(fleet: VirtualFleet, instance: VirtualInstance) -> None:
    instance.query = BaselineQuery(fleet, instance.caller, instance.name)
