"""Behaviour of a fan-out that depends on the kind of request."""

from dataclasses import replace
from functools import singledispatch

from chestnuthall.core.fanout._progress import ShardProgress
from chestnuthall.core.model import (
    LookupRequest,
    MutationRequest,
    PartitionMap,
    RelayedRequest,
    Request,
    ScatterRequest,
    SearchRequest,
    Shard,
)


@singledispatch
def target_shards(request: Request, partition_map: PartitionMap) -> tuple[Shard, ...]:
    """Return the shards that the request has to reach."""
    raise TypeError(f"not a request: {type(request).__name__}")


@target_shards.register
def _(request: SearchRequest, partition_map: PartitionMap) -> tuple[Shard, ...]:
    return partition_map.shards


@target_shards.register(LookupRequest)
@target_shards.register(MutationRequest)
def _(
    request: LookupRequest | MutationRequest, partition_map: PartitionMap
) -> tuple[Shard, ...]:
    shard = partition_map.shard_for_key(request.key)
    return () if shard is None else (shard,)


@target_shards.register
def _(request: RelayedRequest, partition_map: PartitionMap) -> tuple[Shard, ...]:
    return partition_map.shards


@target_shards.register
def _(request: ScatterRequest, partition_map: PartitionMap) -> tuple[Shard, ...]:
    if not request.shard_ids:
        return partition_map.shards
    return tuple(
        shard for shard in partition_map.shards if shard.shard_id in request.shard_ids
    )


@singledispatch
def call_type_of(request: Request) -> str:
    """Return the label of the kind of call, for the router's latency statistics."""
    return ""


@call_type_of.register
def _(request: RelayedRequest) -> str:
    return request.class_name


@singledispatch
def with_eligible_replicas(request: Request, progress: ShardProgress) -> Shard:
    """Return the shard with only the replicas that may get its next call."""
    return progress.shard


@with_eligible_replicas.register
def _(request: RelayedRequest, progress: ShardProgress) -> Shard:
    if len(progress.contacted_names) < request.n_replicas_max:
        return progress.shard
    contacted = tuple(
        item
        for item in progress.shard.replicas
        if item.name in progress.contacted_names
    )
    return replace(progress.shard, replicas=contacted)


@singledispatch
def n_hits_wanted(request: Request) -> int | None:
    """Return the maximum number of merged hits, or None for no limit."""
    return None


@n_hits_wanted.register
def _(request: SearchRequest) -> int | None:
    return request.n_hits_max
