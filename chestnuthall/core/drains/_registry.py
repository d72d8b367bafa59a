"""Registry of the drain notices that an instance knows."""

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

# Drains whose end the health endpoint of the replica shows. For LIST, the list
# itself has to show the end, and an operator's drain expires.
_ENDED_BY_HEALTH = frozenset(
    {DrainSignal.ANSWER, DrainSignal.HEALTH, DrainSignal.REFUSED}
)


# Sequence numbers per millisecond, so that instances rarely choose the same one.
N_SEQUENCES_PER_MS = 1_024


def _lifetimes() -> dict[DrainSignal, float]:
    return {
        DrainSignal.LIST: 30_000.0,
        DrainSignal.ANSWER: 30_000.0,
        DrainSignal.HEALTH: 30_000.0,
        # A refused connection may be due to a crash, after which the replica is
        # soon restarted.
        DrainSignal.REFUSED: 10_000.0,
        DrainSignal.OPERATOR: 600_000.0,
    }


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainSettings:
    """Durations in milliseconds, and limits on message size and memory."""

    lifetimes_ms: dict[DrainSignal, float] = field(default_factory=_lifetimes)
    # A notice that expires sooner than this is not sent. It exceeds the time
    # that any message is in transit.
    remaining_min_ms: float = 1_000.0
    # Each message that forwards a notice postpones its expiry by the time in
    # transit. An expired notice is retained for longer than the sum of these
    # delays, so that instances do not accept it from each other again.
    retention_ms: float = 10_000.0
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
    # Whether the health endpoint of the replica has shown this drain.
    is_shown_in_health: bool = False


