"""Hedging: a second call to a shard whose first call is slow."""

from dataclasses import dataclass

from chestnuthall.core.fanout._events import Action
from chestnuthall.core.fanout._progress import RunningCall, ShardProgress
from chestnuthall.core.fanout._state import FanOutState
from chestnuthall.core.fanout._targets import with_eligible_replicas
from chestnuthall.core.model import DecisionEvent, is_idempotent

# Delay before a hedge that found no free slot or no credit is considered again.
# It is not dropped, since the longer a call stays slow, the more it needs a hedge.
HEDGE_RETRY_MS = 5.0
# Upper bound of the hedge delay of queries with a soft deadline, as a multiple of the
# typical latency. While many replicas are slow, a quantile of all calls is too late.
DELAY_MAX_FACTOR = 2.0
# Minimum age of a call before it is hedged, as a multiple of the typical latency.
MIN_AGE_FACTOR = 1.8


@dataclass(frozen=True, slots=True)
class HedgeTiming:
    """Hedge schedule for the calls of one query.

    A call is hedged ``delay_ms`` after its start, but not later than at
    ``latest_ms``, after which a second call would miss the soft deadline. A call
    younger than ``min_age_ms`` is never hedged, even after ``latest_ms``. A call to a
    persistently slow replica is hedged ``trial_delay_ms`` after its start.
    """

    delay_ms: float
    min_age_ms: float
    latest_ms: float
    trial_delay_ms: float = float("inf")

    def due_ms(self, started_ms: float, is_trial: bool = False) -> float:
        """Return the time at which a call is due for a hedge.

        Examples
        --------
        >>> timing = HedgeTiming(delay_ms=60.0, min_age_ms=15.0, latest_ms=40.0)
        >>> timing.due_ms(0.0), timing.due_ms(35.0)
        (40.0, 50.0)
        """
        delay_ms = self.delay_ms
        if is_trial:
            delay_ms = min(delay_ms, self.trial_delay_ms)
        due_ms = min(started_ms + delay_ms, self.latest_ms)
        return max(due_ms, started_ms + self.min_age_ms)


def hedge_timing(state: FanOutState) -> HedgeTiming:
    """Return the hedge timing of a query from the router's latency statistics."""
    router = state.context.router
    call_type = state.context.call_type
    delay_ms = router.hedge_delay_ms(call_type)
    soft_ms = state.context.caller_class.soft_deadline_ms
    typical_ms = router.typical_ms(call_type)
    min_age_ms = MIN_AGE_FACTOR * typical_ms
    if soft_ms is None or not call_type:
        return HedgeTiming(delay_ms, 0.0, float("inf"), min_age_ms)
    # A hedge started by then has at least ``min_age_ms`` before the soft deadline.
    latest_ms = state.request.arrived_ms + soft_ms - min_age_ms
    delay_ms = min(delay_ms, DELAY_MAX_FACTOR * typical_ms)
    return HedgeTiming(delay_ms, min_age_ms, latest_ms, min_age_ms)


def hedge_due_ms(
    state: FanOutState, progress: ShardProgress, timing: HedgeTiming, now_ms: float
) -> float | None:
    """Return when to consider a hedge of the shard, or None for never."""
    oldest = progress.oldest_call
    if oldest is None or not _may_hedge(progress):
        return None
    if state.must_defer(progress, now_ms):
        return None
    due_ms = timing.due_ms(oldest.started_ms, oldest.is_trial)
    return max(due_ms, progress.hedge_not_before_ms)


def _may_hedge(progress: ShardProgress) -> bool:
    return (
        progress.answer is None
        and not progress.is_hedged
        and len(progress.shard.replicas) > 1
        and not progress.shard.shards
    )


def hedge_due_shards(state: FanOutState, now_ms: float) -> list[Action]:
    """Start the hedges that are due, oldest calls first.

    A suspected request is hedged only at shards whose replicas survive it.
    """
    if not is_idempotent(state.request):
        return []
    timing = hedge_timing(state)
    due = []
    for progress in state.shards.values():
        due_ms = hedge_due_ms(state, progress, timing, now_ms)
        oldest = progress.oldest_call
        if oldest is not None and due_ms is not None and due_ms <= now_ms:
            due.append((oldest, progress))
    due.sort(key=lambda item: item[0].started_ms)
    actions: list[Action] = []
    for oldest, progress in due:
        actions += _hedge(state, progress, oldest, now_ms)
    return actions


def _hedge(
    state: FanOutState, progress: ShardProgress, oldest: RunningCall, now_ms: float
) -> list[Action]:
    """Start a second call if a replica has a free slot and the budget allows it.

    The shard counts as hedged only once the second call has started. Otherwise a
    brief lack of slots or credit would leave a straggler without a hedge.
    """
    progress.hedge_not_before_ms = now_ms + HEDGE_RETRY_MS
    replica = state.context.router.choose(
        with_eligible_replicas(state.request, progress),
        state.partition_map.snapshot_id,
        progress.tried_names,
        now_ms,
        needs_free_slot=True,
        call_type=state.context.call_type,
    )
    age_ms = now_ms - oldest.started_ms
    shard_id = progress.shard.shard_id
    if replica is None:
        _record_withheld_hedge(
            state, progress, "no replica with a free slot", age_ms, now_ms
        )
        return []
    delay_ms = state.context.router.hedge_delay_ms(state.context.call_type)
    lateness_ratio = age_ms / delay_ms
    if not state.context.budget.try_acquire_hedge(shard_id, now_ms, lateness_ratio):
        _record_withheld_hedge(state, progress, "budget", age_ms, now_ms)
        return []
    progress.is_hedged = True
    state.n_hedges += 1
    return [state.start(progress, replica, now_ms, "hedge")]


def _record_withheld_hedge(
    state: FanOutState,
    progress: ShardProgress,
    reason: str,
    age_ms: float,
    now_ms: float,
) -> None:
    """Record the first reason why a shard was not hedged; later ones repeat it."""
    if progress.is_hedge_withheld:
        return
    progress.is_hedge_withheld = True
    shard_id = progress.shard.shard_id
    state.record_decision(
        DecisionEvent.HEDGE_WITHHELD, now_ms, shard_id, reason, age_ms
    )
