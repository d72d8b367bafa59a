"""Continue a request that lost replicas, one call at a time.

A request is suspected when replicas were lost while they ran it; see
``core.quarantine`` for the rule. The shards that a suspected request still has
to reach are deferred. The peers are notified, then one deferred shard is called
as the probe, and the other shards wait for its outcome, the verdict.
"""

from chestnuthall.core.fanout._events import Action, NotifyPeers
from chestnuthall.core.fanout._progress import ProbeStep, ShardProgress
from chestnuthall.core.fanout._state import N_ATTEMPTS_MAX, PROBE_REASON, FanOutState
from chestnuthall.core.fanout._targets import with_eligible_replicas
from chestnuthall.core.model import Replica

# Time that a probe needs at least, as a multiple of the typical latency.
PROBE_TIME_FACTOR = 4.0


def defer_all(state: FanOutState, now_ms: float) -> list[Action]:
    """Defer the shards of a request that became suspected in an earlier run.

    Shards whose replicas are known to survive it are called at once.
    """
    actions: list[Action] = []
    for progress in tuple(state.shards.values()):
        if state.must_defer(progress, now_ms):
            progress.is_deferred = True
        else:
            actions += state.try_dispatch(progress, now_ms)
    if not deferred_shards(state):
        return actions
    return actions + reserve_probe(state, now_ms)


def defer(state: FanOutState, progress: ShardProgress, now_ms: float) -> list[Action]:
    """Defer a shard of a suspected request until the probe is answered."""
    progress.is_deferred = True
    if state.is_quarantined(now_ms):
        return resolve_deferred(state, now_ms)
    return reserve_probe(state, now_ms)


def deferred_shards(state: FanOutState) -> list[ShardProgress]:
    """Return the shards that wait for the verdict on the request."""
    return [item for item in state.shards.values() if item.is_deferred]


def reserve_probe(state: FanOutState, now_ms: float) -> list[Action]:
    """Reserve the probe and notify the peers, unless another query has reserved it.

    With little time left the probe would be cut off without a verdict, so none is sent.
    """
    if state.probe_step is not ProbeStep.NONE:
        return []
    fingerprint = state.request.fingerprint
    if not state.context.quarantine.try_reserve_probe(
        fingerprint, state.request.request_id, state.run_id, now_ms
    ):
        return []
    if not _has_time_for_probe(state, now_ms):
        state.context.quarantine.release_probe(fingerprint, state.run_id, now_ms)
        return _fail_all_deferred(state, now_ms)
    state.probe_step = ProbeStep.NOTIFYING_PEERS
    return [NotifyPeers(fingerprint)]


def on_peers_notified(
    state: FanOutState, is_probe_granted: bool, now_ms: float
) -> list[Action]:
    """Start the probe once the peers were notified of the suspicion.

    If another instance runs it, the deferred shards wait for its verdict.
    """
    state.probe_step = ProbeStep.NONE
    if state.is_quarantined(now_ms) or not state.is_suspected(now_ms):
        return resolve_deferred(state, now_ms)
    if not is_probe_granted:
        fingerprint = state.request.fingerprint
        state.context.quarantine.reserve_probe_of_peer(fingerprint, now_ms)
        return []
    return start_probe(state, now_ms)


def start_probe(state: FanOutState, now_ms: float) -> list[Action]:
    """Call one deferred shard as the probe; fail all of them if none can be called.

    Only shards that lost replicas can tell whether the request still crashes them. The
    probe of another one tells whether the remaining shards can be called.
    """
    suspect_ids = _suspect_ids(state, now_ms)
    candidates = sorted(
        deferred_shards(state), key=lambda item: item.shard.shard_id not in suspect_ids
    )
    if suspect_ids and state.is_retest:
        candidates = [x for x in candidates if x.shard.shard_id in suspect_ids]
    for progress in candidates:
        replica = _choose_probe_replica(state, progress, now_ms)
        if replica is None or progress.n_attempts >= N_ATTEMPTS_MAX:
            continue
        if not _acquire_retry_credit(state, progress, now_ms):
            break
        progress.is_deferred = False
        state.probe_step = ProbeStep.RUNNING
        return [state.start(progress, replica, now_ms, PROBE_REASON)]
    return _fail_all_deferred(state, now_ms)


