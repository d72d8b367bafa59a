"""Second calls of shards that are slow to answer."""

from chestnuthall.core.fanout._events import Action
from chestnuthall.core.fanout._progress import RunningCall, ShardProgress
from chestnuthall.core.fanout._state import FanOutState
from chestnuthall.core.fanout._targets import open_shard
from chestnuthall.core.model import DecisionEvent, is_idempotent

# A hedge that finds no free slot or no credit is considered again after this
# time. The call that stays slow longest is the one worth a hedge most.
HEDGE_RETRY_MS = 5.0


def hedge_due_ms(progress: ShardProgress, delay_ms: float) -> float | None:
    """Return when a hedge of the shard is to be considered, or None for never."""
    oldest = progress.oldest
    if oldest is None or not _may_hedge(progress):
        return None
    return max(oldest.started_ms + delay_ms, progress.hedge_not_before_ms)


def _may_hedge(progress: ShardProgress) -> bool:
    return (
        progress.answer is None
        and not progress.is_hedged
        and len(progress.shard.replicas) > 1
    )


def hedge_due_shards(state: FanOutState, now_ms: float) -> list[Action]:
    """Start the hedges that are due, the longest running calls first.

    A suspected request is not hedged: it runs on one replica at a time.
    """
    if state.is_suspected(now_ms) or not is_idempotent(state.request):
        return []
    delay_ms = state.context.router.hedge_delay_ms(state.context.work)
    due = []
    for progress in state.shards.values():
        due_ms = hedge_due_ms(progress, delay_ms)
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
        work=state.context.work,
    )
    age_ms = now_ms - oldest.started_ms
    shard_id = progress.shard.shard_id
    if replica is None:
        _note_withheld(state, progress, "no replica with a free slot", age_ms, now_ms)
        return []
    delay_ms = state.context.router.hedge_delay_ms(state.context.work)
    lateness_ratio = age_ms / delay_ms
    if not state.context.budget.try_take_hedge(shard_id, now_ms, lateness_ratio):
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
