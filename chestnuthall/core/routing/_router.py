"""Choice of the replica that serves a shard call."""

from collections.abc import Collection
from dataclasses import dataclass
from random import Random

from chestnuthall.core.model import Replica, Shard, ShardAnswer
from chestnuthall.core.results import (
    CALL_CANCELLED,
    DEADLINE_PASSED,
    REPLICA_REPLACED,
    SHED_BY_UPSTREAM,
    SNAPSHOT_GONE,
    Failure,
)
from chestnuthall.core.routing._latency import LatencyWindow
from chestnuthall.core.routing._replicas import InFlight, ReplicaState

# Failures or sheds in a row after which a replica that answers again is ramped
# up, since it starts cold or is near its limit. A single one is no sign of that.
N_FAILURES_OF_RESTART = 2
# How much longer than until its cancellation a slow call is taken to last.
CANCELLED_FACTOR = 2.0
# Fewer latencies do not reach a quantile of 0.95, and would hedge ordinary calls.
N_SAMPLES_FOR_QUANTILE = 20
# Kinds of work with latencies of their own; the oldest goes first, since
# configurations replace them.
N_CALL_TYPES_KEPT = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterSettings:
    """Constants of replica choice; durations in milliseconds."""

    zone: str = ""
    other_zone_cost_ms: float = 1.0
    # A replica in another zone has to be faster by this factor to be chosen.
    other_zone_factor: float = 1.0
    unknown_latency_ms: float = 5.0
    n_slots: int = 3
    n_candidates: int = 3
    hedge_quantile: float = 0.97
    slow_ratio: float = 2.0
    hedge_delay_min_ms: float = 2.0
    hedge_delay_unknown_ms: float = 50.0
    ejection_base_ms: float = 200.0
    # A lost replica that is asked again costs a refused connection, and a
    # returned one is needed at once, so the longest pause is short.
    ejection_max_ms: float = 2_000.0
    failure_cost_ms: float = 50.0
    ejected_ratio_max: float = 1.0 / 3.0
    ramp_ms: float = 2_000.0
    ramp_factor: float = 3.0
    drain_notice_ms: float = 30_000.0


