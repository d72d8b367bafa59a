"""The state machine of one query: events in, actions out."""

from chestnuthall.core.fanout._events import (
    Action,
    CallAnswered,
    Complete,
    Event,
    SetTimer,
)
from chestnuthall.core.fanout._handlers import apply_event
from chestnuthall.core.fanout._hedges import hedge_due_ms, timing_of
from chestnuthall.core.fanout._outcome import completion_of
from chestnuthall.core.fanout._probes import held_shards
from chestnuthall.core.fanout._state import FanOutState
from chestnuthall.core.model import DecisionEvent, is_idempotent

# An event loop may fire a timer early by its clock's resolution. Without this
# distance the same timer would be set again for the same instant.
TIMER_DISTANCE_MIN_MS = 0.05
# How often a held query looks whether the reservation of the probe has lapsed.
HELD_CHECK_MS = 10.0


class FanOut(FanOutState):
    """One query over the shards of a pinned partition map.

    The machine takes events and returns actions. It never reads a clock and
    never waits; after a ``Complete`` it returns no further actions.
    """

    def handle(self, event: Event) -> list[Action]:
        """Apply one event and return what is to be done."""
        if self.is_complete:
            return []
        actions = apply_event(event, self)
        # An answer that starts nothing moves no due time forward, and a timer
        # that fires early is harmless. Setting it anew for each answer would
        # cost a pass over all shards each time.
        is_plain_answer = isinstance(event, CallAnswered) and not actions
        return actions + self._settle(event.now_ms, is_plain_answer)

    def complete(self, now_ms: float, reason: str) -> list[Action]:
        """End the query with what was merged."""
        self.note(
            DecisionEvent.SETTLED,
            now_ms,
            reason,
            self.coverage().ratio,
            self.partition_map.snapshot_id,
        )
        completion = completion_of(self, now_ms)
        return [*self.cancel(now_ms), Complete(completion)]

    def cancel(self, now_ms: float) -> list[Action]:
        """Cancel every call and leave the probe to another query."""
        actions = self.cancel_all(now_ms)
        self.is_complete = True
        request = self.request
        self.context.quarantine.release_probe(
            request.fingerprint, request.request_id, now_ms
        )
        return actions

    def _settle(self, now_ms: float, may_keep_timer: bool) -> list[Action]:
        reason = self._reason_to_stop(now_ms)
        if reason is not None:
            return self.complete(now_ms, reason)
        if may_keep_timer:
            return []
        earliest_ms = now_ms + TIMER_DISTANCE_MIN_MS
        return [SetTimer(max(earliest_ms, self._next_due_ms(now_ms)))]

    def _reason_to_stop(self, now_ms: float) -> str | None:
        """Return why the query ends now, or None while it goes on."""
        if now_ms >= self.request.deadline_ms:
            return "deadline"
        if self.is_quarantined(now_ms):
            return "quarantined"
        if self.is_settled and not self.is_replanning:
            return "all shards settled"
        is_repeatable = is_idempotent(self.request)
        if is_repeatable and not self.may_reach_floor and not self.is_replanning:
            # The caller can repeat the request sooner than it would be refused.
            return "floor out of reach"
        if self._is_past_soft_deadline(now_ms):
            return "soft deadline"
        return None

    def _is_past_soft_deadline(self, now_ms: float) -> bool:
        caller_class = self.context.caller_class
        if caller_class.soft_deadline_ms is None:
            return False
        if now_ms < self.request.arrived_ms + caller_class.soft_deadline_ms:
            return False
        return self.coverage().ratio >= caller_class.coverage_floor_ratio

    def _next_due_ms(self, now_ms: float) -> float:
        due_ms = self.request.deadline_ms
        soft_ms = self.context.caller_class.soft_deadline_ms
        if soft_ms is not None and now_ms < self.request.arrived_ms + soft_ms:
            due_ms = min(due_ms, self.request.arrived_ms + soft_ms)
        if self.is_replanning:
            return due_ms
        if held_shards(self):
            held_ms = self.context.quarantine.probe_reserved_until_ms(
                self.request.fingerprint
            )
            due_ms = min(due_ms, max(held_ms, now_ms + HELD_CHECK_MS))
        may_hedge = is_idempotent(self.request)
        timing = timing_of(self)
        for progress in self.shards.values():
            if progress.retry_at_ms is not None:
                due_ms = min(due_ms, progress.retry_at_ms)
            hedge_ms = hedge_due_ms(progress, timing) if may_hedge else None
            if hedge_ms is not None:
                due_ms = min(due_ms, hedge_ms)
        return due_ms
