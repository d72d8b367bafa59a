"""What an instance knows about one replica from its own calls."""

from dataclasses import dataclass, field

# Weight of the newest latency in the moving average: high enough to notice a
# slowed replica within a few calls.
LATENCY_WEIGHT = 0.3


@dataclass(slots=True)
class ReplicaState:
    """Local view of one replica; platform load reports are not part of it.

    ``held_snapshots`` is None until the replica has stated them.
    """

    name: str
    latency_ms: float | None = None
    n_in_flight: int = 0
    held_snapshots: frozenset[int] | None = None
    missing_snapshots: set[int] = field(default_factory=set)
    drained_until_ms: float = float("-inf")
    avoided_until_ms: float = float("-inf")
    n_failures_in_row: int = 0

    def observe_latency(self, latency_ms: float) -> None:
        """Fold one latency into the moving average."""
        if self.latency_ms is None:
            self.latency_ms = latency_ms
            return
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)

    def holds(self, snapshot_id: int) -> bool:
        """Return whether the replica may serve a snapshot, as far as known."""
        if snapshot_id in self.missing_snapshots:
            return False
        return self.held_snapshots is None or snapshot_id in self.held_snapshots

    def is_draining(self, now_ms: float) -> bool:
        """Return whether the replica takes no new calls."""
        return now_ms < self.drained_until_ms

    def is_avoided(self, now_ms: float) -> bool:
        """Return whether the replica failed lately and is called last."""
        return now_ms < self.avoided_until_ms