class Router:
    """Replica statistics of one group, and the choice made from them.

    Calls whose usual times differ are told apart by a name for their ``call_type``.
    Each has latencies of its own, and a replica's latency is kept as a multiple
    of the usual one, so that a slow replica found by one kind of call is known
    to the others. Work without a name is the reference.
    """

    def __init__(self, settings: RouterSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._replicas: dict[str, ReplicaState] = {}
        self._latencies: dict[str, LatencyWindow] = {}
        self.n_in_flight = 0

    def _window(self, call_type: str) -> LatencyWindow:
        window = self._latencies.get(call_type)
        if window is None:
            while len(self._latencies) >= N_CALL_TYPES_KEPT:
                del self._latencies[next(iter(self._latencies))]
            window = self._latencies[call_type] = LatencyWindow()
        return window

    def _scale(self, call_type: str) -> float:
        """Return the usual time of a kind of call over that of the reference."""
        if not call_type:
            return 1.0
        return self.typical_ms(call_type) / self._settings.unknown_latency_ms

    def remove(self, replica_name: str) -> None:
        """Drop what is known of a replica that is gone or has started anew."""
        state = self._replicas.pop(replica_name, None)
        if state is not None:
            self.n_in_flight -= state.n_in_flight

    def start_ramp_up(self, replica_name: str, now_ms: float) -> None:
        """Give a replica that has just started less than its part at first."""
        self.state_of(replica_name).ramp_from_ms = now_ms

    def state_of(self, replica_name: str) -> ReplicaState:
        """Return the local view of a replica, made at its first use."""
        state = self._replicas.get(replica_name)
        if state is None:
            state = self._replicas[replica_name] = ReplicaState(replica_name)
        return state

    def serves_snapshot(
        self, replica: Replica, snapshot_id: int, now_ms: float
    ) -> bool:
        """Return whether a replica is known to serve a snapshot."""
        state = self.state_of(replica.name)
        return state.holds(snapshot_id) and not state.is_draining(now_ms)

    def may_call(self, replica: Replica, snapshot_id: int, now_ms: float) -> bool:
        """Return whether a call for a snapshot may be tried at a replica."""
        state = self.state_of(replica.name)
        return state.may_hold(snapshot_id, now_ms) and not state.is_draining(now_ms)

    def choose(
        self,
        shard: Shard,
        snapshot_id: int,
        excluded_names: Collection[str],
        now_ms: float,
        needs_free_slot: bool = False,
        call_type: str = "",
    ) -> Replica | None:
        """Return the replica with the least expected time of a few, or None.

        Ejected replicas are used only when no other one is left.
        """
        usable = [
            replica
            for replica in shard.replicas
            if replica.name not in excluded_names
            and self.may_call(replica, snapshot_id, now_ms)
            and (not needs_free_slot or self.has_free_slot(replica))
        ]
        if len(usable) > 1:
            ejected = self.ejected_names(shard, now_ms)
            usable = [item for item in usable if item.name not in ejected] or usable
        if not usable:
            return None
        n_candidates = self._settings.n_candidates
        if len(usable) > n_candidates:
            usable = self._random.sample(usable, n_candidates)
        scale = self._scale(call_type)
        usual_ms = self._reference_ms()
        return min(
            usable, key=lambda item: self._expected_ms(item, now_ms, scale, usual_ms)
        )

    def ejected_names(self, shard: Shard, now_ms: float) -> frozenset[str]:
        """Return the replicas of a shard that get no calls after failures.

        A limited part of a shard is ejected, those that failed most first, so
        that misleading failures do not put all of its load on one replica.
        """
        ejected = [
            self.state_of(replica.name)
            for replica in shard.replicas
            if self.state_of(replica.name).is_ejected(now_ms)
        ]
        if not ejected:
            return frozenset()
        n_max = int(len(shard.replicas) * self._settings.ejected_ratio_max + 1e-9)
        ejected.sort(key=lambda state: -state.n_failures_in_row)
        return frozenset(state.name for state in ejected[:n_max])

    def _expected_ms(
        self, replica: Replica, now_ms: float, scale: float, usual_ms: float
    ) -> float:
        settings = self._settings
        state = self.state_of(replica.name)
        latency_ms = scale * state.expected_latency_ms(usual_ms, now_ms)
        n_slots = replica.n_slots or settings.n_slots
        queue_factor = 1.0 + state.n_in_flight / n_slots
        zone_ms = 0.0
        if replica.zone != settings.zone:
            zone_ms = settings.other_zone_cost_ms
            latency_ms *= settings.other_zone_factor
        if state.is_ejected(now_ms):
            zone_ms += settings.failure_cost_ms * state.n_failures_in_row
        # A small random part spreads instances that know the same figures.
        spread = self._random.uniform(0.9, 1.1)
        return latency_ms * queue_factor * self._ramp(state, now_ms) * spread + zone_ms

    def _reference_ms(self) -> float:
        """Return the usual time of the reference work."""
        if "" in self._latencies:
            return self.typical_ms("")
        return self._settings.unknown_latency_ms

    def typical_ms(self, call_type: str) -> float:
        """Return the usual time of a kind of call."""
        typical_ms = self._window(call_type).quantile_ms(0.5)
        return self._settings.unknown_latency_ms if typical_ms is None else typical_ms

    def _ramp(self, state: ReplicaState, now_ms: float) -> float:
        """Return the factor by which a replica that just started counts as slower."""
        settings = self._settings
        left = 1.0 - (now_ms - state.ramp_from_ms) / settings.ramp_ms
        return 1.0 + (settings.ramp_factor - 1.0) * max(0.0, left)

    def has_free_slot(self, replica: Replica) -> bool:
        """Return whether this instance leaves a slot of the replica unused."""
        n_slots = replica.n_slots or self._settings.n_slots
        return self.state_of(replica.name).n_in_flight < n_slots

    def hedge_delay_ms(self, call_type: str = "") -> float:
        """Return how long a call may run before a second one is considered."""
        settings = self._settings
        window = self._window(call_type)
        delay_ms = window.quantile_ms(settings.hedge_quantile)
        if delay_ms is None or len(window) < N_SAMPLES_FOR_QUANTILE:
            return settings.hedge_delay_unknown_ms
        return max(settings.hedge_delay_min_ms, delay_ms)

    def on_started(self, replica: Replica, now_ms: float, call_type: str = "") -> None:
        """Note a call that was dispatched to a replica."""
        state = self.state_of(replica.name)
        state.in_flight.append(InFlight(now_ms, self._scale(call_type)))
        self.n_in_flight += 1

    def _end(self, replica: Replica, started_ms: float) -> tuple[ReplicaState, float]:
        """Remove a call; return the replica's state and the scale of its work."""
        state = self.state_of(replica.name)
        for index, call in enumerate(state.in_flight):
            if call.started_ms == started_ms:
                del state.in_flight[index]
                self.n_in_flight -= 1
                return state, call.scale
        # The replica has started anew since, and its calls were forgotten.
        return state, 1.0

    def on_answered(
        self,
        replica: Replica,
        started_ms: float,
        answer: ShardAnswer,
        now_ms: float,
        call_type: str = "",
    ) -> None:
        """Note a whole answer of a replica."""
        state, scale = self._end(replica, started_ms)
        if state.n_failures_in_row >= N_FAILURES_OF_RESTART:
            state.ramp_from_ms = now_ms
        state.n_failures_in_row = 0
        state.ejected_until_ms = float("-inf")
        if not self._is_slow(state):
            self._window(call_type).add(now_ms - started_ms)
        state.observe_latency((now_ms - started_ms) / scale, now_ms)
        if answer.held_snapshots:
            state.note_held(answer.held_snapshots, now_ms)
        if answer.is_draining:
            self.drain(replica.name, now_ms)

    def on_failed(
        self,
        replica: Replica,
        failure: Failure,
        snapshot_id: int,
        started_ms: float,
        now_ms: float,
        is_attributed_to_request: bool = False,
        call_type: str = "",
    ) -> None:
        """Note a failed or cancelled call.

        ``is_attributed_to_request`` marks a loss that a suspected request accounts for;
        it is no evidence against the replica.
        """
        state, scale = self._end(replica, started_ms)
        if failure.kind is CALL_CANCELLED:
            self._on_cancelled(state, now_ms - started_ms, now_ms, call_type, scale)
            return
        if failure.kind is REPLICA_REPLACED:
            # The registration is out of date; the next one makes it forgotten.
            state.drained_until_ms = float("inf")
            return
        if failure.kind is SNAPSHOT_GONE:
            state.record_missing_snapshot(snapshot_id, now_ms)
            return
        if is_attributed_to_request or failure.kind is DEADLINE_PASSED:
            return
        state.n_failures_in_row += 1
        state.ejected_until_ms = now_ms + self._ejection_ms(state, failure)

    def _on_cancelled(
        self,
        state: ReplicaState,
        elapsed_ms: float,
        now_ms: float,
        call_type: str,
        scale: float,
    ) -> None:
        if elapsed_ms < self.hedge_delay_ms(call_type):
            return
        # The call was slow and would have taken longer still. Without its sample
        # the quantile would forget the calls that were hedged.
        if not self._is_slow(state):
            self._window(call_type).add(elapsed_ms)
        state.raise_latency(CANCELLED_FACTOR * elapsed_ms / scale, now_ms)

    def _is_slow(self, state: ReplicaState) -> bool:
        """Return whether a replica is slowed, as far as its past calls tell.

        Its latencies are left out of the quantile. They would make every hedge
        late at the very time that hedges are needed.
        """
        if state.latency_ms is None:
            return False
        return state.latency_ms > self._settings.slow_ratio * self._reference_ms()

    def _ejection_ms(self, state: ReplicaState, failure: Failure) -> float:
        settings = self._settings
        if failure.kind is SHED_BY_UPSTREAM:
            return settings.ejection_base_ms / 4
        exponent = min(state.n_failures_in_row - 1, 10)
        return min(settings.ejection_max_ms, settings.ejection_base_ms * 2.0**exponent)

    def drain(self, replica_name: str, now_ms: float) -> None:
        """Send no new calls to a replica until its notice runs out."""
        until_ms = now_ms + self._settings.drain_notice_ms
        self.state_of(replica_name).drained_until_ms = until_ms

    def set_drained_until(self, replica_name: str, until_ms: float) -> None:
        """Send no new calls to a replica until a time; a past one ends a drain."""
        self.state_of(replica_name).drained_until_ms = until_ms
