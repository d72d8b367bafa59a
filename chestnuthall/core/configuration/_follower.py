"""State machine that follows an object in the store.

A watcher waits for changes of the object. Any other instance receives them
from peers, and reads the object itself only when no peer has confirmed for
some time that its copy is up to date.
"""

from dataclasses import dataclass
from functools import singledispatch
from typing import TypeAlias

# A hanging watch, the delay after it and the next call must together end within
# the 8 s in which a new configuration has to come into force.
WATCH_TIMEOUT_MS = 4_000.0
CONFIRMATION_AGE_MAX_MS = 4_500.0
DELAY_FIRST_MS = 250.0
DELAY_MAX_MS = 1_000.0
# Time that the response to a watch may take beyond the watch's time-out, and that of
# the read after a failed watch, as fractions of the time in which a change must be
# known after an outage of the store.
WATCH_MARGIN_MAX_MS = 1_000.0
WATCH_MARGIN_RATIO = 0.125
READ_RATIO = 0.0625
# A shorter delay may be lost in rounding, and another delay would follow.
DELAY_MIN_MS = 1.0
# Minimum time between the starts of two consecutive watches.
WATCH_INTERVAL_MIN_MS = 200.0
# Number of changes in one watch from which they count as a burst, such as the
# start of a fleet. The next watch is delayed, so that it returns more of the burst.
N_BURST_CHANGES_MIN = 4
BURST_DELAY_MS = 700.0


def watch_margin_ms(recovery_ms: float) -> float:
    """Return how long the response to a watch is awaited beyond its time-out.

    Examples
    --------
    >>> watch_margin_ms(4_000.0), watch_margin_ms(1_000.0)
    (500.0, 125.0)
    """
    return min(WATCH_MARGIN_MAX_MS, WATCH_MARGIN_RATIO * recovery_ms)


def safe_watch_timeout_ms(recovery_ms: float) -> float:
    """Return the longest watch time-out with which changes come into force in time.

    When the store becomes unresponsive, the connection of a watch stays open, and
    the watch returns nothing even after the store has recovered. Changes made after
    the recovery must be in force once the store has been stable for ``recovery_ms``.
    A watch that started right before the end of an outage therefore ends, with its
    margin and the next read, within that time.

    Examples
    --------
    >>> safe_watch_timeout_ms(4_000.0)
    3250.0
    """
    reserved_ms = watch_margin_ms(recovery_ms) + READ_RATIO * recovery_ms
    return max(WATCH_INTERVAL_MIN_MS, recovery_ms - reserved_ms)


@dataclass(frozen=True, slots=True)
class ObjectRead:
    """The object was read; version 0 means that it does not exist."""

    now_ms: float
    version: int


@dataclass(frozen=True, slots=True)
class WatchEnded:
    """A watch ended; ``version`` is where the next watch starts."""

    now_ms: float
    version: int
    is_empty: bool
    n_changes: int = 1


@dataclass(frozen=True, slots=True)
class WatchHistoryTrimmed:
    """The store no longer has the changes after the requested version."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class StoreCallFailed:
    """A call to the store failed."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class DelayEnded:
    """The delay requested with ``Delay`` is over.

    ``confirmed_ms`` is the last time at which the object was known to be up to
    date, as confirmed by the store or by a peer that queried the store.
    """

    now_ms: float
    is_watcher: bool
    confirmed_ms: float


FollowerEvent: TypeAlias = (
    ObjectRead | WatchEnded | WatchHistoryTrimmed | StoreCallFailed | DelayEnded
)


@dataclass(frozen=True, slots=True)
class ReadObject:
    """Read the object."""


@dataclass(frozen=True, slots=True)
class Watch:
    """Wait for changes after a version."""

    after_version: int


@dataclass(frozen=True, slots=True)
class Delay:
    """Wait before the next step; ends with ``DelayEnded``."""

    duration_ms: float


FollowerAction: TypeAlias = ReadObject | Watch | Delay


