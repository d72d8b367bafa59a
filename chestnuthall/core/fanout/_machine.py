"""Dispatch, hedging, retries, replanning and completion of one query."""

from dataclasses import dataclass
from functools import singledispatch

from chestnuthall.core.fanout._events import (
    Action,
    Begin,
    CallAnswered,
    CallFailed,
    Cancel,
    Complete,
    Completion,
    Dispatch,
    Event,
    MapReplaced,
    Replan,
    SetTimer,
    TimerFired,
)
from chestnuthall.core.fanout._merge import coverage_of, merge_hits
from chestnuthall.core.fanout._progress import RunningCall, ShardProgress
from chestnuthall.core.fanout._targets import n_hits_wanted, target_shards
from chestnuthall.core.model import (
    CallerClass,
    Coverage,
    FanOutAccount,
    PartitionMap,
    Replica,
    Request,
    ShardAnswer,
    ShardCall,
    is_idempotent,
)
from chestnuthall.core.quarantine import QuarantineRegister
from chestnuthall.core.results import (
    CALL_CANCELLED,
    CALL_MISMATCH,
    CONNECTION_LOST,
    CONNECTION_REFUSED,
    COVERAGE_BELOW_FLOOR,
    DEADLINE_PASSED,
    NO_REPLICA,
    OUTCOME_UNKNOWN,
    QUARANTINED,
    SHED_BY_UPSTREAM,
    SNAPSHOT_GONE,
    Failure,
    FailureKind,
)
from chestnuthall.core.routing import ExtraLoadBudget, Router

N_ATTEMPTS_MAX = 4
N_REPLANS_MAX = 2
RETRY_DELAY_MS = 2.0

# Failures that prove that the replica did not begin the call.
NOT_STARTED_KINDS: frozenset[FailureKind] = frozenset(
    {NO_REPLICA, CONNECTION_REFUSED, SHED_BY_UPSTREAM, SNAPSHOT_GONE}
)


@dataclass(frozen=True, slots=True, kw_only=True)
class FanOutContext:
    """What a fan-out shares with the other queries of its instance."""

    router: Router
    budget: ExtraLoadBudget
    quarantine: QuarantineRegister
    caller_class: CallerClass
    utilisation_ratio: float = 0.0


