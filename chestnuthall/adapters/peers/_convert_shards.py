"""Conversion between the shard set messages of the ports and of protobuf."""

from chestnuthall.adapters.peers._generated import peers_pb2 as pb
from chestnuthall.core.fanout import PartialAnswer
from chestnuthall.core.model import Coverage, Hit, KeyRange
from chestnuthall.core.results import INTERNAL_ERROR, Failure, failure_kind_from_code
from chestnuthall.ports import ShardSetCall


def call_to_proto(call: ShardSetCall) -> pb.ShardSetCall:
    """Return the protobuf message of a call for a set of shards."""
    return pb.ShardSetCall(
        call_id=call.call_id,
        group=call.group,
        class_name=call.class_name,
        snapshot_id=call.snapshot_id,
        shard_ids=call.shard_ids,
        remaining_ms=call.remaining_ms,
        query=call.query,
        n_hits_max=call.n_hits_max,
        fingerprint=call.fingerprint,
    )


def call_from_proto(message: pb.ShardSetCall) -> ShardSetCall:
    """Return the call that a protobuf message encodes."""
    return ShardSetCall(
        call_id=message.call_id,
        group=message.group,
        class_name=message.class_name,
        snapshot_id=message.snapshot_id,
        shard_ids=tuple(message.shard_ids),
        remaining_ms=message.remaining_ms,
        query=message.query,
        n_hits_max=message.n_hits_max,
        fingerprint=message.fingerprint,
    )


def answer_to_proto(call_id: str, answer: PartialAnswer | Failure) -> pb.ShardSetAnswer:
    """Return the protobuf message of a partial answer or a failure."""
    if isinstance(answer, Failure):
        return pb.ShardSetAnswer(
            call_id=call_id, failure_code=int(answer.code), reason=answer.reason
        )
    coverage = answer.coverage
    return pb.ShardSetAnswer(
        call_id=call_id,
        snapshot_id=answer.snapshot_id,
        hits=[
            pb.Hit(key=hit.key, score=hit.score, record=hit.record)
            for hit in answer.hits
        ],
        n_documents_covered=coverage.n_documents_covered,
        n_documents_total=coverage.n_documents_total,
        n_shards_covered=coverage.n_shards_covered,
        n_shards_total=coverage.n_shards_total,
        n_calls=answer.n_calls,
        missing_ranges=[
            pb.KeyRange(start=item.start, end=item.end)
            for item in coverage.missing_ranges
        ],
    )


def answer_from_proto(message: pb.ShardSetAnswer) -> PartialAnswer | Failure:
    """Return the partial answer or failure that a protobuf message encodes."""
    if message.failure_code:
        kind = failure_kind_from_code(message.failure_code) or INTERNAL_ERROR
        return kind.with_reason(message.reason)
    return PartialAnswer(
        message.snapshot_id,
        tuple(Hit(item.key, item.score, item.record) for item in message.hits),
        Coverage(
            message.n_documents_covered,
            message.n_documents_total,
            message.n_shards_covered,
            message.n_shards_total,
            tuple(KeyRange(item.start, item.end) for item in message.missing_ranges),
        ),
        message.n_calls,
    )
