"""Divides the shards of a search over the instances of the fleet."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace

from chestnuthall.core.fanout import (
    Completion,
    FanOutContext,
    PartialAnswer,
    coverage_of,
    merge_partial_answers,
)
from chestnuthall.core.model import (
    FanOutAccount,
    PartitionMap,
    SearchRequest,
    Shard,
)
from chestnuthall.core.results import (
    COVERAGE_BELOW_FLOOR,
    QUARANTINED,
    SNAPSHOT_GONE,
    Failure,
)
from chestnuthall.core.routing import assign_shards
from chestnuthall.ports import Clock, PeerTransport, ShardSetCall
from chestnuthall.services._directory import Directory
from chestnuthall.services._membership import Membership

RunShards = Callable[
    [SearchRequest, PartitionMap, FanOutContext], Awaitable[Completion]
]
ContextReader = Callable[[str, str], FanOutContext | Failure]
# Time before the deadline that is reserved for the transfer of a peer's answer.
ANSWER_MARGIN_MS = 5.0


@dataclass(frozen=True, slots=True)
class _AssignedShards:
    """The shards assigned to an instance; the address of this instance is None."""

    address: str | None
    shards: tuple[Shard, ...]


class TwoLevelFanOut:
    """Divides searches over peers, and answers peers' calls for shard sets.

    If a peer fails, this instance queries its shards in the remaining time. All
    partial answers are of the pinned snapshot, and their coverage is summed.
    """

    def __init__(
        self,
        membership: Membership,
        peers: PeerTransport,
        clock: Clock,
        directory: Directory,
        run_shards: RunShards,
        read_context: ContextReader,
    ) -> None:
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._directory = directory
        self._run_shards = run_shards
        self._read_context = read_context

    async def complete(
        self,
        request: SearchRequest,
        partition_map: PartitionMap,
        context: FanOutContext,
    ) -> Completion:
        """Run a search over the instances of the fleet."""
        answers = await asyncio.gather(
            *(
                self._run_shard_set(shard_set, request, partition_map, context)
                for shard_set in self._divide(partition_map)
            )
        )
        refused = [
            answer
            for answer in answers
            if isinstance(answer, Failure) and answer.kind is QUARANTINED
        ]
        partials = [answer for answer in answers if isinstance(answer, PartialAnswer)]
        snapshot_id = partition_map.snapshot_id
        merged = merge_partial_answers(partials, snapshot_id, request.n_hits_max)
        failure = refused[0] if refused else _floor_failure(merged, context)
        return Completion(
            failure=failure,
            hits=() if failure else merged.hits,
            coverage=merged.coverage,
            snapshot_id=snapshot_id,
            account=FanOutAccount(n_calls=merged.n_calls),
        )

    def _divide(self, partition_map: PartitionMap) -> list[_AssignedShards]:
        own_name = self._membership.identity.name
        addresses: dict[str, str | None] = {
            member.name: member.address
            for member in self._membership.members()
            if member.state == "alive" and member.incarnation > 0
        }
        addresses[own_name] = None
        shards = {shard.shard_id: shard for shard in partition_map.shards}
        assigned = assign_shards(list(shards), addresses)
        return [
            _AssignedShards(addresses[name], tuple(shards[key] for key in shard_ids))
            for name, shard_ids in assigned.items()
            if shard_ids
        ]

    async def _run_shard_set(
        self,
        shard_set: _AssignedShards,
        request: SearchRequest,
        partition_map: PartitionMap,
        context: FanOutContext,
    ) -> PartialAnswer | Failure:
        sub_map = replace(partition_map, shards=shard_set.shards)
        if shard_set.address is not None:
            answer = await self._query_peer(
                shard_set, shard_set.address, request, sub_map
            )
            if _is_usable(answer, sub_map):
                return answer
        return await self._run_locally(request, sub_map, context)

    async def _query_peer(
        self,
        shard_set: _AssignedShards,
        address: str,
        request: SearchRequest,
        sub_map: PartitionMap,
    ) -> PartialAnswer | Failure:
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        call = ShardSetCall(
            call_id=f"{request.request_id}/{shard_set.shards[0].shard_id}",
            group=request.group,
            class_name=request.class_name,
            snapshot_id=sub_map.snapshot_id,
            shard_ids=tuple(shard.shard_id for shard in shard_set.shards),
            remaining_ms=remaining_ms - ANSWER_MARGIN_MS,
            query=request.query,
            n_hits_max=request.n_hits_max,
            fingerprint=request.fingerprint,
        )
        return await self._peers.query_shards(address, call, remaining_ms)

    async def _run_locally(
        self, request: SearchRequest, sub_map: PartitionMap, context: FanOutContext
    ) -> PartialAnswer | Failure:
        # The coverage floor applies to the merged answer, not to each partial one.
        caller_class = replace(context.caller_class, coverage_floor_ratio=0.0)
        completion = await self._run_shards(
            request, sub_map, replace(context, caller_class=caller_class)
        )
        failure = completion.failure
        if failure is not None and failure.kind is QUARANTINED:
            return failure
        n_calls = completion.account.n_calls
        if failure is not None or completion.snapshot_id != sub_map.snapshot_id:
            no_coverage = coverage_of(sub_map.shards, {})
            return PartialAnswer(sub_map.snapshot_id, (), no_coverage, n_calls)
        return PartialAnswer(
            completion.snapshot_id, completion.hits, completion.coverage, n_calls
        )

    async def answer(self, call: ShardSetCall) -> PartialAnswer | Failure:
        """Answer a peer's call for a set of shards."""
        context = self._read_context(call.class_name, call.group)
        if isinstance(context, Failure):
            return context
        partition_map = self._directory.find_map(call.group, call.snapshot_id)
        if partition_map is None:
            return SNAPSHOT_GONE.with_reason("the peer does not know the snapshot")
        requested = set(call.shard_ids)
        shards = tuple(
            item for item in partition_map.shards if item.shard_id in requested
        )
        now_ms = self._clock.now_ms()
        request = SearchRequest(
            request_id=call.call_id,
            class_name=call.class_name,
            group=call.group,
            arrived_ms=now_ms,
            deadline_ms=now_ms + call.remaining_ms,
            fingerprint=call.fingerprint,
            query=call.query,
            n_hits_max=call.n_hits_max,
        )
        return await self._run_locally(
            request, replace(partition_map, shards=shards), context
        )


def _is_usable(answer: PartialAnswer | Failure, sub_map: PartitionMap) -> bool:
    """Return whether an answer is for exactly the requested shards.

    A refusal by quarantine is final, so it is not run on this instance.
    """
    if isinstance(answer, Failure):
        return answer.kind is QUARANTINED
    coverage = answer.coverage
    return (
        answer.snapshot_id == sub_map.snapshot_id
        and coverage.n_shards_total == len(sub_map.shards)
        and coverage.n_documents_total == _n_documents(sub_map.shards)
    )


def _n_documents(shards: Sequence[Shard]) -> int:
    return sum(shard.n_documents for shard in shards)


def _floor_failure(merged: PartialAnswer, context: FanOutContext) -> Failure | None:
    floor = context.caller_class.coverage_floor_ratio
    ratio = merged.coverage.ratio
    if ratio >= floor:
        return None
    return COVERAGE_BELOW_FLOOR.with_reason(
        f"coverage {ratio:.4f} is below the floor {floor:.4f}"
    )