class FanOut:
    """One query over the shards of a pinned partition map.

    The machine takes events and returns actions. It never reads a clock and
    never waits; after a ``Complete`` it returns no further actions.
    """

    def __init__(
        self, request: Request, partition_map: PartitionMap, context: FanOutContext
    ) -> None:
        self.request = request
        self.context = context
        self.partition_map = partition_map
        self.shards: dict[str, ShardProgress] = {}
        self.is_complete = False
        self.is_replanning = False
        self.gone_snapshot_ids: list[int] = []
        self.last_failure: Failure | None = None
        self.n_calls = 0
        self.n_hedges = 0
        self.n_retries = 0
        self.n_discarded = 0
        self.slowest_shard_id = ""
        self.slowest_shard_ms = 0.0
        self._shard_of_call: dict[str, str] = {}
        self._n_call_ids = 0

    def handle(self, event: Event) -> list[Action]:
        """Apply one event and return what is to be done."""
        if self.is_complete:
            return []
        actions = _apply(event, self)
        return actions + self._settle(event.now_ms)

    def plan(self, partition_map: PartitionMap) -> None:
        """Pin a map and forget everything that was merged from another one."""
        self.partition_map = partition_map
        self.shards = {
            shard.shard_id: ShardProgress(shard)
            for shard in target_shards(self.request, partition_map)
        }

    def dispatch_all(self, now_ms: float) -> list[Action]:
        """Start the first call of every shard."""
        actions: list[Action] = []
        for progress in self.shards.values():
            actions += self.try_dispatch(progress, now_ms)
        return actions

    def try_dispatch(self, progress: ShardProgress, now_ms: float) -> list[Action]:
        """Start a call of a shard, or give the shard up if nothing can run it."""
        progress.retry_at_ms = None
        replica = self._choose(progress, now_ms)
        if replica is None and progress.tried_names and is_idempotent(self.request):
            progress.tried_names.clear()
            replica = self._choose(progress, now_ms)
        if replica is None:
            progress.is_given_up = True
            return []
        return [self._start(progress, replica, now_ms)]

    def _choose(self, progress: ShardProgress, now_ms: float) -> Replica | None:
        return self.context.router.choose(
            progress.shard,
            self.partition_map.snapshot_id,
            progress.tried_names,
            now_ms,
        )

    def _start(
        self, progress: ShardProgress, replica: Replica, now_ms: float
    ) -> Dispatch:
        self._n_call_ids += 1
        call = ShardCall(
            call_id=f"{self.request.request_id}.{self._n_call_ids}",
            replica=replica,
            shard_id=progress.shard.shard_id,
            snapshot_id=self.partition_map.snapshot_id,
            deadline_ms=self.request.deadline_ms,
            request=self.request,
        )
        progress.running[call.call_id] = RunningCall(call, now_ms)
        progress.tried_names.add(replica.name)
        progress.n_attempts += 1
        self._shard_of_call[call.call_id] = call.shard_id
        self.n_calls += 1
        self.context.router.on_started(replica)
        return Dispatch(call)

    def take_running(self, call_id: str) -> tuple[ShardProgress, RunningCall] | None:
        """Remove a running call; None for one that was dropped before."""
        progress = self.shards.get(self._shard_of_call.pop(call_id, ""))
        if progress is None:
            return None
        running = progress.running.pop(call_id, None)
        return None if running is None else (progress, running)

    def cancel_running(self, progress: ShardProgress, now_ms: float) -> list[Action]:
        """Cancel the calls of a shard that still run."""
        actions: list[Action] = []
        for call_id, running in progress.running.items():
            self._shard_of_call.pop(call_id, None)
            self.context.router.on_failed(
                running.call.replica,
                CALL_CANCELLED.because("answer no longer needed"),
                running.call.snapshot_id,
                now_ms - running.started_ms,
                now_ms,
            )
            actions.append(Cancel(call_id))
        progress.running.clear()
        return actions

    def cancel_all(self, now_ms: float) -> list[Action]:
        """Cancel every call that still runs."""
        actions: list[Action] = []
        for progress in self.shards.values():
            actions += self.cancel_running(progress, now_ms)
        return actions

    def begin_replan(self, now_ms: float) -> list[Action]:
        """Drop the whole plan, since its snapshot is gone, and ask for another."""
        actions = self.cancel_all(now_ms)
        self.gone_snapshot_ids.append(self.partition_map.snapshot_id)
        self.is_replanning = True
        return [*actions, Replan(tuple(self.gone_snapshot_ids))]

    def may_replan(self) -> bool:
        """Return whether the query may start over on another snapshot."""
        return len(self.gone_snapshot_ids) < N_REPLANS_MAX

    def coverage(self) -> Coverage:
        """Return the coverage of the shard answers merged so far."""
        shards = [progress.shard for progress in self.shards.values()]
        return coverage_of(shards, self._answers())

    def _answers(self) -> dict[str, ShardAnswer]:
        return {
            shard_id: progress.answer
            for shard_id, progress in self.shards.items()
            if progress.answer is not None
        }

    def _settle(self, now_ms: float) -> list[Action]:
        if self.is_complete or self.is_replanning:
            return []
        if all(progress.is_settled for progress in self.shards.values()):
            return self.complete(now_ms)
        if now_ms >= self.request.deadline_ms or self._may_stop_early(now_ms):
            return self.complete(now_ms)
        return [SetTimer(self._next_due_ms())]

    def _may_stop_early(self, now_ms: float) -> bool:
        caller_class = self.context.caller_class
        if caller_class.soft_deadline_ms is None:
            return False
        if now_ms < self.request.arrived_ms + caller_class.soft_deadline_ms:
            return False
        return self.coverage().ratio >= caller_class.coverage_floor_ratio

    def _next_due_ms(self) -> float:
        due_ms = self.request.deadline_ms
        soft_ms = self.context.caller_class.soft_deadline_ms
        if soft_ms is not None:
            due_ms = min(due_ms, self.request.arrived_ms + soft_ms)
        hedge_delay_ms = self.context.router.hedge_delay_ms()
        for progress in self.shards.values():
            if progress.retry_at_ms is not None:
                due_ms = min(due_ms, progress.retry_at_ms)
            start_ms = progress.oldest_start_ms
            if self.may_hedge(progress) and start_ms is not None:
                due_ms = min(due_ms, start_ms + hedge_delay_ms)
        return due_ms

    def may_hedge(self, progress: ShardProgress) -> bool:
        """Return whether a second call of the shard may be considered."""
        return (
            progress.answer is None
            and not progress.is_hedged
            and is_idempotent(self.request)
            and len(progress.shard.replicas) > 1
        )

    def hedge(self, progress: ShardProgress, now_ms: float) -> list[Action]:
        """Start a second call of a slow shard if budget and slots allow it."""
        progress.is_hedged = True
        replica = self._choose(progress, now_ms)
        if replica is None or not self.context.router.has_free_slot(replica):
            return []
        if not self.context.budget.try_take():
            return []
        self.n_hedges += 1
        return [self._start(progress, replica, now_ms)]

    def complete(self, now_ms: float) -> list[Action]:
        """End the query with what was merged."""
        coverage = self.coverage()
        failure = _failure_of(self, coverage, now_ms)
        completion = Completion(
            failure=failure,
            hits=()
            if failure is not None
            else merge_hits(self._answers().values(), n_hits_wanted(self.request)),
            coverage=coverage,
            snapshot_id=self.partition_map.snapshot_id,
            account=self.account(),
        )
        actions = self.cancel_all(now_ms)
        self.is_complete = True
        return [*actions, Complete(completion)]

    def account(self) -> FanOutAccount:
        """Return what the shard calls did so far."""
        return FanOutAccount(
            n_calls=self.n_calls,
            n_hedges=self.n_hedges,
            n_retries=self.n_retries,
            n_replans=len(self.gone_snapshot_ids),
            n_discarded=self.n_discarded,
            slowest_shard_id=self.slowest_shard_id,
            slowest_shard_ms=self.slowest_shard_ms,
        )


