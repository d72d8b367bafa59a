"""What an instance knows about one replica from its own calls."""

from dataclasses import dataclass, field
from math import exp

# Weight of the newest latency in the moving average: high enough to notice a
# slowed replica within a few calls.
LATENCY_WEIGHT = 0.3
# A replica that is not called any more gives no news. Its excess latency is
# forgotten at this rate, so that a slow stretch of seconds is not held against
# it for long.
FORGET_EXCESS_MS = 1_000.0
# How long "does not hold the snapshot" keeps calls away. A replica that is not
# called cannot state that it has loaded the snapshot since.
NOT_HELD_TRUSTED_MS = 2_000.0


@dataclass(frozen=True, slots=True)
class InFlight:
    """A call that runs; ``scale`` is its usual time over that of the reference."""

    started_ms: float
    scale: float


@dataclass(slots=True)
class ReplicaState:
    """Local view of one replica; platform load reports are not part of it.

    ``held_snapshots`` is None until the replica has stated them.
    ``in_flight`` has the calls that have not ended, oldest first. Latencies
    are in the time of the reference work; see ``Router``.
    """

    name: str
    latency_ms: float | None = None
    updated_ms: float = 0.0
    in_flight: list[InFlight] = field(default_factory=list)
    held_snapshots: frozenset[int] | None = None
    held_stated_ms: float = float("-inf")
    missing_snapshots: dict[int, float] = field(default_factory=dict)
    drained_until_ms: float = float("-inf")
    ejected_until_ms: float = float("-inf")
    ramp_from_ms: float = float("-inf")
    n_failures_in_row: int = 0

    @property
    def n_in_flight(self) -> int:
        """Calls of this instance that the replica has not ended."""
        return len(self.in_flight)

    def observe_latency(self, latency_ms: float, now_ms: float) -> None:
        """Fold one latency into the moving average."""
        self.updated_ms = now_ms
        if self.latency_ms is None:
            self.latency_ms = latency_ms
            return
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)

    def raise_latency(self, latency_ms: float, now_ms: float) -> None:
        """Note that the replica takes at least this long now."""
        self.updated_ms = now_ms
        if self.latency_ms is None or latency_ms > self.latency_ms:
            self.latency_ms = latency_ms

    def expected_latency_ms(self, typical_ms: float, now_ms: float) -> float:
        """Return the latency to expect, from past calls and those in flight.

        The age of the oldest call in flight is a lower bound for what the
        replica takes now, known long before the call ends.
        """
        latency_ms = typical_ms if self.latency_ms is None else self.latency_ms
        if latency_ms > typical_ms:
            age_ms = now_ms - self.updated_ms
            excess_ms = latency_ms - typical_ms
            latency_ms = typical_ms + excess_ms * exp(-age_ms / FORGET_EXCESS_MS)
        for call in self.in_flight:
            latency_ms = max(latency_ms, (now_ms - call.started_ms) / call.scale)
        return latency_ms

    def holds(self, snapshot_id: int) -> bool:
        """Return whether the replica holds a snapshot, as far as known."""
        if snapshot_id in self.missing_snapshots:
            return False
        return self.held_snapshots is None or snapshot_id in self.held_snapshots

    def may_hold(self, snapshot_id: int, now_ms: float) -> bool:
        """Return whether a call for a snapshot is worth trying."""
        if self.holds(snapshot_id):
            return True
        stated_ms = self.missing_snapshots.get(snapshot_id, self.held_stated_ms)
        return now_ms - stated_ms > NOT_HELD_TRUSTED_MS

    def note_held(self, snapshot_ids: tuple[int, ...], now_ms: float) -> None:
        """Note the snapshots that the replica states."""
        self.held_snapshots = frozenset(snapshot_ids)
        self.held_stated_ms = now_ms
        for snapshot_id in snapshot_ids:
            self.missing_snapshots.pop(snapshot_id, None)

    def record_missing_snapshot(self, snapshot_id: int, now_ms: float) -> None:
        """Note that the replica refused a snapshot.

        What it stated earlier is out of date then, so it may hold a newer one.
        """
        self.missing_snapshots[snapshot_id] = now_ms
        self.held_snapshots = None

    def is_draining(self, now_ms: float) -> bool:
        """Return whether the replica takes no new calls."""
        return now_ms < self.drained_until_ms

    def is_ejected(self, now_ms: float) -> bool:
        """Return whether the replica failed lately and is called last."""
        return now_ms < self.ejected_until_ms