class ObjectFollower:
    """Decides the next step: one store call or delay at a time.

    Consecutive calls are separated by a delay, except a watch that follows a read
    or a watch that lasted at least ``WATCH_INTERVAL_MIN_MS``.
    """

    def __init__(
        self,
        watch_timeout_ms: float = WATCH_TIMEOUT_MS,
        burst_delay_ms: float = BURST_DELAY_MS,
    ) -> None:
        self.watch_timeout_ms = watch_timeout_ms
        self.burst_delay_ms = burst_delay_ms
        self.version: int | None = None
        self.watch_started_ms = 0.0
        self.last_read_ms = float("-inf")
        self.n_failures = 0

    def handle(self, event: FollowerEvent) -> FollowerAction:
        """Apply one event and return the next step."""
        return _apply(event, self)

    def next_delay(self) -> Delay:
        """Return a delay that grows with the number of consecutive failures."""
        self.n_failures += 1
        duration_ms: float = DELAY_FIRST_MS * 2.0 ** min(self.n_failures - 1, 8)
        return Delay(min(duration_ms, DELAY_MAX_MS))

    def has_watched_in_vain(self, now_ms: float) -> bool:
        """Return whether a watch has just ended without an answer.

        It took so long that the next call needs no delay, and the outage may have
        ended long ago.
        """
        return (
            self.version is not None
            and now_ms >= self.watch_started_ms + self.watch_timeout_ms
        )

    def watch(self, now_ms: float) -> Watch:
        """Return a watch from the known version, so that no change is missed."""
        self.watch_started_ms = now_ms
        return Watch(self.version or 0)


@singledispatch
def _apply(event: FollowerEvent, follower: ObjectFollower) -> FollowerAction:
    raise TypeError(f"not an event: {type(event).__name__}")


@_apply.register
def _(event: ObjectRead, follower: ObjectFollower) -> FollowerAction:
    follower.version = event.version
    follower.last_read_ms = event.now_ms
    # Whether the instance is a watcher is known when the delay ends.
    return Delay(0.0)


@_apply.register
def _(event: WatchEnded, follower: ObjectFollower) -> FollowerAction:
    follower.version = max(event.version, follower.version or 0)
    elapsed_ms = event.now_ms - follower.watch_started_ms
    if event.is_empty and elapsed_ms < follower.watch_timeout_ms / 2.0:
        # A store that ends watches early must not be called in a tight loop.
        return follower.next_delay()
    follower.n_failures = 0
    if event.n_changes >= N_BURST_CHANGES_MIN:
        return Delay(follower.burst_delay_ms)
    return Delay(max(0.0, WATCH_INTERVAL_MIN_MS - elapsed_ms))


@_apply.register
def _(event: WatchHistoryTrimmed, follower: ObjectFollower) -> FollowerAction:
    elapsed_ms = event.now_ms - follower.watch_started_ms
    follower.version = None
    if elapsed_ms >= WATCH_INTERVAL_MIN_MS:
        return Delay(0.0)
    return follower.next_delay()


@_apply.register
def _(event: StoreCallFailed, follower: ObjectFollower) -> FollowerAction:
    # A read ends soon in any case, whereas a watch of an unresponsive store would
    # hang until its time-out.
    has_watched_in_vain = follower.has_watched_in_vain(event.now_ms)
    follower.version = None
    if has_watched_in_vain:
        follower.n_failures = 0
        return Delay(0.0)
    return follower.next_delay()


@_apply.register
def _(event: DelayEnded, follower: ObjectFollower) -> FollowerAction:
    if follower.version is None:
        return ReadObject()
    if event.is_watcher:
        return follower.watch(event.now_ms)
    # A read that confirmed nothing, because it was stale or found no object, is not
    # repeated at once.
    due_ms = max(
        event.confirmed_ms + CONFIRMATION_AGE_MAX_MS,
        follower.last_read_ms + DELAY_MAX_MS,
    )
    if event.now_ms < due_ms:
        return Delay(max(due_ms - event.now_ms, DELAY_MIN_MS))
    # Changes that were not watched are covered by the object's current state.
    follower.version = None
    return ReadObject()
