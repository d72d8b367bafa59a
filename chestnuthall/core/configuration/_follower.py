"""How an instance follows its environment's object in the store.

A watcher waits for changes of the object. Any other instance learns of them
from peers, and reads the object itself only when no peer could confirm for
some time that it is up to date.
"""

from dataclasses import dataclass
from functools import singledispatch
from typing import TypeAlias

# All durations in milliseconds. A watch that hangs, the pause after it and the
# next call have to end within the 8 s in which a configuration is in force.
WATCH_TIMEOUT_MS = 4_000.0
CONFIRMATION_AGE_MAX_MS = 4_500.0
PAUSE_FIRST_MS = 250.0
PAUSE_MAX_MS = 1_000.0
# A shorter remainder may be lost in rounding, and would be paused for again.
PAUSE_MIN_MS = 1.0
# Least time from the start of one watch to that of the next.
WATCH_INTERVAL_MIN_MS = 200.0
# So many changes at once belong to a burst, such as the start of a fleet. The next
# watch waits until more of it can be read in one call.
N_CHANGES_OF_BURST = 4
BURST_PAUSE_MS = 700.0


def safe_watch_timeout_ms(recovery_ms: float) -> float:
    """Return the longest watch after which a change is still in force in time.

    A store that goes silent keeps the connection of a watch alive, and the watch
    finds nothing after the store's return. What changes from then on has to be in
    force once the store has been stable for ``recovery_ms``. A watch begun as the
    outage began ends in time if the outage takes as long as the reads after it.

    Examples
    --------
    >>> safe_watch_timeout_ms(4_000.0)
    4000.0
    """
    return max(WATCH_INTERVAL_MIN_MS, recovery_ms)


@dataclass(frozen=True, slots=True)
class ObjectRead:
    """The object was read; version 0 means that there is none."""

    now_ms: float
    version: int


@dataclass(frozen=True, slots=True)
class WatchEnded:
    """A watch ended with the version where the next one starts."""

    now_ms: float
    version: int
    is_empty: bool
    n_changes: int = 1


@dataclass(frozen=True, slots=True)
class WatchHistoryTrimmed:
    """The store no longer has the changes after the version asked for."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class StoreCallFailed:
    """The store did not answer."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class DelayEnded:
    """The pause that was asked for is over.

    ``confirmed_ms`` is the time up to which the store, or a peer that asked
    it, confirmed that the configuration in force is the newest.
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
    """Sleep before the next step."""

    duration_ms: float


FollowerAction: TypeAlias = ReadObject | Watch | Delay


class ObjectFollower:
    """Decides the next call to the store; one call or pause at a time.

    No two calls follow each other without a pause, except a watch after a
    read and a watch after one that waited for its interval.
    """

    def __init__(self, watch_timeout_ms: float = WATCH_TIMEOUT_MS) -> None:
        self.watch_timeout_ms = watch_timeout_ms
        self.version: int | None = None
        self.watch_started_ms = 0.0
        self.loaded_ms = float("-inf")
        self.n_failures = 0

    def handle(self, event: FollowerEvent) -> FollowerAction:
        """Apply one event and return the next step."""
        return _apply(event, self)

    def next_delay(self) -> Delay:
        """Return a pause that grows with the failures in a row."""
        self.n_failures += 1
        doubled: float = PAUSE_FIRST_MS * 2.0 ** min(self.n_failures - 1, 8)
        return Delay(min(doubled, PAUSE_MAX_MS))

    def watch(self, now_ms: float) -> Watch:
        """Watch from the version that is known, so that no change is missed."""
        self.watch_started_ms = now_ms
        return Watch(self.version or 0)


@singledispatch
def _apply(event: FollowerEvent, follower: ObjectFollower) -> FollowerAction:
    raise TypeError(f"not an event: {type(event).__name__}")


@_apply.register
def _(event: ObjectRead, follower: ObjectFollower) -> FollowerAction:
    follower.version = event.version
    follower.loaded_ms = event.now_ms
    # The role is looked up when the pause ends.
    return Delay(0.0)


@_apply.register
def _(event: WatchEnded, follower: ObjectFollower) -> FollowerAction:
    follower.version = max(event.version, follower.version or 0)
    elapsed_ms = event.now_ms - follower.watch_started_ms
    if event.is_empty and elapsed_ms < follower.watch_timeout_ms / 2.0:
        # A store that ends watches early must not be asked in a tight loop.
        return follower.next_delay()
    follower.n_failures = 0
    if event.n_changes >= N_CHANGES_OF_BURST:
        return Delay(BURST_PAUSE_MS)
    return Delay(max(0.0, WATCH_INTERVAL_MIN_MS - elapsed_ms))


@_apply.register
def _(event: WatchHistoryTrimmed, follower: ObjectFollower) -> FollowerAction:
    follower.version = None
    return follower.next_delay()


@_apply.register
def _(event: StoreCallFailed, follower: ObjectFollower) -> FollowerAction:
    # A read ends soon, whatever the store does; another watch would hang for its
    # whole time in a store that has gone silent.
    follower.version = None
    return follower.next_delay()


@_apply.register
def _(event: DelayEnded, follower: ObjectFollower) -> FollowerAction:
    if follower.version is None:
        return ReadObject()
    if event.is_watcher:
        return follower.watch(event.now_ms)
    # A read that confirmed nothing, being stale or of no object, is not
    # repeated at once.
    due_ms = max(
        event.confirmed_ms + CONFIRMATION_AGE_MAX_MS,
        follower.loaded_ms + PAUSE_MAX_MS,
    )
    if event.now_ms < due_ms:
        return Delay(max(due_ms - event.now_ms, PAUSE_MIN_MS))
    # Changes that were not watched are read as the object's last state.
    follower.version = None
    return ReadObject()