def _fail_all_deferred(state: FanOutState, now_ms: float) -> list[Action]:
    for progress in deferred_shards(state):
        _fail_deferred(state, progress, now_ms)
    return []


def _has_time_for_probe(state: FanOutState, now_ms: float) -> bool:
    needed_ms = PROBE_TIME_FACTOR * state.context.router.typical_ms(
        state.context.call_type
    )
    request = state.request
    total_ms = request.deadline_ms - request.arrived_ms
    return request.deadline_ms - now_ms >= min(needed_ms, total_ms / 2.0)


def _suspect_ids(state: FanOutState, now_ms: float) -> frozenset[str]:
    return state.context.quarantine.shards_with_losses(
        state.request.fingerprint, now_ms
    )


def _choose_probe_replica(
    state: FanOutState, progress: ShardProgress, now_ms: float
) -> Replica | None:
    """Return a replica, preferring zones in which no replica was lost.

    In a failing zone the probe would be lost even if the request is harmless.
    """
    router = state.context.router
    zones_with_losses = state.context.quarantine.zones_with_losses(
        state.request.fingerprint, now_ms
    )
    in_lost_zones = {
        item.name for item in progress.shard.replicas if item.zone in zones_with_losses
    }
    snapshot_id = state.partition_map.snapshot_id
    excluded = progress.tried_names
    shard = with_eligible_replicas(state.request, progress)
    call_type = state.context.call_type
    return router.choose(
        shard, snapshot_id, excluded | in_lost_zones, now_ms, call_type=call_type
    ) or router.choose(shard, snapshot_id, excluded, now_ms, call_type=call_type)


def _acquire_retry_credit(
    state: FanOutState, progress: ShardProgress, now_ms: float
) -> bool:
    if progress.n_attempts == 0:
        return True
    if not state.context.budget.try_acquire_retry(
        progress.shard.shard_id, now_ms, may_overdraw=True
    ):
        return False
    state.n_retries += 1
    return True


def _fail_deferred(state: FanOutState, progress: ShardProgress, now_ms: float) -> None:
    progress.is_deferred = False
    state.fail_shard(progress, "no verdict on a suspected request", now_ms)


def on_probe_answered(state: FanOutState, shard_id: str, now_ms: float) -> list[Action]:
    """Continue with the deferred shards after the answer of one of them.

    It clears the request if the shard had lost a replica. Otherwise the shards that
    have lost none are called, and the others wait for a probe of their own.
    """
    state.probe_step = ProbeStep.NONE
    fingerprint = state.request.fingerprint
    state.context.quarantine.on_probe_answered(fingerprint, shard_id, now_ms)
    actions: list[Action] = []
    if state.is_suspected(now_ms) and not state.is_quarantined(now_ms):
        suspect_ids = _suspect_ids(state, now_ms)
        for progress in deferred_shards(state):
            if progress.shard.shard_id not in suspect_ids:
                actions += _continue(state, progress, now_ms)
    return actions + resolve_deferred(state, now_ms)


def _continue(
    state: FanOutState, progress: ShardProgress, now_ms: float
) -> list[Action]:
    """Call a deferred shard as far as attempts and credit allow."""
    may_call = progress.n_attempts < N_ATTEMPTS_MAX
    if not may_call or not _acquire_retry_credit(state, progress, now_ms):
        _fail_deferred(state, progress, now_ms)
        return []
    progress.is_deferred = False
    return state.try_dispatch(progress, now_ms)


def retry_probe(
    state: FanOutState, progress: ShardProgress, now_ms: float
) -> list[Action]:
    """Repeat a probe that failed without a verdict on the request."""
    progress.is_deferred = True
    return start_probe(state, now_ms)


def resolve_deferred(state: FanOutState, now_ms: float) -> list[Action]:
    """Continue with the deferred shards, or fail those of a quarantined request.

    If the request is still suspected, the next probe is reserved instead.
    """
    if state.is_suspected(now_ms) and not state.is_quarantined(now_ms):
        return reserve_probe(state, now_ms)
    is_quarantined = state.is_quarantined(now_ms)
    actions: list[Action] = []
    for progress in deferred_shards(state):
        if is_quarantined:
            _fail_deferred(state, progress, now_ms)
        else:
            actions += _continue(state, progress, now_ms)
    return actions
