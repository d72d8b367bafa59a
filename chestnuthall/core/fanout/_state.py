"""State of one query over its shards, with its state transitions."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import count

from chestnuthall.core.fanout._events import Action, Cancel, Dispatch
from chestnuthall.core.fanout._merge import coverage_of
from chestnuthall.core.fanout._progress import ProbeStep, RunningCall, ShardProgress
from chestnuthall.core.fanout._targets import target_shards, with_eligible_replicas
from chestnuthall.core.model import (
    CallerClass,
    Coverage,
    Decision,
    DecisionEvent,
    FanOutAccount,
    PartitionMap,
    Replica,
    Reply,
    Request,
    Shard,
    ShardAnswer,
    ShardCall,
    ShardSet,
    is_idempotent,
)
from chestnuthall.core.quarantine import QuarantineRegistry
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
    RunState,
)
from chestnuthall.core.routing import ExtraLoad, Router

N_ATTEMPTS_MAX = 4
N_REPLANS_MAX = 2
# Number of peers that are offered a shard set before this instance calls its
# members itself.
N_PEER_ATTEMPTS_MAX = 2
# Reason recorded for a call that probes a suspected request.
PROBE_REASON = "probe"

# Failures that prove that the replica did not start the call.
NOT_STARTED_KINDS: frozenset[FailureKind] = frozenset(
    {
        NO_REPLICA,
        CONNECTION_REFUSED,
        REPLICA_REPLACED,
        SHED_BY_UPSTREAM,
        SNAPSHOT_GONE,
        DEADLINE_PASSED,
    }
)

# Calls of a query to persistently slow replicas, which find out whether these have
# recovered. With several of them a query would miss its floor at the soft deadline.
N_TRIALS_MAX = 1
# Interval at which requests that can't be hedged try a persistently slow replica. The
# request that does so waits for it.
SLOW_RETRY_MS = 8_000.0
# Numbers of the runs of this process; ids of requests are chosen by callers.
_run_numbers = count(1)
# Failures before anything was written to the replica.
NOT_SENT_KINDS: frozenset[FailureKind] = frozenset(
    {NO_REPLICA, CONNECTION_REFUSED, DEADLINE_PASSED}
)


@dataclass(frozen=True, slots=True, kw_only=True)
class FanOutContext:
    """Resources and settings that a fan-out gets from its instance."""

    router: Router
    budget: ExtraLoad
    quarantine: QuarantineRegistry
    caller_class: CallerClass
    utilisation_ratio: float = 0.0
    # Label of the kind of call, for which ``Router`` keeps separate latencies.
    call_type: str = ""
    # Groups shards into sets that peers answer; None disables shard sets.
    combine_shards: Callable[[Sequence[Shard]], tuple[Shard, ...]] | None = None


class FanOutState:
    """Pinned partition map, progress of its shards, and counts of calls."""

    def __init__(
        self, request: Request, partition_map: PartitionMap, context: FanOutContext
    ) -> None:
        self.request = request
        # Differs between requests that are sent with the same id.
        self.run_id = f"{request.request_id}#{next(_run_numbers)}"
        self.context = context
        self.partition_map = partition_map
        self.shards: dict[str, ShardProgress] = {}
        self.is_complete = False
        self.is_replanning = False
        self.has_failed_shards = False
        self.has_missed_soft_deadline = False
        self.soft_decision_ms: float | None = None
        self.probe_step = ProbeStep.NONE
        self.unavailable_snapshot_ids: list[int] = []
        self.last_failure: Failure | None = None
        self.error_reply: Reply | None = None
        # Calls to replicas that timed out, and all that are without an answer at the
        # end of the query.
        self.timed_out: list[RunningCall] = []
        self.unanswered: tuple[RunningCall, ...] = ()
        # The probe that goes on after the end of the query.
        self.detached_probe: RunningCall | None = None
        self.n_calls = 0
        self.n_trials = 0
        self.n_not_started = 0
        self.n_answered = 0
        self.n_hedges = 0
        self.n_retries = 0
        self.n_discarded = 0
        self.slowest_shard_id = ""
        self.slowest_shard_ms = 0.0
        self._shard_of_call: dict[str, str] = {}
        self._n_call_ids = 0
        self._unfinished: list[ShardProgress] = []
        self.decisions: list[Decision] = []

    def record_decision(
        self, event: DecisionEvent, now_ms: float, *values: object
    ) -> None:
        """Record a decision for the decision log."""
        self.decisions.append(Decision(now_ms, event, values))

    def fail_shard(self, progress: ShardProgress, reason: str, now_ms: float) -> None:
        """Stop further attempts at a shard; a running call may still be answered."""
        progress.has_failed = True
        self.has_failed_shards = True
        shard_id = progress.shard.shard_id
        self.record_decision(
            DecisionEvent.SHARD_GIVEN_UP, now_ms, shard_id, progress.n_attempts, reason
        )

    def plan(self, partition_map: PartitionMap, may_combine: bool = False) -> None:
        """Pin a map and discard all answers merged under the previous one."""
        self.partition_map = partition_map
        shards = target_shards(self.request, partition_map)
        if may_combine and self.context.combine_shards is not None:
            shards = self.context.combine_shards(shards)
        self.shards = {shard.shard_id: ShardProgress(shard) for shard in shards}
        self._unfinished = list(self.shards.values())
        self.has_failed_shards = False

    def direct_shard_ids(self) -> list[str]:
        """Return the ids of the shards whose replicas this instance calls itself."""
        return [
            shard_id
            for shard_id, progress in self.shards.items()
            if not progress.shard.shards
        ]

    def call_type_of(self, progress: ShardProgress) -> str:
        """Return the label of the shard's kind of call.

        Shard sets have a label of their own, as their calls take longer.
        """
        call_type = self.context.call_type
        return f"{call_type} set" if progress.shard.shards else call_type

    @property
    def all_shards_finished(self) -> bool:
        """Whether each shard has an answer or will not get one.

        A finished shard stays finished, so each shard is checked off only once.
        """
        while self._unfinished and self._unfinished[-1].is_finished:
            self._unfinished.pop()
        return not self._unfinished

    def dispatch_all(self, now_ms: float) -> list[Action]:
        """Start the first call of every shard."""
        actions: list[Action] = []
        for progress in tuple(self.shards.values()):
            actions += self.try_dispatch(progress, now_ms)
        return actions

    def try_dispatch(self, progress: ShardProgress, now_ms: float) -> list[Action]:
        """Start a call of a shard, or fail the shard if no replica can be called."""
        progress.retry_at_ms = None
        if progress.shard.shards:
            return self._dispatch_set(progress, now_ms)
        replica = self._choose(progress, now_ms)
        if replica is None and progress.tried_names and is_idempotent(self.request):
            progress.tried_names.clear()
            replica = self._choose(progress, now_ms)
        if replica is None:
            self.fail_shard(progress, "no replica", now_ms)
            return []
        reason = "retry" if progress.n_attempts else "first"
        return [self.start(progress, replica, now_ms, reason)]

    def _dispatch_set(self, progress: ShardProgress, now_ms: float) -> list[Action]:
        """Send a shard set to a peer, or call its members if no peer accepts it."""
        replica = None
        if progress.n_attempts < N_PEER_ATTEMPTS_MAX:
            replica = self._choose(progress, now_ms)
        if replica is None:
            return self._expand_set(progress, now_ms)
        reason = "retry" if progress.n_attempts else "first"
        return [self.start(progress, replica, now_ms, reason)]

    def _expand_set(self, progress: ShardProgress, now_ms: float) -> list[Action]:
        """Replace a shard set by its members, of which no replica was called yet."""
        del self.shards[progress.shard.shard_id]
        self._unfinished.remove(progress)
        members = [ShardProgress(shard) for shard in progress.shard.shards]
        self.shards |= {item.shard.shard_id: item for item in members}
        self._unfinished += members
        context = self.context
        member_ids = [item.shard.shard_id for item in members]
        context.budget.record_calls(member_ids, context.utilisation_ratio, now_ms)
        actions: list[Action] = []
        for item in members:
            actions += self.try_dispatch(item, now_ms)
        return actions

    def _choose(self, progress: ShardProgress, now_ms: float) -> Replica | None:
        return self.context.router.choose(
            with_eligible_replicas(self.request, progress),
            self.partition_map.snapshot_id,
            progress.tried_names,
            now_ms,
            call_type=self.call_type_of(progress),
            slow_age_min_ms=self._slow_age_min_ms(),
        )

    def _slow_age_min_ms(self) -> float:
        """Return how long ago a slow replica was called that is tried again."""
        if not is_idempotent(self.request):
            return SLOW_RETRY_MS
        return 0.0 if self.n_trials < N_TRIALS_MAX else float("inf")

    def _shard_set(self, shard: Shard) -> ShardSet | None:
        if not shard.shards:
            return None
        floor = self.context.caller_class.coverage_floor_ratio
        n_total = len(self.partition_map.shards)
        # Rounding errors can put a product such as (1.0 - 0.9) * 30 just below its
        # integer.
        n_missing_max = int((1.0 - floor) * n_total + 1e-9)
        shard_ids = tuple(item.shard_id for item in shard.shards)
        return ShardSet(shard_ids, n_missing_max)

    def start(
        self,
        progress: ShardProgress,
        replica: Replica,
        now_ms: float,
        reason: str,
    ) -> Dispatch:
        """Start a call of a shard at a replica."""
        self._n_call_ids += 1
        call = ShardCall(
            call_id=f"{self.request.request_id}.{self._n_call_ids}",
            replica=replica,
            shard_id=progress.shard.shard_id,
            snapshot_id=self.partition_map.snapshot_id,
            deadline_ms=self.request.deadline_ms,
            request=self.request,
            shard_set=self._shard_set(progress.shard),
            is_probe=reason == PROBE_REASON,
        )
        is_trial = self.context.router.is_persistently_slow(replica)
        self.n_trials += is_trial
        progress.running[call.call_id] = RunningCall(call, now_ms, is_trial)
        progress.tried_names.add(replica.name)
        progress.contacted_names.add(replica.name)
        progress.n_attempts += 1
        self._shard_of_call[call.call_id] = call.shard_id
        self.n_calls += 1
        self._record_call_sent(call, progress, reason, now_ms)
        self.context.router.on_started(replica, now_ms, self.call_type_of(progress))
        return Dispatch(call)

    def _record_call_sent(
        self, call: ShardCall, progress: ShardProgress, reason: str, now_ms: float
    ) -> None:
        replica = call.replica
        replica_state = self.context.router.state_of(replica.name)
        self.record_decision(
            DecisionEvent.CALL_SENT,
            now_ms,
            call.shard_id,
            replica.name,
            replica.incarnation,
            replica.zone,
            progress.n_attempts,
            reason,
            call.deadline_ms - now_ms,
            replica_state.n_in_flight,
            replica_state.latency_ms,
            now_ms - replica_state.updated_ms,
        )

    def pop_running(self, call_id: str) -> tuple[ShardProgress, RunningCall] | None:
        """Remove and return a running call; None if it was already removed."""
        progress = self.shards.get(self._shard_of_call.pop(call_id, ""))
        if progress is None:
            return None
        running = progress.running.pop(call_id, None)
        return None if running is None else (progress, running)

    def cancel_running(self, progress: ShardProgress, now_ms: float) -> list[Action]:
        """Cancel the running calls of a shard."""
        actions: list[Action] = []
        for call_id, running in progress.running.items():
            if running is self.detached_probe:
                continue
            self._shard_of_call.pop(call_id, None)
            self.context.router.on_failed(
                running.call.replica,
                CALL_CANCELLED.with_reason("answer no longer needed"),
                running.call.snapshot_id,
                running.started_ms,
                now_ms,
                call_type=self.call_type_of(progress),
            )
            self.record_decision(
                DecisionEvent.CALL_CANCELLED,
                now_ms,
                running.call.shard_id,
                running.call.replica.name,
                now_ms - running.started_ms,
            )
            actions.append(Cancel(call_id))
        progress.running.clear()
        return actions

    def detach_probe(self) -> None:
        """Let the running probe, if any, go on after the end of the query."""
        for progress in self.shards.values():
            for running in progress.running.values():
                if running.is_probe and running.call.trace.is_written:
                    self.detached_probe = running

    def cancel_all(self, now_ms: float) -> list[Action]:
        """Cancel every running call."""
        actions: list[Action] = []
        for progress in self.shards.values():
            actions += self.cancel_running(progress, now_ms)
        return actions

    def unanswered_calls(self) -> tuple[RunningCall, ...]:
        """Return the calls that replicas have received and not answered, oldest first.

        Calls of shards of which another replica has answered are left out.
        """
        running = [
            call
            for progress in self.shards.values()
            if not progress.shard.shards
            for call in progress.running.values()
        ]
        received = [
            item
            for item in self.timed_out + running
            if item.call.trace.is_written and not self._has_replied(item.call.shard_id)
        ]
        return tuple(sorted(received, key=lambda item: item.started_ms))

    def _has_replied(self, shard_id: str) -> bool:
        progress = self.shards.get(shard_id)
        return progress is None or progress.has_replied

    def replied_shard_ids(self) -> list[str]:
        """Return the shards of which a replica has answered the query."""
        return [key for key, progress in self.shards.items() if progress.has_replied]

    def may_replan(self) -> bool:
        """Return whether the query may start over on another snapshot."""
        return len(self.unavailable_snapshot_ids) < N_REPLANS_MAX

    def is_suspected(self, now_ms: float) -> bool:
        """Return whether the request lost a replica and has not been cleared since."""
        return self.context.quarantine.is_suspected(self.request.fingerprint, now_ms)

    def must_defer(self, progress: ShardProgress, now_ms: float) -> bool:
        """Return whether a shard must wait for the verdict on a suspected request.

        A shard whose replicas are known to survive the request need not.
        """
        if not self.is_suspected(now_ms):
            return False
        proven_ids = self.context.quarantine.proven_shards(
            self.request.fingerprint, now_ms
        )
        return progress.shard.shard_id not in proven_ids

    def is_quarantined(self, now_ms: float) -> bool:
        """Return whether the request is quarantined and must not run."""
        request = self.request
        return self.context.quarantine.is_quarantined(
            request.fingerprint, now_ms, request.request_id
        )

    @property
    def is_retest(self) -> bool:
        """Whether the request runs as the retest of its quarantine."""
        request = self.request
        return self.context.quarantine.is_retest(
            request.fingerprint, request.request_id
        )

    def coverage(self) -> Coverage:
        """Return the coverage of the shard answers merged so far."""
        shards = [progress.shard for progress in self.shards.values()]
        return coverage_of(shards, self.answers())

    def answers(self) -> dict[str, ShardAnswer]:
        """Return the accepted answers for the pinned map, by shard id."""
        return {
            shard_id: progress.answer
            for shard_id, progress in self.shards.items()
            if progress.answer is not None
        }

    @property
    def may_reach_floor(self) -> bool:
        """Whether the shards that have not failed can still reach the floor."""
        if not self.has_failed_shards:
            return True
        reachable = [
            item for item in self.shards.values() if not item.is_without_answer
        ]
        n_total = sum(item.shard.n_documents for item in self.shards.values())
        n_reachable = sum(item.shard.n_documents for item in reachable)
        return n_reachable >= self.context.caller_class.coverage_floor_ratio * n_total

    def run_state(self) -> RunState:
        """Return whether any replica ran the request, or unknown."""
        if self.n_answered > 0:
            return RunState.YES
        if self.n_calls == self.n_not_started:
            return RunState.NO
        return RunState.UNKNOWN

    def account(self) -> FanOutAccount:
        """Return the counts and the slowest answer of the shard calls so far."""
        return FanOutAccount(
            n_calls=self.n_calls,
            n_hedges=self.n_hedges,
            n_retries=self.n_retries,
            n_replans=len(self.unavailable_snapshot_ids),
            n_discarded=self.n_discarded,
            slowest_shard_id=self.slowest_shard_id,
            slowest_shard_ms=self.slowest_shard_ms,
        )
