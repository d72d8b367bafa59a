"""JSON encoding of the partition maps that the index builder publishes."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chestnuthall.core.model import KeyRange, PartitionMap, Replica, Shard
from chestnuthall.core.results import INVALID_REQUEST, Failure


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ReplicaModel(_Model):
    """One replica of a shard."""

    name: str
    address: str
    zone: str


class ShardModel(_Model):
    """One shard; an empty ``end`` leaves its key range without an upper bound."""

    shard_id: str
    start: str
    end: str
    n_documents: Annotated[int, Field(ge=0)]
    replicas: tuple[ReplicaModel, ...]

    def to_core(self) -> Shard:
        """Return the shard as a core data class."""
        replicas = tuple(Replica(r.name, r.address, r.zone) for r in self.replicas)
        key_range = KeyRange(self.start, self.end)
        return Shard(self.shard_id, key_range, self.n_documents, replicas)


class PartitionMapModel(_Model):
    """Value of a ``partition-maps`` object."""

    group: str
    snapshot_id: Annotated[int, Field(ge=1)]
    shards: Annotated[tuple[ShardModel, ...], Field(min_length=1)]

    def to_core(self) -> PartitionMap:
        """Return the map as a core data class."""
        shards = tuple(shard.to_core() for shard in self.shards)
        return PartitionMap(self.group, self.snapshot_id, shards)


def read_partition_map(text: str | bytes) -> PartitionMap | Failure:
    """Validate a partition map and return it as a core data class."""
    try:
        return PartitionMapModel.model_validate_json(text).to_core()
    except ValidationError as error:
        return INVALID_REQUEST.with_reason(str(error))


def encode_partition_map(partition_map: PartitionMap) -> str:
    """Return the text that is stored."""
    shards = tuple(
        ShardModel(
            shard_id=shard.shard_id,
            start=shard.key_range.start,
            end=shard.key_range.end,
            n_documents=shard.n_documents,
            replicas=tuple(
                ReplicaModel(name=r.name, address=r.address, zone=r.zone)
                for r in shard.replicas
            ),
        )
        for shard in partition_map.shards
    )
    model = PartitionMapModel(
        group=partition_map.group, snapshot_id=partition_map.snapshot_id, shards=shards
    )
    return model.model_dump_json()