def _failure_of(fan_out: FanOut, coverage: Coverage, now_ms: float) -> Failure | None:
    """Return why a fan-out ends without an answer, or None."""
    request = fan_out.request
    if not is_idempotent(request):
        return _mutation_failure(fan_out)
    if fan_out.context.quarantine.is_quarantined(request.fingerprint, now_ms):
        return QUARANTINED.because("the request crashed the replicas that ran it")
    floor = fan_out.context.caller_class.coverage_floor_ratio
    if not fan_out.shards or coverage.ratio < floor:
        if fan_out.n_calls == 0:
            return NO_REPLICA.because("no replica of the shards can be called")
        return COVERAGE_BELOW_FLOOR.because(
            f"coverage {coverage.ratio:.4f} is below the floor {floor:.4f}"
        )
    return None


def _mutation_failure(fan_out: FanOut) -> Failure | None:
    for progress in fan_out.shards.values():
        if progress.answer is not None:
            return None
        if progress.running:
            return OUTCOME_UNKNOWN.because("the upstream did not answer in time")
    if fan_out.last_failure is None:
        if fan_out.n_calls == 0:
            return NO_REPLICA.because("no replica of the shard can be called")
        return DEADLINE_PASSED.because("no replica began the request in time")
    if fan_out.last_failure.kind in NOT_STARTED_KINDS:
        return fan_out.last_failure
    return OUTCOME_UNKNOWN.because(fan_out.last_failure.reason)


@singledispatch
def _apply(event: Event, fan_out: FanOut) -> list[Action]:
    """Apply one event; registered per type of event."""
    raise TypeError(f"not an event: {type(event).__name__}")


@_apply.register
def _(event: Begin, fan_out: FanOut) -> list[Action]:
    fan_out.plan(fan_out.partition_map)
    context = fan_out.context
    context.budget.earn(len(fan_out.shards), context.utilisation_ratio)
    return fan_out.dispatch_all(event.now_ms)


@_apply.register
def _(event: CallAnswered, fan_out: FanOut) -> list[Action]:
    taken = fan_out.take_running(event.call_id)
    if taken is None:
        fan_out.n_discarded += 1
        return []
    progress, running = taken
    answer = event.answer
    if not _echoes(answer, running.call):
        fan_out.n_discarded += 1
        failure = CALL_MISMATCH.because("the answer does not echo its call")
        return _on_failed(fan_out, progress, running, failure, event.now_ms)
    latency_ms = event.now_ms - running.started_ms
    fan_out.context.router.on_answered(
        running.call.replica,
        latency_ms,
        answer.held_snapshots,
        answer.is_draining,
        event.now_ms,
    )
    progress.answer = answer
    if latency_ms >= fan_out.slowest_shard_ms:
        fan_out.slowest_shard_id = answer.shard_id
        fan_out.slowest_shard_ms = latency_ms
    return fan_out.cancel_running(progress, event.now_ms)


