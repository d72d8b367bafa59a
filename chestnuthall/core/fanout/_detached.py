"""Take the verdict on a suspected request from a probe that outlasts its query.

A query is answered at its soft deadline without the shard that it probes. Without the
result of the probe each further query would have to send another one, and a request
that crashes replicas slowly would never be quarantined.
"""

from functools import singledispatch

from chestnuthall.core.fanout._events import CallAnswered, CallFailed, Event
from chestnuthall.core.fanout._progress import RunningCall
from chestnuthall.core.fanout._state import FanOutState
from chestnuthall.core.results import CALL_CANCELLED, CONNECTION_LOST, Failure


@singledispatch
def apply_late_event(event: Event, state: FanOutState) -> None:
    """Apply an event after the end of the query; only the probe's result counts."""


@apply_late_event.register
def _(event: CallAnswered, state: FanOutState) -> None:
    running = _pop_probe(state, event.call_id)
    if running is None:
        return
    _report(state, running, event.now_ms)
    if not running.is_answered_by(event.answer):
        return
    quarantine = state.context.quarantine
    fingerprint, shard_id = state.request.fingerprint, running.call.shard_id
    quarantine.on_answered(fingerprint, shard_id, event.now_ms)
    quarantine.on_probe_answered(fingerprint, shard_id, event.now_ms)


@apply_late_event.register
def _(event: CallFailed, state: FanOutState) -> None:
    running = _pop_probe(state, event.call_id)
    if running is None:
        return
    _report(state, running, event.now_ms, event.failure)
    quarantine = state.context.quarantine
    fingerprint = state.request.fingerprint
    if event.failure.kind is CONNECTION_LOST:
        quarantine.record_loss(
            fingerprint,
            running.call.replica,
            running.call.shard_id,
            event.now_ms,
            running.started_ms,
            is_probe=True,
            answered_shard_ids=state.replied_shard_ids(),
        )
    else:
        quarantine.record_unanswered_probe(fingerprint, event.now_ms)


def _pop_probe(state: FanOutState, call_id: str) -> RunningCall | None:
    running = state.detached_probe
    if running is None or running.call.call_id != call_id:
        return None
    state.detached_probe = None
    return running


def _report(
    state: FanOutState,
    running: RunningCall,
    now_ms: float,
    failure: Failure | None = None,
) -> None:
    """Report the end of the call; its replica is not blamed for the request."""
    state.context.router.on_failed(
        running.call.replica,
        failure or CALL_CANCELLED.with_reason("answer no longer needed"),
        running.call.snapshot_id,
        running.started_ms,
        now_ms,
        is_attributed_to_request=True,
        call_type=state.context.call_type,
    )
