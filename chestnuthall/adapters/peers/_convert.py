"""Conversion between the peer messages of the ports and of protobuf."""

from chestnuthall.adapters.peers._generated import peers_pb2 as pb
from chestnuthall.ports import (
    ClassUse,
    DrainNotice,
    MemberUpdate,
    PeerDigest,
    QuarantineNotice,
)


def digest_to_proto(digest: PeerDigest) -> pb.PeerDigest:
    """Return the protobuf message of a digest."""
    return pb.PeerDigest(
        sender=digest.sender,
        sender_address=digest.sender_address,
        incarnation=digest.incarnation,
        configuration_revision=digest.configuration_revision,
        configuration_digest=digest.configuration_digest,
        members=[_member_to_proto(item) for item in digest.members],
        uses=[_usage_to_proto(item) for item in digest.uses],
        drains=[
            pb.DrainNotice(
                replica_name=item.replica_name,
                expires_in_ms=item.expires_in_ms,
                sequence=item.sequence,
                signal=item.signal,
                is_over=item.is_over,
            )
            for item in digest.drains
        ],
        quarantines=[
            pb.QuarantineNotice(
                fingerprint=item.fingerprint,
                replica_names=item.replica_names,
                expires_in_ms=item.expires_in_ms,
                sequence=item.sequence,
            )
            for item in digest.quarantines
        ],
    )


def _member_to_proto(item: MemberUpdate) -> pb.MemberUpdate:
    return pb.MemberUpdate(
        name=item.name,
        address=item.address,
        zone=item.zone,
        state=item.state,
        incarnation=item.incarnation,
    )


def _usage_to_proto(item: ClassUse) -> pb.ClassUse:
    return pb.ClassUse(
        instance=item.instance,
        incarnation=item.incarnation,
        sequence=item.sequence,
        group=item.group,
        class_name=item.class_name,
        served_cost=item.served_cost,
        demand_cost=item.demand_cost,
    )


def digest_from_proto(message: pb.PeerDigest) -> PeerDigest:
    """Return the digest that a protobuf message encodes."""
    return PeerDigest(
        sender=message.sender,
        sender_address=message.sender_address,
        incarnation=message.incarnation,
        configuration_revision=message.configuration_revision,
        configuration_digest=message.configuration_digest,
        members=tuple(
            MemberUpdate(
                item.name, item.address, item.zone, item.state, item.incarnation
            )
            for item in message.members
        ),
        uses=tuple(_usage_from_proto(item) for item in message.uses),
        drains=tuple(
            DrainNotice(
                item.replica_name,
                item.expires_in_ms,
                item.sequence,
                item.signal,
                item.is_over,
            )
            for item in message.drains
        ),
        quarantines=tuple(
            QuarantineNotice(
                item.fingerprint,
                tuple(item.replica_names),
                item.expires_in_ms,
                item.sequence,
            )
            for item in message.quarantines
        ),
    )


def _usage_from_proto(item: pb.ClassUse) -> ClassUse:
    return ClassUse(
        instance=item.instance,
        incarnation=item.incarnation,
        sequence=item.sequence,
        group=item.group,
        class_name=item.class_name,
        served_cost=item.served_cost,
        demand_cost=item.demand_cost,
    )