class DrainRegistry:
    """Decides from signals and notices which replicas get no new calls.

    A notice keeps the expiry that it had when it was first received, so that
    echoes from peers cannot prolong it; only a new signal at some instance can.
    """

    def __init__(
        self, settings: DrainSettings | None = None, origin_name: str = ""
    ) -> None:
        self._settings = settings or DrainSettings()
        # Distinguishes the sequence numbers of instances in the same millisecond.
        self._sequence_offset = Random(origin_name).randrange(N_SEQUENCES_PER_MS)
        self._records: dict[str, _Record] = {}

    def handle(self, event: DrainEvent) -> list[DrainAction]:
        """Process one event and return the actions to perform."""
        self._remove_expired(event.now_ms)
        return self._process(event)

    @singledispatchmethod
    def _process(self, event: DrainEvent) -> list[DrainAction]:
        raise TypeError(f"unsupported drain event: {type(event).__name__}")

    @_process.register
    def _(self, event: DrainDetected) -> list[DrainAction]:
        lifetime_ms = self._settings.lifetimes_ms[event.signal]
        record = self._records.get(event.replica_name)
        is_shown_in_health = event.signal is DrainSignal.HEALTH
        if record is not None and not record.is_over:
            record.is_shown_in_health |= is_shown_in_health
            is_shown_in_health = record.is_shown_in_health
            remaining_ms = record.expires_ms - event.now_ms
            if remaining_ms >= lifetime_ms / 2.0:
                return []
        sequence = self._next_sequence(record, event.wall_ms)
        expires_ms = event.now_ms + lifetime_ms
        was_active = record is not None and not self._is_inactive(record, event.now_ms)
        self._records[event.replica_name] = _Record(
            sequence,
            event.signal,
            False,
            expires_ms,
            event.now_ms,
            is_shown_in_health=is_shown_in_health,
        )
        stop = StopCalls(event.replica_name, expires_ms)
        # A renewal is not urgent, because all instances still have the old notice.
        return [stop] if was_active else [stop, DisseminateNotices()]

    @_process.register
    def _(self, event: DrainEndDetected) -> list[DrainAction]:
        record = self._records.get(event.replica_name)
        if record is None or self._is_inactive(record, event.now_ms):
            return []
        # An observation that began before the drain was recorded may predate it.
        is_older = event.observed_ms <= record.since_ms
        if is_older or not _is_ended_by(record, event.signal):
            return []
        # The end is sent for as long as the drain can be active on any instance.
        lifetime_ms = max(
            record.expires_ms - event.now_ms, self._settings.remaining_min_ms
        )
        self._records[event.replica_name] = _Record(
            self._next_sequence(record, event.wall_ms),
            event.signal,
            True,
            event.now_ms + lifetime_ms,
            event.now_ms,
        )
        return [ResumeCalls(event.replica_name)]

    @_process.register
    def _(self, event: NoticesReceived) -> list[DrainAction]:
        actions: list[DrainAction] = []
        for notice in event.notices:
            actions += self._merge(notice, event.now_ms)
        if any(isinstance(action, StopCalls) for action in actions):
            actions.append(DisseminateNotices())
        return actions

    def _merge(self, notice: Notice, now_ms: float) -> list[DrainAction]:
        record = self._records.get(notice.replica_name)
        if record is not None and not _replaces(notice, record, now_ms):
            return []
        if notice.remaining_ms <= 0.0:
            return []
        lifetime_max_ms = self._settings.lifetimes_ms[notice.signal]
        expires_ms = now_ms + min(notice.remaining_ms, lifetime_max_ms)
        self._records[notice.replica_name] = _Record(
            notice.sequence, notice.signal, notice.is_over, expires_ms, now_ms
        )
        if notice.is_over:
            return [ResumeCalls(notice.replica_name)]
        return [StopCalls(notice.replica_name, expires_ms)]

    def _next_sequence(self, record: _Record | None, wall_ms: float) -> int:
        """Return a sequence number above that of the record.

        Otherwise it is derived from the wall clock, which orders the signals of
        different instances.
        """
        known_sequence = 0 if record is None else record.sequence
        return max(
            known_sequence + 1,
            int(wall_ms) * N_SEQUENCES_PER_MS + self._sequence_offset,
        )

    def _is_inactive(self, record: _Record, now_ms: float) -> bool:
        return record.is_over or record.expires_ms <= now_ms

    def _remove_expired(self, now_ms: float) -> None:
        retained_since_ms = now_ms - self._settings.retention_ms
        old = [
            name
            for name, item in self._records.items()
            if item.expires_ms < retained_since_ms
        ]
        for name in old:
            del self._records[name]
        while len(self._records) >= self._settings.n_records_max:
            del self._records[next(iter(self._records))]

    def select_notices(self, now_ms: float) -> tuple[Notice, ...]:
        """Select the notices for one message and count them as sent."""
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
        return tuple(self._make_notice(name, now_ms) for _, name in chosen)

    def _make_notice(self, name: str, now_ms: float) -> Notice:
        record = self._records[name]
        return Notice(
            name,
            record.sequence,
            record.signal,
            record.is_over,
            record.expires_ms - now_ms,
        )

    def active_drains(self, now_ms: float) -> tuple[Notice, ...]:
        """Return the notices of the drains that are active now."""
        return tuple(
            self._make_notice(name, now_ms)
            for name, record in self._records.items()
            if not self._is_inactive(record, now_ms)
        )


def _replaces(notice: Notice, record: _Record, now_ms: float) -> bool:
    """Return whether a notice of a peer is newer than the record.

    Two instances may choose the same sequence for different notices. All of them then
    keep the same one: a drain goes before its end. Once the record has expired, only
    an echo of the same notice is rejected: a peer whose clock is behind may have a new
    signal with a lower sequence.
    """
    if record.expires_ms <= now_ms:
        return notice.sequence != record.sequence
    return _rank(notice) > _rank(record)


def _rank(notice: Notice | _Record) -> tuple[int, bool, str]:
    return (notice.sequence, not notice.is_over, notice.signal.value)


def _is_ended_by(record: _Record, signal: DrainSignal) -> bool:
    """Return whether a recovery signal ends a drain."""
    if signal is DrainSignal.OPERATOR:
        return True
    if signal is not DrainSignal.HEALTH:
        return signal is record.signal
    if record.signal is DrainSignal.ANSWER:
        # The health endpoint lags. Until it has shown the drain, a healthy report
        # predates the answer that showed the drain.
        return record.is_shown_in_health
    return record.signal in _ENDED_BY_HEALTH
