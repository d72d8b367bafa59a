"""What varies with the kind of request in a fan-out."""

from functools import singledispatch

from chestnuthall.core.model import (
    LookupRequest,
    MutationRequest,
    PartitionMap,
    Request,
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


@singledispatch
def n_hits_wanted(request: Request) -> int | None:
    """Return how many merged hits an answer has at most; None is no bound."""
    return None


@n_hits_wanted.register
def _(request: SearchRequest) -> int | None:
    return request.n_hits_max
