"""What varies with the kind of request in a fan-out."""

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
    """Return the shards that a request has to reach."""
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
    """Return the name of the kind of call that the router tells apart."""
    return ""


@call_type_of.register
def _(request: RelayedRequest) -> str:
    return request.class_name


@singledispatch
def open_shard(request: Request, progress: ShardProgress) -> Shard:
    """Return the shard with the replicas that may be sent its next call."""
    return progress.shard


@open_shard.register
def _(request: RelayedRequest, progress: ShardProgress) -> Shard:
    if len(progress.sent_names) < request.n_replicas_max:
        return progress.shard
    sent = tuple(
        item for item in progress.shard.replicas if item.name in progress.sent_names
    )
    return replace(progress.shard, replicas=sent)


@singledispatch
def n_hits_wanted(request: Request) -> int | None:
    """Return how many merged hits an answer has at most; None is no bound."""
    return None


@n_hits_wanted.register
def _(request: SearchRequest) -> int | None:
    return request.n_hits_max
