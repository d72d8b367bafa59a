"""Second calls of shards that are slow to answer."""

from dataclasses import dataclass

from chestnuthall.core.fanout._events import Action
from chestnuthall.core.fanout._progress import RunningCall, ShardProgress
from chestnuthall.core.fanout._state import FanOutState
from chestnuthall.core.fanout._targets import open_shard
from chestnuthall.core.model import DecisionEvent, is_idempotent

# A hedge that finds no free slot or no credit is considered again after this
# time. The call that stays slow longest is the one worth a hedge most.
HEDGE_RETRY_MS = 5.0
# Time that a call is given at least, as a multiple of the usual one.
USUAL_FACTOR = 1.8


@dataclass(frozen=True, slots=True)
class HedgeTiming:
    """When the calls of one query are hedged.

    A call is hedged ``delay_ms`` after its start, but not later than
    ``latest_ms``, from which on a second call would miss the soft deadline. It
    always has ``usual_ms`` first.
    """

    delay_ms: float
    usual_ms: float
    latest_ms: float

    def due_ms(self, started_ms: float) -> float:
        """Return when a call is due for a hedge.

        Examples
        --------
        >>> timing = HedgeTiming(delay_ms=60.0, usual_ms=15.0, latest_ms=40.0)
        >>> timing.due_ms(0.0), timing.due_ms(35.0)
        (40.0, 50.0)
        """
        due_ms = min(started_ms + self.delay_ms, self.latest_ms)
        return max(due_ms, started_ms + self.usual_ms)


def timing_of(state: FanOutState) -> HedgeTiming:
    """Return the timing for the calls of a query, from what the router learnt."""
    router = state.context.router
    call_type = state.context.call_type
    delay_ms = router.hedge_delay_ms(call_type)
    soft_ms = state.context.caller_class.soft_deadline_ms
    if soft_ms is None or not call_type:
        return HedgeTiming(delay_ms, 0.0, float("inf"))
    usual_ms = USUAL_FACTOR * router.typical_ms(call_type)
    latest_ms = state.request.arrived_ms + soft_ms - usual_ms
    return HedgeTiming(delay_ms, usual_ms, latest_ms)


def hedge_due_ms(progress: ShardProgress, timing: HedgeTiming) -> float | None:
    """Return when a hedge of the shard is to be considered, or None for never."""
    oldest = progress.oldest
    if oldest is None or not _may_hedge(progress):
        return None
    return max(timing.due_ms(oldest.started_ms), progress.hedge_not_before_ms)


def _may_hedge(progress: ShardProgress) -> bool:
    return (
        progress.answer is None
        and not progress.is_hedged
        and len(progress.shard.replicas) > 1
        and not progress.shard.shards
    )


def hedge_due_shards(state: FanOutState, now_ms: float) -> list[Action]:
    """Start the hedges that are due, the longest running calls first.

    A suspected request is not hedged: it runs on one replica at a time.
    """
    if state.is_suspected(now_ms) or not is_idempotent(state.request):
        return []
    timing = timing_of(state)
    due = []
    for progress in state.shards.values():
        due_ms = hedge_due_ms(progress, timing)
        oldest = progress.oldest
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

    The shard counts as hedged only once the call is made. Otherwise one moment
    without a slot or credit would leave a straggler without its hedge.
    """
    progress.hedge_not_before_ms = now_ms + HEDGE_RETRY_MS
    replica = state.context.router.choose(
        open_shard(state.request, progress),
        state.partition_map.snapshot_id,
        progress.tried_names,
        now_ms,
        needs_free_slot=True,
        call_type=state.context.call_type,
    )
    age_ms = now_ms - oldest.started_ms
    shard_id = progress.shard.shard_id
    if replica is None:
        _note_withheld(state, progress, "no replica with a free slot", age_ms, now_ms)
        return []
    delay_ms = state.context.router.hedge_delay_ms(state.context.call_type)
    lateness_ratio = age_ms / delay_ms
    if not state.context.budget.try_acquire_hedge(shard_id, now_ms, lateness_ratio):
        _note_withheld(state, progress, "budget", age_ms, now_ms)
        return []
    progress.is_hedged = True
    state.n_hedges += 1
    return [state.start(progress, replica, now_ms, "hedge")]


def _note_withheld(
    state: FanOutState, progress: ShardProgress, why: str, age_ms: float, now_ms: float
) -> None:
    """Keep the first reason for a shard's missing hedge; later ones repeat it."""
    if progress.is_hedge_withheld:
        return
    progress.is_hedge_withheld = True
    shard_id = progress.shard.shard_id
    state.note(DecisionEvent.HEDGE_WITHHELD, now_ms, shard_id, why, age_ms)
