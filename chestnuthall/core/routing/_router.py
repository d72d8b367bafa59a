"""Choice of the replica that serves a shard call."""

from collections.abc import Collection
from dataclasses import dataclass
from random import Random

from chestnuthall.core.model import Replica, Shard
from chestnuthall.core.results import (
    CALL_CANCELLED,
    SHED_BY_UPSTREAM,
    SNAPSHOT_GONE,
    Failure,
)
from chestnuthall.core.routing._latency import LatencyWindow
from chestnuthall.core.routing._replicas import ReplicaState


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterSettings:
    """Constants of replica choice; durations in milliseconds."""

    zone: str = ""
    other_zone_cost_ms: float = 1.0
    unknown_latency_ms: float = 5.0
    n_slots: int = 3
    hedge_quantile: float = 0.95
    hedge_delay_min_ms: float = 2.0
    hedge_delay_unknown_ms: float = 50.0
    avoid_base_ms: float = 200.0
    avoid_max_ms: float = 10_000.0
    drain_notice_ms: float = 30_000.0


class Router:
    """Replica statistics of one group, and the choice made from them."""

    def __init__(self, settings: RouterSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._replicas: dict[str, ReplicaState] = {}
        self._latencies = LatencyWindow()

    def state_of(self, replica_name: str) -> ReplicaState:
        """Return the local view of a replica, made at its first use."""
        state = self._replicas.get(replica_name)
        if state is None:
            state = self._replicas[replica_name] = ReplicaState(replica_name)
        return state

    def holds(self, replica: Replica, snapshot_id: int, now_ms: float) -> bool:
        """Return whether a replica can be called for a snapshot."""
        state = self.state_of(replica.name)
        return state.holds(snapshot_id) and not state.is_draining(now_ms)

    def choose(
        self,
        shard: Shard,
        snapshot_id: int,
        excluded_names: Collection[str],
        now_ms: float,
    ) -> Replica | None:
        """Return the replica with the least expected time, or None.

        Replicas that failed lately are used only when no other one is left.
        """
        usable = [
            replica
            for replica in shard.replicas
            if replica.name not in excluded_names
            and self.holds(replica, snapshot_id, now_ms)
        ]
        healthy = [
            replica
            for replica in usable
            if not self.state_of(replica.name).is_avoided(now_ms)
        ]
        candidates = healthy or usable
        if not candidates:
            return None
        return min(candidates, key=self._expected_ms)

    def _expected_ms(self, replica: Replica) -> float:
        settings = self._settings
        state = self.state_of(replica.name)
        latency_ms = state.latency_ms
        if latency_ms is None:
            latency_ms = settings.unknown_latency_ms
        queue_factor = 1.0 + state.n_in_flight / settings.n_slots
        zone_ms = 0.0 if replica.zone == settings.zone else settings.other_zone_cost_ms
        # A small random part spreads instances that know the same figures.
        return latency_ms * queue_factor * self._random.uniform(0.9, 1.1) + zone_ms

    def has_free_slot(self, replica: Replica) -> bool:
        """Return whether this instance leaves a slot of the replica unused."""
        return self.state_of(replica.name).n_in_flight < self._settings.n_slots

    def hedge_delay_ms(self) -> float:
        """Return how long a call may run before a second one is considered."""
        settings = self._settings
        delay_ms = self._latencies.quantile_ms(settings.hedge_quantile)
        if delay_ms is None:
            return settings.hedge_delay_unknown_ms
        return max(settings.hedge_delay_min_ms, delay_ms)

    def on_started(self, replica: Replica) -> None:
        """Note a call that was dispatched to a replica."""
        self.state_of(replica.name).n_in_flight += 1

    def on_answered(
        self,
        replica: Replica,
        latency_ms: float,
        held_snapshots: tuple[int, ...],
        is_draining: bool,
        now_ms: float,
    ) -> None:
        """Note a whole answer of a replica."""
        state = self.state_of(replica.name)
        state.n_in_flight -= 1
        state.n_failures_in_row = 0
        state.avoided_until_ms = float("-inf")
        state.observe_latency(latency_ms)
        self._latencies.add(latency_ms)
        if held_snapshots:
            state.held_snapshots = frozenset(held_snapshots)
            state.missing_snapshots.difference_update(held_snapshots)
        if is_draining:
            self.drain(replica.name, now_ms)

    def on_failed(
        self,
        replica: Replica,
        failure: Failure,
        snapshot_id: int,
        elapsed_ms: float,
        now_ms: float,
        is_explained: bool = False,
    ) -> None:
        """Note a failed or cancelled call.

        ``is_explained`` marks a loss that a suspected request accounts for; it
        is no evidence against the replica.
        """
        state = self.state_of(replica.name)
        state.n_in_flight -= 1
        if failure.kind is CALL_CANCELLED:
            # The call would have taken at least as long as it already had.
            if state.latency_ms is None or elapsed_ms > state.latency_ms:
                state.observe_latency(elapsed_ms)
            return
        if failure.kind is SNAPSHOT_GONE:
            state.missing_snapshots.add(snapshot_id)
            return
        if is_explained:
            return
        state.n_failures_in_row += 1
        state.avoided_until_ms = now_ms + self._avoid_ms(state, failure)

    def _avoid_ms(self, state: ReplicaState, failure: Failure) -> float:
        settings = self._settings
        if failure.kind is SHED_BY_UPSTREAM:
            return settings.avoid_base_ms / 4
        exponent = min(state.n_failures_in_row - 1, 10)
        return min(settings.avoid_max_ms, settings.avoid_base_ms * 2.0**exponent)

    def drain(self, replica_name: str, now_ms: float) -> None:
        """Send no new calls to a replica until its notice runs out."""
        until_ms = now_ms + self._settings.drain_notice_ms
        self.state_of(replica_name).drained_until_ms = until_ms

    def drain_until(self, replica_name: str, until_ms: float) -> None:
        """Send no new calls to a replica until a time; a past one ends a drain."""
        self.state_of(replica_name).drained_until_ms = until_ms
