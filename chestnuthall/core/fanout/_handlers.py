"""Event handlers of the fan-out state machine, dispatched on the event type."""

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
    is_idempotent,
)
from chestnuthall.core.results import (
    CALL_MISMATCH,
    CALL_TIMED_OUT,
    CONNECTION_LOST,
    QUARANTINED,
    SHED_BY_UPSTREAM,
    SNAPSHOT_GONE,
    UPSTREAM_ERROR,
    Failure,
)

RETRY_DELAY_MS = 2.0


@singledispatch
def apply_event(event: Event, state: FanOutState) -> list[Action]:
    """Apply one event and return the resulting actions."""
    raise TypeError(f"not an event: {type(event).__name__}")


@apply_event.register
def _(event: QueryStarted, state: FanOutState) -> list[Action]:
    # The probe of a suspected request is one call to one replica, so its shards
    # must not be combined into sets.
    may_combine = not state.is_suspected(event.now_ms)
    state.plan(state.partition_map, may_combine)
    context = state.context
    shard_ids = state.direct_shard_ids()
    context.budget.record_calls(shard_ids, context.utilisation_ratio, event.now_ms)
    return _start_calls(state, event.now_ms)


def _start_calls(state: FanOutState, now_ms: float) -> list[Action]:
    if state.is_suspected(now_ms):
        return probes.defer_all(state, now_ms)
    return state.dispatch_all(now_ms)


@apply_event.register
def _(event: CallAnswered, state: FanOutState) -> list[Action]:
    found = state.pop_running(event.call_id)
    if found is None:
        state.n_discarded += 1
        return []
    progress, running = found
    answer = event.answer
    if not running.is_answered_by(answer):
        state.n_discarded += 1
        failure = CALL_MISMATCH.with_reason("the answer has the ids of another call")
        return _handle_failure(state, progress, running, failure, event.now_ms)
    if not progress.shard.shards:
        progress.has_replied = True
        state.context.quarantine.on_answered(
            state.request.fingerprint, answer.shard_id, event.now_ms
        )
    if answer.is_error:
        failure = UPSTREAM_ERROR.with_reason("the replica answered with an error")
        state.error_reply = answer.reply
        return _handle_failure(state, progress, running, failure, event.now_ms)
    state.context.router.on_answered(
        running.call.replica,
        running.started_ms,
        answer,
        event.now_ms,
        call_type=state.call_type_of(progress),
    )
    elapsed_ms = event.now_ms - running.started_ms
    _record_answer(state, progress, answer, elapsed_ms)
    state.record_decision(
        DecisionEvent.CALL_ANSWERED,
        event.now_ms,
        answer.shard_id,
        running.call.replica.name,
        elapsed_ms,
        None if answer.reply is None else answer.reply.status,
    )
    actions = state.cancel_running(progress, event.now_ms)
    if running.is_probe or progress.has_lost_replica:
        # Another replica of the shard ran the request and survived.
        actions += probes.on_probe_answered(state, answer.shard_id, event.now_ms)
    return actions


def _record_answer(
    state: FanOutState, progress: ShardProgress, answer: ShardAnswer, latency_ms: float
) -> None:
    progress.answer = answer
    progress.is_deferred = False
    state.n_answered += 1
    if latency_ms >= state.slowest_shard_ms:
        state.slowest_shard_id = answer.shard_id
        state.slowest_shard_ms = latency_ms


@apply_event.register
def _(event: CallFailed, state: FanOutState) -> list[Action]:
    found = state.pop_running(event.call_id)
    if found is None:
        state.n_discarded += 1
        return []
    progress, running = found
    return _handle_failure(state, progress, running, event.failure, event.now_ms)


