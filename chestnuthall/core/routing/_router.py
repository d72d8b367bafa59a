"""Choice of the replica that serves a shard call."""

from collections.abc import Collection
from dataclasses import dataclass
from random import Random

from chestnuthall.core.model import Replica, Shard, ShardAnswer
from chestnuthall.core.results import (
    CALL_CANCELLED,
    CONNECTION_REFUSED,
    DEADLINE_PASSED,
    NO_REPLICA,
    REPLICA_REPLACED,
    SHED_BY_UPSTREAM,
    SNAPSHOT_GONE,
    Failure,
    FailureKind,
)
from chestnuthall.core.routing._latency import LatencyWindow
from chestnuthall.core.routing._replicas import (
    EXCESS_DECAY_MAX_MS,
    EXCESS_DECAY_MIN_MS,
    N_CALLS_EXCESS_DECAY,
    ChoiceGap,
    InFlight,
    ReplicaState,
)

# Failures of calls that could not be sent, since nothing accepts connections.
REFUSAL_KINDS: frozenset[FailureKind] = frozenset({NO_REPLICA, CONNECTION_REFUSED})
# Consecutive failures or sheds after which a replica that answers again is ramped
# up, since it starts cold or is near its limit. A single failure indicates neither.
N_FAILURES_BEFORE_RAMP = 2
# Calls to a shard during the first and the longest penalty of a replica.
N_CALLS_PENALTY = 2.5
N_CALLS_PENALTY_MAX = 5.0
# Consecutive slow calls after which a replica counts as persistently slow. A single one
# may have met a short pause.
N_SLOW_PERSISTENT = 2
# Assumed ratio of the latency of a slow call to its age when it was cancelled.
CANCELLED_LATENCY_FACTOR = 2.0
# Samples needed for a hedge delay. With fewer, a quantile of 0.95 is not resolved
# and ordinary calls would be hedged.
N_QUANTILE_SAMPLES_MIN = 20
# Kinds of call whose latencies are kept. The oldest one is removed first, since a new
# configuration replaces the kinds.
N_LATENCY_WINDOWS_MAX = 64


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
    penalty_base_ms: float = 200.0
    # The longest penalty is short: a call to an unavailable replica costs only a
    # refused connection, and a recovered one is needed immediately.
    penalty_max_ms: float = 2_000.0
    failure_cost_ms: float = 50.0
    ejected_ratio_max: float = 1.0 / 3.0
    ramp_ms: float = 2_000.0
    ramp_factor: float = 3.0
    drain_notice_ms: float = 30_000.0


