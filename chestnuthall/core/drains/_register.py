"""The drain notices that an instance holds."""

from dataclasses import dataclass, field
from functools import singledispatchmethod
from heapq import nsmallest

from chestnuthall.core.drains._events import (
    CameBack,
    DrainAction,
    DrainEvent,
    DrainSignal,
    Notice,
    NoticesReceived,
    ResumeCalls,
    Signalled,
    SpreadNews,
    StopCalls,
)

# The replica itself says when these end; the list has to say it for LIST, and
# an operator's drain runs out.
_ENDED_BY_HEALTH = frozenset(
    {DrainSignal.ANSWER, DrainSignal.HEALTH, DrainSignal.REFUSED}
)


def _lifetimes() -> dict[DrainSignal, float]:
    return {
        DrainSignal.LIST: 30_000.0,
        DrainSignal.ANSWER: 30_000.0,
        DrainSignal.HEALTH: 30_000.0,
        # A refusal may be a crash, after which the replica soon returns.
        DrainSignal.REFUSED: 10_000.0,
        DrainSignal.OPERATOR: 600_000.0,
    }


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainSettings:
    """Durations in milliseconds; counts bound messages and memory."""

    lifetimes_ms: dict[DrainSignal, float] = field(default_factory=_lifetimes)
    # Longer than any message takes, so that instances which forget a notice
    # at slightly different times cannot give it back to each other.
    remaining_min_ms: float = 1_000.0
    remembered_ms: float = 10_000.0
    n_notices_max: int = 8
    n_transmissions_max: int = 24
    n_records_max: int = 4_096


@dataclass(slots=True)
class _Record:
    sequence: int
    signal: DrainSignal
    is_over: bool
    expires_ms: float
    n_sent: int = 0


class DrainRegister:
    """Takes signals and notices, and decides which replicas are not called.

    A notice keeps the expiry that it had when it was first heard of, so that
    echoes cannot prolong it; only a new signal at some instance can.
    """

    def __init__(self, settings: DrainSettings | None = None) -> None:
        self._settings = settings or DrainSettings()
        self._records: dict[str, _Record] = {}

    def handle(self, event: DrainEvent) -> list[DrainAction]:
        """Take one event and return what has to be done."""
        self._forget(event.now_ms)
        return self._on(event)

    @singledispatchmethod
    def _on(self, event: DrainEvent) -> list[DrainAction]:
        raise TypeError(f"not a drain event: {type(event).__name__}")

    @_on.register
    def _(self, event: Signalled) -> list[DrainAction]:
        lifetime_ms = self._settings.lifetimes_ms[event.signal]
        record = self._records.get(event.replica_name)
        if record is not None and not record.is_over:
            remaining_ms = record.expires_ms - event.now_ms
            if remaining_ms >= lifetime_ms / 2.0:
                return []
        sequence = self._next_sequence(record, event.wall_ms)
        expires_ms = event.now_ms + lifetime_ms
        was_held = record is not None and not self._is_ended(record, event.now_ms)
        self._records[event.replica_name] = _Record(
            sequence, event.signal, False, expires_ms
        )
        stop = StopCalls(event.replica_name, expires_ms)
        # A renewal is not urgent: every instance still holds the old notice.
        return [stop] if was_held else [stop, SpreadNews()]

    @_on.register
    def _(self, event: CameBack) -> list[DrainAction]:
        record = self._records.get(event.replica_name)
        if record is None or self._is_ended(record, event.now_ms):
            return []
        if not _is_ended_by(record.signal, event.signal):
            return []
        # The end is told for as long as any instance can hold the drain.
        longest_ms = max(
            record.expires_ms - event.now_ms, self._settings.remaining_min_ms
        )
        self._records[event.replica_name] = _Record(
            self._next_sequence(record, event.wall_ms),
            event.signal,
            True,
            event.now_ms + longest_ms,
        )
        return [ResumeCalls(event.replica_name)]

    @_on.register
    def _(self, event: NoticesReceived) -> list[DrainAction]:
        actions: list[DrainAction] = []
        for notice in event.notices:
            actions += self._take_in(notice, event.now_ms)
        if any(isinstance(action, StopCalls) for action in actions):
            actions.append(SpreadNews())
        return actions

    def _take_in(self, notice: Notice, now_ms: float) -> list[DrainAction]:
        record = self._records.get(notice.replica_name)
        if record is not None and notice.sequence <= record.sequence:
            return []
        if notice.remaining_ms <= 0.0:
            return []
        longest_ms = self._settings.lifetimes_ms[notice.signal]
        expires_ms = now_ms + min(notice.remaining_ms, longest_ms)
        self._records[notice.replica_name] = _Record(
            notice.sequence, notice.signal, notice.is_over, expires_ms
        )
        if notice.is_over:
            return [ResumeCalls(notice.replica_name)]
        return [StopCalls(notice.replica_name, expires_ms)]

    def _next_sequence(self, record: _Record | None, wall_ms: float) -> int:
        """Return a number above the known one; the clock sorts the others."""
        known = 0 if record is None else record.sequence
        return max(known + 1, int(wall_ms))

    def _is_ended(self, record: _Record, now_ms: float) -> bool:
        return record.is_over or record.expires_ms <= now_ms

    def _forget(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._settings.remembered_ms
        old = [
            name for name, item in self._records.items() if item.expires_ms < oldest_ms
        ]
        for name in old:
            del self._records[name]
        while len(self._records) >= self._settings.n_records_max:
            del self._records[next(iter(self._records))]

    def take_notices(self, now_ms: float) -> tuple[Notice, ...]:
        """Return the notices for one message, counted as sent once more."""
        settings = self._settings
        pending = [
            (record.n_sent, name)
            for name, record in self._records.items()
            if record.n_sent < settings.n_transmissions_max
            and record.expires_ms - now_ms >= settings.remaining_min_ms
        ]
        chosen = nsmallest(settings.n_notices_max, pending)
        for _, name in chosen:
            self._records[name].n_sent += 1
        return tuple(self._notice(name, now_ms) for _, name in chosen)

    def _notice(self, name: str, now_ms: float) -> Notice:
        record = self._records[name]
        return Notice(
            name,
            record.sequence,
            record.signal,
            record.is_over,
            record.expires_ms - now_ms,
        )

    def active(self, now_ms: float) -> tuple[Notice, ...]:
        """Return the drains that hold now."""
        return tuple(
            self._notice(name, now_ms)
            for name, record in self._records.items()
            if not self._is_ended(record, now_ms)
        )


def _is_ended_by(started_by: DrainSignal, signal: DrainSignal) -> bool:
    if signal is DrainSignal.OPERATOR:
        return True
    if signal is DrainSignal.HEALTH:
        return started_by in _ENDED_BY_HEALTH
    return signal is started_by
