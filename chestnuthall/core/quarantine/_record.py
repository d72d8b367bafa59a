"""What the fleet knows of a request that lost replicas."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineRecord:
    """State of one suspected or quarantined request, shared by all instances.

    ``replica_names`` are the losses that count as evidence, ``lost_names`` all of
    them, and ``zones`` and ``shard_ids`` say where they occurred. Replicas of the
    shards ``answered_shard_ids`` have run the request and survived. ``n_retests`` is
    the number of retests that were started since the request was quarantined,
    ``n_probes`` that of the probes that were claimed before, and
    ``n_unanswered_probes`` that of those that no replica answered.
    """

    fingerprint: str
    replica_names: frozenset[str] = frozenset()
    lost_names: frozenset[str] = frozenset()
    zones: frozenset[str] = frozenset()
    shard_ids: frozenset[str] = frozenset()
    answered_shard_ids: frozenset[str] = frozenset()
    is_quarantined: bool = False
    n_retests: int = 0
    n_probes: int = 0
    n_unanswered_probes: int = 0

    def merged_with(self, other: "QuarantineRecord") -> "QuarantineRecord":
        """Return the record with what either of two instances knows."""
        return QuarantineRecord(
            fingerprint=self.fingerprint,
            replica_names=self.replica_names | other.replica_names,
            lost_names=self.lost_names | other.lost_names,
            zones=self.zones | other.zones,
            shard_ids=self.shard_ids | other.shard_ids,
            answered_shard_ids=self.answered_shard_ids | other.answered_shard_ids,
            is_quarantined=self.is_quarantined or other.is_quarantined,
            n_retests=max(self.n_retests, other.n_retests),
            n_probes=max(self.n_probes, other.n_probes),
            n_unanswered_probes=max(
                self.n_unanswered_probes, other.n_unanswered_probes
            ),
        )
