"""What each event does to a fan-out, registered per type of event."""

from functools import singledispatch

from chestnuthall.core.fanout import _probes as probes
from chestnuthall.core.fanout._events import (
    Action,
    CallAnswered,
    CallFailed,
    Event,
    MapReplaced,
    PeersNotified,
    QueryStarted,
    Replan,
    TimerFired,
    VerdictReached,
)
from chestnuthall.core.fanout._hedges import hedge_due_shards
from chestnuthall.core.fanout._progress import ProbeStep, RunningCall, ShardProgress
from chestnuthall.core.fanout._state import (
    N_ATTEMPTS_MAX,
    NOT_SENT_KINDS,
    NOT_STARTED_KINDS,
    FanOutState,
)
from chestnuthall.core.fanout._targets import target_shards
from chestnuthall.core.model import (
    DecisionEvent,
    PartitionMap,
    ShardAnswer,
    ShardCall,
    is_idempotent,
)
from chestnuthall.core.results import (
    CALL_MISMATCH,
    CONNECTION_LOST,
    SHED_BY_UPSTREAM,
    SNAPSHOT_GONE,
    UPSTREAM_ERROR,
    Failure,
)

RETRY_DELAY_MS = 2.0


@singledispatch
def apply_event(event: Event, state: FanOutState) -> list[Action]:
    """Apply one event; registered per type of event."""
    raise TypeError(f"not an event: {type(event).__name__}")


@apply_event.register
def _(event: QueryStarted, state: FanOutState) -> list[Action]:
    # The probe of a suspected request is one call to one replica.
    may_combine = not state.is_suspected(event.now_ms)
    state.plan(state.partition_map, may_combine)
    context = state.context
    shard_ids = state.own_shard_ids()
    context.budget.record_calls(shard_ids, context.utilisation_ratio, event.now_ms)
    return _begin_plan(state, event.now_ms)


def _begin_plan(state: FanOutState, now_ms: float) -> list[Action]:
    if state.is_suspected(now_ms):
        return probes.begin_suspected(state, now_ms)
    return state.dispatch_all(now_ms)


@apply_event.register
def _(event: CallAnswered, state: FanOutState) -> list[Action]:
    taken = state.take_running(event.call_id)
    if taken is None:
        state.n_discarded += 1
        return []
    progress, running = taken
    answer = event.answer
    if not _echoes(answer, running.call):
        state.n_discarded += 1
        failure = CALL_MISMATCH.with_reason("the answer does not echo its call")
        return _on_failed(state, progress, running, failure, event.now_ms)
    if answer.is_error:
        failure = UPSTREAM_ERROR.with_reason("the replica answered with an error")
        state.error_reply = answer.reply
        return _on_failed(state, progress, running, failure, event.now_ms)
    state.context.router.on_answered(
        running.call.replica,
        running.started_ms,
        answer,
        event.now_ms,
        call_type=state.call_type_of(progress),
    )
    elapsed_ms = event.now_ms - running.started_ms
    _take_answer(state, progress, answer, elapsed_ms)
    state.note(
        DecisionEvent.CALL_ANSWERED,
        event.now_ms,
        answer.shard_id,
        running.call.replica.name,
        elapsed_ms,
        None if answer.reply is None else answer.reply.status,
    )
    actions = state.cancel_running(progress, event.now_ms)
    if running.is_probe or progress.has_lost:
        # Another replica of the shard ran the request and lives.
        actions += probes.on_probe_answered(state, event.now_ms)
    return actions


def _take_answer(
    state: FanOutState, progress: ShardProgress, answer: ShardAnswer, latency_ms: float
) -> None:
    progress.answer = answer
    progress.is_held = False
    state.n_answered += 1
    if latency_ms >= state.slowest_shard_ms:
        state.slowest_shard_id = answer.shard_id
        state.slowest_shard_ms = latency_ms


def _echoes(answer: ShardAnswer, call: ShardCall) -> bool:
    return (
        answer.call_id == call.call_id
        and answer.shard_id == call.shard_id
        and answer.snapshot_id == call.snapshot_id
    )


@apply_event.register
def _(event: CallFailed, state: FanOutState) -> list[Action]:
    taken = state.take_running(event.call_id)
    if taken is None:
        state.n_discarded += 1
        return []
    progress, running = taken
    return _on_failed(state, progress, running, event.failure, event.now_ms)


def _on_failed(
    state: FanOutState,
    progress: ShardProgress,
    running: RunningCall,
    failure: Failure,
    now_ms: float,
) -> list[Action]:
    state.last_failure = failure
    if failure.kind in NOT_STARTED_KINDS:
        state.n_not_started += 1
    if failure.kind in NOT_SENT_KINDS:
        progress.sent_names.discard(running.call.replica.name)
    state.note(
        DecisionEvent.CALL_FAILED,
        now_ms,
        running.call.shard_id,
        running.call.replica.name,
        now_ms - running.started_ms,
        failure.kind.name,
        failure.reason,
    )
    _note_failure(state, progress, running, failure, now_ms)
    if progress.running:
        return []
    if not _may_retry(state, progress, failure, now_ms):
        state.give_up(progress, "no attempt left", now_ms)
        # Held shards do not wait for a probe that will not come any more.
        return probes.settle_held(state, now_ms) if running.is_probe else []
    if failure.kind is SNAPSHOT_GONE and not _is_held_elsewhere(
        state, progress, now_ms
    ):
        return _begin_replan(state, progress)
    if running.is_probe and state.is_suspected(now_ms):
        return probes.on_probe_not_run(state, progress, now_ms)
    if state.is_suspected(now_ms):
        return probes.hold(state, progress, now_ms)
    return _retry(state, progress, failure, now_ms)


