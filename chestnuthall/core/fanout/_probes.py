"""How a request that lost replicas goes on: one call at a time.

See ``core.quarantine`` for the rule. The shards that a suspected request still
has to reach are held. Peers are warned, then one held shard is called, the
probe, and the others wait for its outcome.
"""

from chestnuthall.core.fanout._events import Action, NotifyPeers
from chestnuthall.core.fanout._progress import ProbeStep, ShardProgress
from chestnuthall.core.fanout._state import N_ATTEMPTS_MAX, PROBE, FanOutState
from chestnuthall.core.fanout._targets import open_shard
from chestnuthall.core.model import Replica


def begin_suspected(state: FanOutState, now_ms: float) -> list[Action]:
    """Hold every shard of a request that an earlier run made suspected."""
    for progress in state.shards.values():
        progress.is_held = True
    return begin_probe(state, now_ms)


def hold(state: FanOutState, progress: ShardProgress, now_ms: float) -> list[Action]:
    """Hold a shard that lost its replica, until the probe is answered."""
    progress.is_held = True
    if state.is_quarantined(now_ms):
        return settle_held(state, now_ms)
    return begin_probe(state, now_ms)


def held_shards(state: FanOutState) -> list[ShardProgress]:
    """Return the shards that wait for the verdict."""
    return [item for item in state.shards.values() if item.is_held]


def begin_probe(state: FanOutState, now_ms: float) -> list[Action]:
    """Warn the peers if no other query runs the probe already."""
    if state.probe_step is not ProbeStep.NONE:
        return []
    request = state.request
    if not state.context.quarantine.try_reserve_probe(
        request.fingerprint, request.request_id, now_ms
    ):
        return []
    state.probe_step = ProbeStep.NOTIFYING_PEERS
    return [NotifyPeers(request.fingerprint)]


def on_warned(state: FanOutState, now_ms: float) -> list[Action]:
    """Start the probe, now that the peers know of the suspicion."""
    state.probe_step = ProbeStep.NONE
    if state.is_quarantined(now_ms) or not state.is_suspected(now_ms):
        return settle_held(state, now_ms)
    return start_probe(state, now_ms)


def start_probe(state: FanOutState, now_ms: float) -> list[Action]:
    """Call one held shard; give all of them up if none can be called."""
    for progress in held_shards(state):
        replica = _choose(state, progress, now_ms)
        if replica is None or progress.n_attempts >= N_ATTEMPTS_MAX:
            continue
        if not _take_credit(state, progress, now_ms):
            break
        progress.is_held = False
        state.probe_step = ProbeStep.RUNNING
        return [state.start(progress, replica, now_ms, PROBE)]
    for progress in held_shards(state):
        _give_up(state, progress, now_ms)
    return []


def _choose(
    state: FanOutState, progress: ShardProgress, now_ms: float
) -> Replica | None:
    """Return a replica outside the zones that lost replicas, if there is one.

    In a zone that is failing the probe would be lost whatever the request does.
    """
    router = state.context.router
    zones_with_losses = state.context.quarantine.zones_with_losses(
        state.request.fingerprint, now_ms
    )
    doubtful = {
        item.name for item in progress.shard.replicas if item.zone in zones_with_losses
    }
    snapshot_id = state.partition_map.snapshot_id
    excluded = progress.tried_names
    shard = open_shard(state.request, progress)
    call_type = state.context.call_type
    return router.choose(
        shard, snapshot_id, excluded | doubtful, now_ms, call_type=call_type
    ) or router.choose(shard, snapshot_id, excluded, now_ms, call_type=call_type)


def _take_credit(state: FanOutState, progress: ShardProgress, now_ms: float) -> bool:
    if progress.n_attempts == 0:
        return True
    if not state.context.budget.try_acquire_retry(
        progress.shard.shard_id, now_ms, may_overdraw=True
    ):
        return False
    state.n_retries += 1
    return True


def _give_up(state: FanOutState, progress: ShardProgress, now_ms: float) -> None:
    progress.is_held = False
    state.give_up(progress, "no verdict on a suspected request", now_ms)


def on_probe_answered(state: FanOutState, now_ms: float) -> list[Action]:
    """Clear the request and go on with the shards that waited."""
    state.probe_step = ProbeStep.NONE
    state.context.quarantine.clear(state.request.fingerprint, now_ms)
    return settle_held(state, now_ms)


def on_probe_not_run(
    state: FanOutState, progress: ShardProgress, now_ms: float
) -> list[Action]:
    """Try the probe again, since nothing was learnt of the request."""
    progress.is_held = True
    return start_probe(state, now_ms)


def settle_held(state: FanOutState, now_ms: float) -> list[Action]:
    """Go on with the held shards of a cleared request, or give them up."""
    if state.is_suspected(now_ms) and not state.is_quarantined(now_ms):
        return begin_probe(state, now_ms)
    is_quarantined = state.is_quarantined(now_ms)
    actions: list[Action] = []
    for progress in held_shards(state):
        may_go_on = not is_quarantined and progress.n_attempts < N_ATTEMPTS_MAX
        if not may_go_on or not _take_credit(state, progress, now_ms):
            _give_up(state, progress, now_ms)
            continue
        progress.is_held = False
        actions += state.try_dispatch(progress, now_ms)
    return actions
