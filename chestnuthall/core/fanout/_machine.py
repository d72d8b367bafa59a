"""State machine of one query, which maps events to actions."""

from chestnuthall.core.fanout._detached import apply_late_event
from chestnuthall.core.fanout._events import (
    Action,
    CallAnswered,
    Complete,
    Event,
    SetTimer,
)
from chestnuthall.core.fanout._handlers import apply_event
from chestnuthall.core.fanout._hedges import hedge_due_ms, hedge_timing
from chestnuthall.core.fanout._outcome import completion_of
from chestnuthall.core.fanout._probes import deferred_shards
from chestnuthall.core.fanout._state import FanOutState
from chestnuthall.core.model import DecisionEvent, is_idempotent

# Minimum interval between now and the next timer. An event loop may fire a timer
# early by up to its clock resolution; without a minimum, the same timer would be
# set again for the same instant.
TIMER_INTERVAL_MIN_MS = 0.05
# Minimum interval at which a query with deferred shards checks whether another
# query's reservation of the probe has expired.
DEFERRED_CHECK_INTERVAL_MS = 10.0
SOFT_DEADLINE_REASON = "soft deadline"


class FanOut(FanOutState):
    """One query over the shards of a pinned partition map.

    The machine receives events and returns actions. It neither reads a clock nor
    blocks; after a ``Complete`` it returns no further actions. If it was completed
    without the answer of its probe, ``detached_probe`` goes on and its result is the
    verdict on the request all the same.
    """

    def handle(self, event: Event) -> list[Action]:
        """Apply one event and return the actions to perform."""
        if self.is_complete:
            apply_late_event(event, self)
            return []
        actions = apply_event(event, self)
        # An answer that triggers no action makes nothing due earlier, and a timer
        # that fires too early is harmless. Resetting the timer on every answer
        # would cost a pass over all shards each time.
        may_keep_timer = isinstance(event, CallAnswered) and not actions
        return actions + self._complete_or_set_timer(event.now_ms, may_keep_timer)

    def complete(self, now_ms: float, reason: str) -> list[Action]:
        """End the query with the answers merged so far."""
        self.record_decision(
            DecisionEvent.SETTLED,
            now_ms,
            reason,
            self.coverage().ratio,
            self.partition_map.snapshot_id,
        )
        completion = completion_of(self, now_ms)
        if reason == SOFT_DEADLINE_REASON:
            self.detach_probe()
        actions = self.cancel(now_ms, is_abandoned=False)
        return [*actions, Complete(completion)]

    def cancel(self, now_ms: float, is_abandoned: bool = True) -> list[Action]:
        """Cancel every call, and end the probe or retest that the query may hold.

        ``is_abandoned`` says that the caller has left before the query ended.
        """
        self.unanswered = self.unanswered_calls()
        actions = self.cancel_all(now_ms)
        self.is_complete = True
        request = self.request
        self.context.quarantine.end_run(
            request.fingerprint,
            request.request_id,
            self.run_id,
            now_ms,
            has_lost_replica=any(
                progress.has_lost_replica for progress in self.shards.values()
            ),
            is_answered=self.n_answered > 0,
            has_unanswered_calls=bool(self.unanswered),
            has_unanswered_probe=any(item.is_probe for item in self.unanswered),
            is_probe_running=is_abandoned or self.detached_probe is not None,
        )
        return actions

    def _complete_or_set_timer(
        self, now_ms: float, may_keep_timer: bool
    ) -> list[Action]:
        reason = self._completion_reason(now_ms)
        if reason is not None:
            return self.complete(now_ms, reason)
        if may_keep_timer:
            return []
        earliest_ms = now_ms + TIMER_INTERVAL_MIN_MS
        return [SetTimer(max(earliest_ms, self._next_due_ms(now_ms)))]

    def _completion_reason(self, now_ms: float) -> str | None:
        """Return why the query ends now, or None while it continues."""
        if now_ms >= self.request.deadline_ms:
            return "deadline"
        if self.is_quarantined(now_ms):
            return "quarantined"
        if self.all_shards_finished and not self.is_replanning:
            return "all shards settled"
        is_repeatable = is_idempotent(self.request)
        if is_repeatable and not self.may_reach_floor and not self.is_replanning:
            # The caller can repeat the request sooner than after a failure at the
            # deadline.
            return "floor out of reach"
        soft_ms = self.context.caller_class.soft_deadline_ms
        if soft_ms is None or now_ms < self.request.arrived_ms + soft_ms:
            return None
        if self.coverage().ratio < self.context.caller_class.coverage_floor_ratio:
            self.has_missed_soft_deadline = True
            return None
        if not self.has_missed_soft_deadline:
            self.soft_decision_ms = self.request.arrived_ms + soft_ms
        return SOFT_DEADLINE_REASON

    def _next_due_ms(self, now_ms: float) -> float:
        due_ms = self.request.deadline_ms
        soft_ms = self.context.caller_class.soft_deadline_ms
        if soft_ms is not None and now_ms < self.request.arrived_ms + soft_ms:
            due_ms = min(due_ms, self.request.arrived_ms + soft_ms)
        if self.is_replanning:
            return due_ms
        if deferred_shards(self):
            reserved_until_ms = self.context.quarantine.probe_reserved_until_ms(
                self.request.fingerprint
            )
            due_ms = min(
                due_ms, max(reserved_until_ms, now_ms + DEFERRED_CHECK_INTERVAL_MS)
            )
        may_hedge = is_idempotent(self.request)
        timing = hedge_timing(self)
        for progress in self.shards.values():
            if progress.retry_at_ms is not None:
                due_ms = min(due_ms, progress.retry_at_ms)
            hedge_ms = (
                hedge_due_ms(self, progress, timing, now_ms) if may_hedge else None
            )
            if hedge_ms is not None:
                due_ms = min(due_ms, hedge_ms)
        return due_ms