def _note_failure(
    state: FanOutState,
    progress: ShardProgress,
    running: RunningCall,
    failure: Failure,
    now_ms: float,
) -> None:
    context = state.context
    # A peer that ends is no sign of a request that crashes replicas.
    is_lost = failure.kind is CONNECTION_LOST and not progress.shard.shards
    is_attributed_to_request = is_lost and state.is_suspected(now_ms)
    if is_lost:
        progress.has_lost = True
        context.quarantine.record_loss(
            state.request.fingerprint,
            running.call.replica,
            running.call.shard_id,
            now_ms,
            running.started_ms,
            is_probe=running.is_probe,
        )
    context.router.on_failed(
        running.call.replica,
        failure,
        running.call.snapshot_id,
        running.started_ms,
        now_ms,
        is_attributed_to_request=is_attributed_to_request,
        call_type=state.call_type_of(progress),
    )


def _may_retry(
    state: FanOutState, progress: ShardProgress, failure: Failure, now_ms: float
) -> bool:
    request = state.request
    if now_ms >= request.deadline_ms or progress.n_attempts >= N_ATTEMPTS_MAX:
        return False
    # A peer that may have begun a set has called replicas, which count against the
    # bound of the request.
    is_repeatable = is_idempotent(request) and not progress.shard.shards
    if not is_repeatable and failure.kind not in NOT_STARTED_KINDS:
        return False
    return not state.is_quarantined(now_ms)


def _retry(
    state: FanOutState, progress: ShardProgress, failure: Failure, now_ms: float
) -> list[Action]:
    # A call of which nothing was written, or that a replica refused for its
    # snapshot, put no work on any upstream; only other retries are extra load.
    is_free = failure.kind in NOT_SENT_KINDS or failure.kind is SNAPSHOT_GONE
    is_free = is_free or bool(progress.shard.shards)
    # An upstream that sheds has no room, so its calls wait for earned credit.
    may_overdraw = failure.kind is not SHED_BY_UPSTREAM
    budget = state.context.budget
    shard_id = progress.shard.shard_id
    if not is_free and not budget.try_acquire_retry(shard_id, now_ms, may_overdraw):
        state.give_up(progress, "budget", now_ms)
        return []
    state.n_retries += 1
    if failure.kind is SHED_BY_UPSTREAM:
        progress.retry_at_ms = now_ms + RETRY_DELAY_MS
        return []
    return state.try_dispatch(progress, now_ms)


def _is_held_elsewhere(
    state: FanOutState, progress: ShardProgress, now_ms: float
) -> bool:
    router = state.context.router
    snapshot_id = state.partition_map.snapshot_id
    return any(
        router.serves_snapshot(replica, snapshot_id, now_ms)
        for replica in progress.shard.replicas
        if replica.name not in progress.tried_names
    )


def _begin_replan(state: FanOutState, progress: ShardProgress) -> list[Action]:
    """Ask for another map; the other shards run on in case there is none."""
    progress.is_given_up = True
    if state.is_replanning or not state.may_replan():
        return []
    state.unavailable_snapshot_ids.append(state.partition_map.snapshot_id)
    state.is_replanning = True
    return [Replan(tuple(state.unavailable_snapshot_ids))]


@apply_event.register
def _(event: MapReplaced, state: FanOutState) -> list[Action]:
    state.is_replanning = False
    another = event.partition_map
    if another is None or not _is_better(state, another, event.now_ms):
        return probes.settle_held(state, event.now_ms)
    actions = state.cancel_all(event.now_ms)
    if state.probe_step is ProbeStep.RUNNING:
        state.probe_step = ProbeStep.NONE
    state.plan(another)
    return actions + _begin_plan(state, event.now_ms)


def _is_better(state: FanOutState, another: PartitionMap, now_ms: float) -> bool:
    """Return whether another snapshot promises more than what is merged.

    A snapshot that is still being loaded, or a deadline too close to start
    over, would turn a good partial answer into a worse one.
    """
    floor = state.context.caller_class.coverage_floor_ratio
    ratio = state.coverage().ratio
    if not is_idempotent(state.request) or ratio < floor:
        return True
    router = state.context.router
    remaining_ms = state.request.deadline_ms - now_ms
    if remaining_ms < router.hedge_delay_ms():
        return False
    shards = target_shards(state.request, another)
    n_total = sum(shard.n_documents for shard in shards)
    n_reachable = sum(
        shard.n_documents
        for shard in shards
        if any(
            router.serves_snapshot(r, another.snapshot_id, now_ms)
            for r in shard.replicas
        )
    )
    return n_reachable > ratio * n_total


@apply_event.register
def _(event: TimerFired, state: FanOutState) -> list[Action]:
    if state.is_replanning or event.now_ms >= state.request.deadline_ms:
        return []
    actions: list[Action] = []
    for progress in tuple(state.shards.values()):
        retry_at_ms = progress.retry_at_ms
        if retry_at_ms is not None and event.now_ms >= retry_at_ms:
            actions += _retry_now(state, progress, event.now_ms)
    if probes.held_shards(state):
        actions += probes.settle_held(state, event.now_ms)
    return actions + hedge_due_shards(state, event.now_ms)


def _retry_now(
    state: FanOutState, progress: ShardProgress, now_ms: float
) -> list[Action]:
    if state.is_suspected(now_ms):
        progress.retry_at_ms = None
        return probes.hold(state, progress, now_ms)
    return state.try_dispatch(progress, now_ms)


@apply_event.register
def _(event: PeersNotified, state: FanOutState) -> list[Action]:
    return probes.on_warned(state, event.now_ms)


@apply_event.register
def _(event: VerdictReached, state: FanOutState) -> list[Action]:
    return probes.settle_held(state, event.now_ms)