def _handle_failure(
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
        progress.contacted_names.discard(running.call.replica.name)
    state.record_decision(
        DecisionEvent.CALL_FAILED,
        now_ms,
        running.call.shard_id,
        running.call.replica.name,
        now_ms - running.started_ms,
        failure.kind.name,
        failure.reason,
    )
    _report_failure(state, progress, running, failure, now_ms)
    if progress.running:
        return []
    if not _may_retry(state, progress, failure, now_ms):
        state.fail_shard(progress, "no attempt left", now_ms)
        # Deferred shards must not wait for a probe that will not be repeated.
        return probes.resolve_deferred(state, now_ms) if running.is_probe else []
    if failure.kind is SNAPSHOT_GONE and not _has_untried_replica_with_snapshot(
        state, progress, now_ms
    ):
        return _request_replan(state, progress, now_ms)
    if running.is_probe and state.is_suspected(now_ms):
        return probes.retry_probe(state, progress, now_ms)
    if state.must_defer(progress, now_ms):
        return probes.defer(state, progress, now_ms)
    return _retry(state, progress, failure, now_ms)


def _report_failure(
    state: FanOutState,
    progress: ShardProgress,
    running: RunningCall,
    failure: Failure,
    now_ms: float,
) -> None:
    context = state.context
    # A peer that terminates does not indicate that the request crashes replicas.
    is_replica_loss = failure.kind is CONNECTION_LOST and not progress.shard.shards
    if failure.kind is CALL_TIMED_OUT and not progress.shard.shards:
        state.timed_out.append(running)
    is_refused_by_peer = failure.kind is QUARANTINED and bool(progress.shard.shards)
    is_attributed_to_request = is_refused_by_peer or (
        is_replica_loss and state.is_suspected(now_ms)
    )
    if is_refused_by_peer:
        context.quarantine.quarantine(state.request.fingerprint, now_ms)
    if is_replica_loss:
        progress.has_lost_replica = True
        context.quarantine.record_loss(
            state.request.fingerprint,
            running.call.replica,
            running.call.shard_id,
            now_ms,
            running.started_ms,
            is_probe=running.is_probe,
            answered_shard_ids=state.replied_shard_ids(),
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
    # A peer that may have started a shard set may have called its replicas, and
    # those calls count towards the replica limit of the request.
    is_repeatable = is_idempotent(request) and not progress.shard.shards
    if not is_repeatable and failure.kind not in NOT_STARTED_KINDS:
        return False
    if state.is_retest and failure.kind not in NOT_SENT_KINDS:
        return False
    return not state.is_quarantined(now_ms)


def _retry(
    state: FanOutState, progress: ShardProgress, failure: Failure, now_ms: float
) -> list[Action]:
    # A call that was never written, or that a replica refused because of its
    # snapshot, caused no work at an upstream; only other retries are extra load.
    is_free = failure.kind in NOT_SENT_KINDS or failure.kind is SNAPSHOT_GONE
    is_free = is_free or bool(progress.shard.shards)
    # An upstream that sheds load has no spare capacity, so its retries may use
    # only accumulated credit.
    may_overdraw = failure.kind is not SHED_BY_UPSTREAM
    budget = state.context.budget
    shard_id = progress.shard.shard_id
    if not is_free and not budget.try_acquire_retry(shard_id, now_ms, may_overdraw):
        state.fail_shard(progress, "budget", now_ms)
        return []
    state.n_retries += 1
    if failure.kind is SHED_BY_UPSTREAM:
        progress.retry_at_ms = now_ms + RETRY_DELAY_MS
        return []
    return state.try_dispatch(progress, now_ms)


def _has_untried_replica_with_snapshot(
    state: FanOutState, progress: ShardProgress, now_ms: float
) -> bool:
    router = state.context.router
    snapshot_id = state.partition_map.snapshot_id
    return any(
        router.serves_snapshot(replica, snapshot_id, now_ms)
        for replica in progress.shard.replicas
        if replica.name not in progress.tried_names
    )


def _request_replan(
    state: FanOutState, progress: ShardProgress, now_ms: float
) -> list[Action]:
    """Request another map; calls of other shards continue in case there is none."""
    state.fail_shard(progress, "snapshot gone", now_ms)
    if state.is_replanning or not state.may_replan():
        return []
    state.unavailable_snapshot_ids.append(state.partition_map.snapshot_id)
    state.is_replanning = True
    return [Replan(tuple(state.unavailable_snapshot_ids))]


@apply_event.register
def _(event: MapReplaced, state: FanOutState) -> list[Action]:
    state.is_replanning = False
    new_map = event.partition_map
    if new_map is None or not _should_switch_map(state, new_map, event.now_ms):
        return probes.resolve_deferred(state, event.now_ms)
    actions = state.cancel_all(event.now_ms)
    if state.probe_step is ProbeStep.RUNNING:
        state.probe_step = ProbeStep.NONE
    state.plan(new_map)
    return actions + _start_calls(state, event.now_ms)


def _should_switch_map(
    state: FanOutState, new_map: PartitionMap, now_ms: float
) -> bool:
    """Return whether the new map is expected to give a better answer.

    When the current answer already reaches the coverage floor, starting over on
    a snapshot that replicas are still loading, or too close to the deadline,
    would replace a good partial answer by a worse one.
    """
    floor = state.context.caller_class.coverage_floor_ratio
    ratio = state.coverage().ratio
    if not is_idempotent(state.request) or ratio < floor:
        return True
    router = state.context.router
    remaining_ms = state.request.deadline_ms - now_ms
    if remaining_ms < router.hedge_delay_ms():
        return False
    shards = target_shards(state.request, new_map)
    n_total = sum(shard.n_documents for shard in shards)
    n_reachable = sum(
        shard.n_documents
        for shard in shards
        if any(
            router.serves_snapshot(r, new_map.snapshot_id, now_ms)
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
    if probes.deferred_shards(state):
        actions += probes.resolve_deferred(state, event.now_ms)
    return actions + hedge_due_shards(state, event.now_ms)


def _retry_now(
    state: FanOutState, progress: ShardProgress, now_ms: float
) -> list[Action]:
    if state.must_defer(progress, now_ms):
        progress.retry_at_ms = None
        return probes.defer(state, progress, now_ms)
    return state.try_dispatch(progress, now_ms)


@apply_event.register
def _(event: PeersNotified, state: FanOutState) -> list[Action]:
    return probes.on_peers_notified(state, event.is_probe_granted, event.now_ms)


@apply_event.register
def _(event: VerdictReached, state: FanOutState) -> list[Action]:
    return probes.resolve_deferred(state, event.now_ms)
