"""State of one replica, as an instance derives it from its own calls."""

from dataclasses import dataclass, field
from math import exp

# Weight of the newest latency in the moving average, high enough to detect a slowed
# replica within a few calls.
LATENCY_WEIGHT = 0.3
# Bounds of the time constant with which the excess latency of a replica decays between
# calls. A replica that is not called provides no samples, and without the decay a few
# slow seconds would keep calls away from it for long.
EXCESS_DECAY_MIN_MS = 1_000.0
EXCESS_DECAY_MAX_MS = 8_000.0
# Calls to a shard during the time constant. With fewer, an instance that calls a shard
# rarely would return to a slow replica with nearly every call.
N_CALLS_EXCESS_DECAY = 5.0
# Weight of the newest gap between two choices.
GAP_WEIGHT = 0.2
GAP_MIN_MS = 100.0
GAP_MAX_MS = EXCESS_DECAY_MAX_MS / N_CALLS_EXCESS_DECAY
# How long a replica that lacks a snapshot gets no calls for it. Without any calls it
# could not report that it has loaded the snapshot since.
MISSING_SNAPSHOT_TRUSTED_MS = 2_000.0


@dataclass(frozen=True, slots=True)
class InFlight:
    """A call in flight.

    ``scale`` is the ratio of the typical latency of its kind of call to the
    reference latency; see ``Router``.
    """

    started_ms: float
    scale: float


@dataclass(slots=True)
class ChoiceGap:
    """Mean time between two choices of a replica of one shard."""

    last_ms: float
    mean_ms: float = 0.0

    def observe(self, now_ms: float) -> float:
        """Record a choice and return the mean before it.

        Choices of a retry or a hedge follow the first one within milliseconds and are
        not counted.
        """
        mean_ms = self.mean_ms
        gap_ms = now_ms - self.last_ms
        if gap_ms >= GAP_MIN_MS:
            self.last_ms = now_ms
            self.mean_ms += GAP_WEIGHT * (min(gap_ms, GAP_MAX_MS) - mean_ms)
        return mean_ms


@dataclass(slots=True)
class ReplicaState:
    """Local view of one replica, without load reports of the platform.

    ``held_snapshots`` is None until the replica has reported them. ``in_flight``
    are the calls that have not ended, oldest first. ``refuses_until_ms`` is the end of
    a penalty after calls that could not be sent to the replica. Latencies are scaled
    to the reference kind of call; see ``Router``. ``call_gap_ms`` is the mean time
    between two calls to the shard, at the last choice of the replica.
    ``last_resort_until_ms`` is the time until which the replica, while it drains, is
    called if all replicas of its shard do.
    """

    name: str
    latency_ms: float | None = None
    updated_ms: float = 0.0
    in_flight: list[InFlight] = field(default_factory=list)
    held_snapshots: frozenset[int] | None = None
    held_reported_ms: float = float("-inf")
    missing_snapshots: dict[int, float] = field(default_factory=dict)
    drained_until_ms: float = float("-inf")
    last_resort_until_ms: float = float("-inf")
    penalised_until_ms: float = float("-inf")
    refuses_until_ms: float = float("-inf")
    ramp_started_ms: float = float("-inf")
    n_failures_in_row: int = 0
    n_slow_in_row: int = 0
    call_gap_ms: float = 0.0

    @property
    def n_in_flight(self) -> int:
        """Number of this instance's calls in flight to the replica."""
        return len(self.in_flight)

    def observe_latency(
        self, latency_ms: float, now_ms: float, slow_ms: float = float("inf")
    ) -> None:
        """Add one latency to the moving average; from ``slow_ms`` on it is slow."""
        self.updated_ms = now_ms
        self.n_slow_in_row = self.n_slow_in_row + 1 if latency_ms >= slow_ms else 0
        if self.latency_ms is None:
            self.latency_ms = latency_ms
            return
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)

    def raise_latency(
        self, latency_ms: float, now_ms: float, slow_ms: float = float("inf")
    ) -> None:
        """Raise the latency to a lower bound of what the replica takes now."""
        self.updated_ms = now_ms
        self.n_slow_in_row += latency_ms >= slow_ms
        if self.latency_ms is None or latency_ms > self.latency_ms:
            self.latency_ms = latency_ms

    def expected_latency_ms(
        self,
        typical_ms: float,
        now_ms: float,
        decay_ms: float = EXCESS_DECAY_MIN_MS,
    ) -> float:
        """Return the expected latency, from past calls and those in flight.

        An excess over the typical latency decays with the time constant ``decay_ms``.

        The age of the oldest call in flight is a lower bound of the current latency
        of the replica, known long before the call ends.
        """
        latency_ms = typical_ms if self.latency_ms is None else self.latency_ms
        if latency_ms > typical_ms:
            age_ms = now_ms - self.updated_ms
            excess_ms = latency_ms - typical_ms
            latency_ms = typical_ms + excess_ms * exp(-age_ms / decay_ms)
        for call in self.in_flight:
            latency_ms = max(latency_ms, (now_ms - call.started_ms) / call.scale)
        return latency_ms

    def holds_snapshot(self, snapshot_id: int) -> bool:
        """Return whether the replica holds a snapshot, as far as is known."""
        if snapshot_id in self.missing_snapshots:
            return False
        return self.held_snapshots is None or snapshot_id in self.held_snapshots

    def may_serve(self, snapshot_id: int, now_ms: float) -> bool:
        """Return whether a call for a snapshot is worth trying."""
        if self.holds_snapshot(snapshot_id):
            return True
        reported_ms = self.missing_snapshots.get(snapshot_id, self.held_reported_ms)
        return now_ms - reported_ms > MISSING_SNAPSHOT_TRUSTED_MS

    def record_held_snapshots(
        self, snapshot_ids: tuple[int, ...], now_ms: float
    ) -> None:
        """Record the snapshots that the replica reported."""
        self.held_snapshots = frozenset(snapshot_ids)
        self.held_reported_ms = now_ms
        for snapshot_id in snapshot_ids:
            self.missing_snapshots.pop(snapshot_id, None)

    def record_missing_snapshot(self, snapshot_id: int, now_ms: float) -> None:
        """Record that the replica refused a call because it lacks the snapshot.

        The snapshots that it reported earlier are then out of date, and it may hold
        a newer one.
        """
        self.missing_snapshots[snapshot_id] = now_ms
        self.held_snapshots = None

    def is_draining(self, now_ms: float) -> bool:
        """Return whether the replica is draining and gets no new calls."""
        return now_ms < self.drained_until_ms

    def is_penalised(self, now_ms: float) -> bool:
        """Return whether the replica is penalised because it failed recently."""
        return now_ms < self.penalised_until_ms