def _echoes(answer: ShardAnswer, call: ShardCall) -> bool:
    return (
        answer.call_id == call.call_id
        and answer.shard_id == call.shard_id
        and answer.snapshot_id == call.snapshot_id
    )


@_apply.register
def _(event: CallFailed, fan_out: FanOut) -> list[Action]:
    taken = fan_out.take_running(event.call_id)
    if taken is None:
        fan_out.n_discarded += 1
        return []
    progress, running = taken
    return _on_failed(fan_out, progress, running, event.failure, event.now_ms)


def _on_failed(
    fan_out: FanOut,
    progress: ShardProgress,
    running: RunningCall,
    failure: Failure,
    now_ms: float,
) -> list[Action]:
    context = fan_out.context
    request = fan_out.request
    fan_out.last_failure = failure
    is_suspected = context.quarantine.is_suspected(request.fingerprint, now_ms)
    if failure.kind is CONNECTION_LOST:
        context.quarantine.record_loss(
            request.fingerprint, running.call.replica.name, now_ms
        )
    context.router.on_failed(
        running.call.replica,
        failure,
        running.call.snapshot_id,
        now_ms - running.started_ms,
        now_ms,
        is_explained=failure.kind is CONNECTION_LOST and is_suspected,
    )
    if progress.running:
        return []
    if not _may_retry(fan_out, progress, failure, now_ms):
        progress.is_given_up = True
        return []
    if failure.kind is SNAPSHOT_GONE and fan_out.may_replan():
        return _retry_or_replan(fan_out, progress, now_ms)
    if failure.kind is not SNAPSHOT_GONE and not context.budget.try_take():
        progress.is_given_up = True
        return []
    fan_out.n_retries += 1
    if failure.kind is SHED_BY_UPSTREAM:
        progress.retry_at_ms = now_ms + RETRY_DELAY_MS
        return []
    return fan_out.try_dispatch(progress, now_ms)


def _may_retry(
    fan_out: FanOut, progress: ShardProgress, failure: Failure, now_ms: float
) -> bool:
    request = fan_out.request
    if now_ms >= request.deadline_ms or progress.n_attempts >= N_ATTEMPTS_MAX:
        return False
    if not is_idempotent(request) and failure.kind not in NOT_STARTED_KINDS:
        return False
    return not fan_out.context.quarantine.is_quarantined(request.fingerprint, now_ms)


def _retry_or_replan(
    fan_out: FanOut, progress: ShardProgress, now_ms: float
) -> list[Action]:
    router = fan_out.context.router
    snapshot_id = fan_out.partition_map.snapshot_id
    if any(
        router.holds(replica, snapshot_id, now_ms)
        for replica in progress.shard.replicas
    ):
        fan_out.n_retries += 1
        return fan_out.try_dispatch(progress, now_ms)
    return fan_out.begin_replan(now_ms)


@_apply.register
def _(event: TimerFired, fan_out: FanOut) -> list[Action]:
    if fan_out.is_replanning or event.now_ms >= fan_out.request.deadline_ms:
        return []
    actions: list[Action] = []
    hedge_delay_ms = fan_out.context.router.hedge_delay_ms()
    for progress in fan_out.shards.values():
        retry_at_ms = progress.retry_at_ms
        if retry_at_ms is not None and event.now_ms >= retry_at_ms:
            actions += fan_out.try_dispatch(progress, event.now_ms)
        start_ms = progress.oldest_start_ms
        is_slow = start_ms is not None and event.now_ms - start_ms >= hedge_delay_ms
        if is_slow and fan_out.may_hedge(progress):
            actions += fan_out.hedge(progress, event.now_ms)
    return actions


@_apply.register
def _(event: MapReplaced, fan_out: FanOut) -> list[Action]:
    fan_out.is_replanning = False
    if event.partition_map is None:
        for progress in fan_out.shards.values():
            progress.is_given_up = True
        return []
    fan_out.plan(event.partition_map)
    return fan_out.dispatch_all(event.now_ms)
