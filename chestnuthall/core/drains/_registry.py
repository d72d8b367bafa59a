"""The drain notices that an instance holds."""

from dataclasses import dataclass, field
from functools import singledispatchmethod
from heapq import nsmallest
from random import Random

from chestnuthall.core.drains._events import (
    DisseminateNotices,
    DrainAction,
    DrainDetected,
    DrainEndDetected,
    DrainEvent,
    DrainSignal,
    Notice,
    NoticesReceived,
    ResumeCalls,
    StopCalls,
)

# The replica itself says when these end; the list has to say it for LIST, and
# an operator's drain runs out.
_ENDED_BY_HEALTH = frozenset(
    {DrainSignal.ANSWER, DrainSignal.HEALTH, DrainSignal.REFUSED}
)


N_ORIGINS = 1_024


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
    # Longer than any message takes; a notice that ends sooner is not sent.
    remaining_min_ms: float = 1_000.0
    # Each message that passes a notice on delays its end by the time it took.
    # An ended notice is remembered for longer than these delays add up to, so
    # that instances cannot give it back to each other.
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
    since_ms: float
    n_sent: int = 0
    # Whether the health endpoint has shown this drain.
    is_in_health: bool = False


class DrainRegistry:
    """Takes signals and notices, and decides which replicas are not called.

    A notice keeps the expiry that it had when it was first heard of, so that
    echoes cannot prolong it; only a new signal at some instance can.
    """

    def __init__(
        self, settings: DrainSettings | None = None, origin_name: str = ""
    ) -> None:
        self._settings = settings or DrainSettings()
        # Keeps apart the sequences of two instances in the same millisecond.
        self._origin = Random(origin_name).randrange(N_ORIGINS)
        self._records: dict[str, _Record] = {}

    def handle(self, event: DrainEvent) -> list[DrainAction]:
        """Take one event and return what has to be done."""
        self._forget(event.now_ms)
        return self._on(event)

    @singledispatchmethod
    def _on(self, event: DrainEvent) -> list[DrainAction]:
        raise TypeError(f"not a drain event: {type(event).__name__}")

    @_on.register
    def _(self, event: DrainDetected) -> list[DrainAction]:
        lifetime_ms = self._settings.lifetimes_ms[event.signal]
        record = self._records.get(event.replica_name)
        is_in_health = event.signal is DrainSignal.HEALTH
        if record is not None and not record.is_over:
            record.is_in_health |= is_in_health
            is_in_health = record.is_in_health
            remaining_ms = record.expires_ms - event.now_ms
            if remaining_ms >= lifetime_ms / 2.0:
                return []
        sequence = self._next_sequence(record, event.wall_ms)
        expires_ms = event.now_ms + lifetime_ms
        was_held = record is not None and not self._is_ended(record, event.now_ms)
        self._records[event.replica_name] = _Record(
            sequence,
            event.signal,
            False,
            expires_ms,
            event.now_ms,
            is_in_health=is_in_health,
        )
        stop = StopCalls(event.replica_name, expires_ms)
        # A renewal is not urgent: every instance still holds the old notice.
        return [stop] if was_held else [stop, DisseminateNotices()]

    @_on.register
    def _(self, event: DrainEndDetected) -> list[DrainAction]:
        record = self._records.get(event.replica_name)
        if record is None or self._is_ended(record, event.now_ms):
            return []
        # An observation that began before the drain was known may be older.
        is_older = event.observed_ms <= record.since_ms
        if is_older or not _is_ended_by(record, event.signal):
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
            event.now_ms,
        )
        return [ResumeCalls(event.replica_name)]

    @_on.register
    def _(self, event: NoticesReceived) -> list[DrainAction]:
        actions: list[DrainAction] = []
        for notice in event.notices:
            actions += self._take_in(notice, event.now_ms)
        if any(isinstance(action, StopCalls) for action in actions):
            actions.append(DisseminateNotices())
        return actions

    def _take_in(self, notice: Notice, now_ms: float) -> list[DrainAction]:
        record = self._records.get(notice.replica_name)
        if record is not None and not _replaces(notice, record, now_ms):
            return []
        if notice.remaining_ms <= 0.0:
            return []
        longest_ms = self._settings.lifetimes_ms[notice.signal]
        expires_ms = now_ms + min(notice.remaining_ms, longest_ms)
        self._records[notice.replica_name] = _Record(
            notice.sequence, notice.signal, notice.is_over, expires_ms, now_ms
        )
        if notice.is_over:
            return [ResumeCalls(notice.replica_name)]
        return [StopCalls(notice.replica_name, expires_ms)]

    def _next_sequence(self, record: _Record | None, wall_ms: float) -> int:
        """Return a number above the known one; the clock sorts the others."""
        known = 0 if record is None else record.sequence
        return max(known + 1, int(wall_ms) * N_ORIGINS + self._origin)

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

    def select_notices(self, now_ms: float) -> tuple[Notice, ...]:
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

    def active_drains(self, now_ms: float) -> tuple[Notice, ...]:
        """Return the drains that hold now."""
        return tuple(
            self._notice(name, now_ms)
            for name, record in self._records.items()
            if not self._is_ended(record, now_ms)
        )


def _replaces(notice: Notice, record: _Record, now_ms: float) -> bool:
    """Return whether a notice of a peer is newer than what is held.

    Once the held notice has expired, only its own echo is refused: a peer
    whose clock is behind may have a new signal with a lower sequence.
    """
    if record.expires_ms <= now_ms:
        return notice.sequence != record.sequence
    return notice.sequence > record.sequence


def _is_ended_by(record: _Record, signal: DrainSignal) -> bool:
    if signal is DrainSignal.OPERATOR:
        return True
    if signal is not DrainSignal.HEALTH:
        return signal is record.signal
    if record.signal is DrainSignal.ANSWER:
        # The health endpoint lags. Until it has shown the drain, that it shows
        # none is older than the answer that did.
        return record.is_in_health
    return record.signal in _ENDED_BY_HEALTH