class Router:
    """Replica statistics of one group, and replica choice based on them.

    Answers slow, failing and restarting replicas, also where the instances of a large
    fleet call each of them rarely.

    Calls with different typical latencies are distinguished by the name of their
    kind, ``call_type``. Each kind has its own latency window, and the latency of a
    replica is scaled by the typical one of the kind, so that a replica found to be
    slow by one kind of call is known to be slow for the others. The empty name is
    the reference kind.
    """

    def __init__(self, settings: RouterSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._replicas: dict[str, ReplicaState] = {}
        self._latencies: dict[str, LatencyWindow] = {}
        self.n_in_flight = 0
        self._choice_gaps: dict[str, ChoiceGap] = {}
        self._refusals_until_ms = float("-inf")

    def _observe_choice(self, shard_id: str, now_ms: float) -> float:
        """Record a choice for a shard; return the mean gap before it."""
        gap = self._choice_gaps.get(shard_id)
        if gap is None:
            self._choice_gaps[shard_id] = ChoiceGap(now_ms)
            return 0.0
        return gap.observe(now_ms)

    def _window(self, call_type: str) -> LatencyWindow:
        window = self._latencies.get(call_type)
        if window is None:
            while len(self._latencies) >= N_LATENCY_WINDOWS_MAX:
                del self._latencies[next(iter(self._latencies))]
            window = self._latencies[call_type] = LatencyWindow()
        return window

    def _scale(self, call_type: str) -> float:
        """Return the ratio of the typical latency of a kind to the reference."""
        if not call_type:
            return 1.0
        return self.typical_ms(call_type) / self._settings.unknown_latency_ms

    def remove(self, replica_name: str) -> None:
        """Remove the state of a replica that was removed or has restarted."""
        state = self._replicas.pop(replica_name, None)
        if state is not None:
            self.n_in_flight -= state.n_in_flight

    def start_ramp_up(self, replica_name: str, now_ms: float) -> None:
        """Give a replica that has just started fewer calls at first."""
        self.state_of(replica_name).ramp_started_ms = now_ms

    def state_of(self, replica_name: str) -> ReplicaState:
        """Return the local view of a replica, created at its first use."""
        state = self._replicas.get(replica_name)
        if state is None:
            state = self._replicas[replica_name] = ReplicaState(replica_name)
        return state

    def serves_snapshot(
        self, replica: Replica, snapshot_id: int, now_ms: float
    ) -> bool:
        """Return whether a replica is known to serve a snapshot."""
        state = self.state_of(replica.name)
        return state.holds_snapshot(snapshot_id) and not state.is_draining(now_ms)

    def may_call(self, replica: Replica, snapshot_id: int, now_ms: float) -> bool:
        """Return whether a call for a snapshot may be tried at a replica."""
        state = self.state_of(replica.name)
        return state.may_serve(snapshot_id, now_ms) and not state.is_draining(now_ms)

    def choose(
        self,
        shard: Shard,
        snapshot_id: int,
        excluded_names: Collection[str],
        now_ms: float,
        needs_free_slot: bool = False,
        call_type: str = "",
        slow_age_min_ms: float = 0.0,
    ) -> Replica | None:
        """Return the replica with the least expected latency of a sample, or None.

        Ejected replicas are used only if no other one is usable, and so are
        persistently slow ones whose last call is less than ``slow_age_min_ms`` ago.
        A draining replica is used only for a limited time, and while all of the shard
        are draining.
        """
        may_call = self.may_call
        if self._are_all_draining(shard, now_ms):
            may_call = self._may_call_as_last_resort
        usable = [
            replica
            for replica in shard.replicas
            if replica.name not in excluded_names
            and may_call(replica, snapshot_id, now_ms)
            and (not needs_free_slot or self.has_free_slot(replica))
        ]
        if len(usable) > 1:
            ejected = self.ejected_names(shard, now_ms)
            usable = [item for item in usable if item.name not in ejected] or usable
        if slow_age_min_ms > 0.0:
            slow_since_ms = now_ms - slow_age_min_ms
            usable = [
                replica
                for replica in usable
                if not self.is_persistently_slow(replica)
                or self.state_of(replica.name).updated_ms < slow_since_ms
            ] or usable
        if not usable:
            return None
        n_candidates = self._settings.n_candidates
        if len(usable) > n_candidates:
            usable = self._random.sample(usable, n_candidates)
        scale = self._scale(call_type)
        reference_ms = self._reference_ms()
        gap_ms = self._observe_choice(shard.shard_id, now_ms)
        # The more rarely this instance calls the shard, the longer a slow replica is
        # remembered.
        decay_ms = N_CALLS_EXCESS_DECAY * gap_ms
        decay_ms = min(EXCESS_DECAY_MAX_MS, max(EXCESS_DECAY_MIN_MS, decay_ms))
        chosen = min(
            usable,
            key=lambda item: self._expected_ms(
                item, now_ms, scale, reference_ms, decay_ms
            ),
        )
        self.state_of(chosen.name).call_gap_ms = gap_ms
        return chosen

    def _are_all_draining(self, shard: Shard, now_ms: float) -> bool:
        return all(
            self.state_of(item.name).is_draining(now_ms) for item in shard.replicas
        )

    def _may_call_as_last_resort(
        self, replica: Replica, snapshot_id: int, now_ms: float
    ) -> bool:
        state = self.state_of(replica.name)
        is_in_time = now_ms < state.last_resort_until_ms
        return is_in_time and state.may_serve(snapshot_id, now_ms)

    def is_persistently_slow(self, replica: Replica) -> bool:
        """Return whether the last calls to a replica were slow, however long ago."""
        return self.state_of(replica.name).n_slow_in_row >= N_SLOW_PERSISTENT

    def has_refusals(self, now_ms: float) -> bool:
        """Return whether any replica may be refusing calls."""
        return now_ms < self._refusals_until_ms

    def is_refusing(self, replica: Replica, now_ms: float) -> bool:
        """Return whether recent calls could not be sent to a replica."""
        return now_ms < self.state_of(replica.name).refuses_until_ms

    def ejected_names(self, shard: Shard, now_ms: float) -> frozenset[str]:
        """Return the replicas of a shard that get no calls after failures.

        At most a fraction of the replicas is ejected, those with the most failures
        first, so that misleading failures do not put the whole load of the shard on
        one replica.
        """
        penalised = [
            self.state_of(replica.name)
            for replica in shard.replicas
            if self.state_of(replica.name).is_penalised(now_ms)
        ]
        if not penalised:
            return frozenset()
        n_ejected_max = int(
            len(shard.replicas) * self._settings.ejected_ratio_max + 1e-9
        )
        penalised.sort(key=lambda state: -state.n_failures_in_row)
        return frozenset(state.name for state in penalised[:n_ejected_max])

    def _expected_ms(
        self,
        replica: Replica,
        now_ms: float,
        scale: float,
        reference_ms: float,
        decay_ms: float,
    ) -> float:
        settings = self._settings
        state = self.state_of(replica.name)
        latency_ms = scale * state.expected_latency_ms(reference_ms, now_ms, decay_ms)
        n_slots = replica.n_slots or settings.n_slots
        queue_factor = 1.0 + state.n_in_flight / n_slots
        penalty_ms = 0.0
        if replica.zone != settings.zone:
            penalty_ms = settings.other_zone_cost_ms
            latency_ms *= settings.other_zone_factor
        if state.is_penalised(now_ms):
            penalty_ms += settings.failure_cost_ms * state.n_failures_in_row
        # Jitter keeps instances with equal statistics from choosing the same replica.
        jitter = self._random.uniform(0.9, 1.1)
        return (
            latency_ms * queue_factor * self._slowdown_factor(state, now_ms) * jitter
            + penalty_ms
        )

    def _reference_ms(self) -> float:
        """Return the typical latency of the reference kind of call."""
        if "" in self._latencies:
            return self.typical_ms("")
        return self._settings.unknown_latency_ms

    def typical_ms(self, call_type: str) -> float:
        """Return the typical latency of a kind of call."""
        typical_ms = self._window(call_type).quantile_ms(0.5)
        return self._settings.unknown_latency_ms if typical_ms is None else typical_ms

    def _slowdown_factor(self, state: ReplicaState, now_ms: float) -> float:
        """Return the factor by which the latency of a restarted replica is raised."""
        settings = self._settings
        remaining_ratio = 1.0 - (now_ms - state.ramp_started_ms) / settings.ramp_ms
        return 1.0 + (settings.ramp_factor - 1.0) * max(0.0, remaining_ratio)

    def has_free_slot(self, replica: Replica) -> bool:
        """Return whether this instance uses fewer slots than the replica has."""
        n_slots = replica.n_slots or self._settings.n_slots
        return self.state_of(replica.name).n_in_flight < n_slots

    def hedge_delay_ms(self, call_type: str = "") -> float:
        """Return how long a call runs before a hedge is considered."""
        settings = self._settings
        window = self._window(call_type)
        delay_ms = window.quantile_ms(settings.hedge_quantile)
        if delay_ms is None or len(window) < N_QUANTILE_SAMPLES_MIN:
            return settings.hedge_delay_unknown_ms
        return max(settings.hedge_delay_min_ms, delay_ms)

    def on_started(self, replica: Replica, now_ms: float, call_type: str = "") -> None:
        """Record a call that was dispatched to a replica."""
        state = self.state_of(replica.name)
        state.in_flight.append(InFlight(now_ms, self._scale(call_type)))
        self.n_in_flight += 1

    def _remove_in_flight(
        self, replica: Replica, started_ms: float
    ) -> tuple[ReplicaState, float]:
        """Remove a call in flight; return the replica's state and the call's scale."""
        state = self.state_of(replica.name)
        for index, call in enumerate(state.in_flight):
            if call.started_ms == started_ms:
                del state.in_flight[index]
                self.n_in_flight -= 1
                return state, call.scale
        # The replica has restarted since, and its calls in flight were removed.
        return state, 1.0

    def on_answered(
        self,
        replica: Replica,
        started_ms: float,
        answer: ShardAnswer,
        now_ms: float,
        call_type: str = "",
    ) -> None:
        """Record a complete answer of a replica."""
        state, scale = self._remove_in_flight(replica, started_ms)
        if state.n_failures_in_row >= N_FAILURES_BEFORE_RAMP:
            state.ramp_started_ms = now_ms
        state.n_failures_in_row = 0
        state.penalised_until_ms = float("-inf")
        state.refuses_until_ms = float("-inf")
        if not self._is_slow(state):
            self._window(call_type).add(now_ms - started_ms)
        slow_ms = self._settings.slow_ratio * self._reference_ms()
        state.observe_latency((now_ms - started_ms) / scale, now_ms, slow_ms)
        if answer.held_snapshots:
            state.record_held_snapshots(answer.held_snapshots, now_ms)
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
        """Record a failed or cancelled call.

        ``is_attributed_to_request`` marks the loss of a call that is attributed to a
        request suspected of crashing replicas; it is no evidence against the replica.
        """
        state, scale = self._remove_in_flight(replica, started_ms)
        if failure.kind is CALL_CANCELLED:
            self._on_cancelled(state, now_ms - started_ms, now_ms, call_type, scale)
            return
        if failure.kind is REPLICA_REPLACED:
            # The registration is out of date; the next one resets this state.
            state.drained_until_ms = float("inf")
            return
        if failure.kind is SNAPSHOT_GONE:
            state.record_missing_snapshot(snapshot_id, now_ms)
            return
        if is_attributed_to_request or failure.kind is DEADLINE_PASSED:
            return
        state.n_failures_in_row += 1
        state.penalised_until_ms = now_ms + self._penalty_duration_ms(state, failure)
        is_refusal = failure.kind in REFUSAL_KINDS
        state.refuses_until_ms = state.penalised_until_ms if is_refusal else now_ms
        self._refusals_until_ms = max(self._refusals_until_ms, state.refuses_until_ms)

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
        # The call was slow and would have taken even longer. Without its sample the
        # quantile would not cover the calls that were hedged.
        if not self._is_slow(state):
            self._window(call_type).add(elapsed_ms)
        slow_ms = self._settings.slow_ratio * self._reference_ms()
        latency_ms = CANCELLED_LATENCY_FACTOR * elapsed_ms / scale
        state.raise_latency(latency_ms, now_ms, slow_ms)

    def _is_slow(self, state: ReplicaState) -> bool:
        """Return whether a replica is slowed, judging by its past calls.

        Its latencies are excluded from the quantile, since they would delay every
        hedge just when hedges are needed.
        """
        if state.latency_ms is None:
            return False
        return state.latency_ms > self._settings.slow_ratio * self._reference_ms()

    def _penalty_duration_ms(self, state: ReplicaState, failure: Failure) -> float:
        settings = self._settings
        if failure.kind is SHED_BY_UPSTREAM:
            return settings.penalty_base_ms / 4
        base_ms, max_ms = settings.penalty_base_ms, settings.penalty_max_ms
        if failure.kind not in REFUSAL_KINDS:
            # The call was lost at the replica, and with a shorter penalty an instance
            # that calls the shard rarely would send it every call.
            base_ms = max(base_ms, N_CALLS_PENALTY * state.call_gap_ms)
            max_ms = max(max_ms, N_CALLS_PENALTY_MAX * state.call_gap_ms)
        exponent = min(state.n_failures_in_row - 1, 10)
        return min(max_ms, base_ms * 2.0**exponent)

    def drain(self, replica_name: str, now_ms: float) -> None:
        """Send no new calls to a replica until its drain notice expires."""
        until_ms = now_ms + self._settings.drain_notice_ms
        self.state_of(replica_name).drained_until_ms = until_ms

    def drain_until_removed(
        self, replica_name: str, last_resort_until_ms: float
    ) -> None:
        """Send no new calls to a replica, except for a while if all others drain."""
        state = self.state_of(replica_name)
        state.drained_until_ms = float("inf")
        state.last_resort_until_ms = last_resort_until_ms

    def retire(self, replica_name: str) -> None:
        """Discard the state of a replica that has left and send it no calls.

        A query that pinned it before could choose it otherwise.
        """
        self.remove(replica_name)
        self.drain_until_removed(replica_name, float("-inf"))

    def set_drained_until(self, replica_name: str, until_ms: float) -> None:
        """Send no new calls to a replica until a time; a past time ends a drain."""
        self.state_of(replica_name).drained_until_ms = until_ms
