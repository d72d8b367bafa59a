"""Registry of the replicas of each service, updated from their registrations."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from chestnuthall.core.model import Replica

# How long a draining replica is still used if its service has no other, unless the
# time for which replicas keep serving is less than twice as long.
DRAINING_FALLBACK_MS = 1_500.0
DRAINING_FALLBACK_RATIO_MAX = 0.5
# Part of that time after which a replica is no longer used, however late its leave
# became known. The rest is for calls on their way.
USE_RATIO_MAX = 0.9
# Reserved within that time for the news of a missing registration to arrive.
UPDATE_MARGIN_MS = 800.0
# Limit on the leaves that are remembered after their replicas were removed.
N_LEAVES_MAX = 4_096
# How long a replica is remembered that was removed, and how many. A copy from which the
# store returns is seconds old.
REMOVED_KEPT_MS = 60_000.0
N_REMOVED_MAX = 4_096
# Time after which an entry in a restored store is that of a running replica, by
# default. The store removes the others after three heartbeats without news.
RESTORED_ENTRY_MS = 4_000.0


@dataclass(frozen=True, slots=True)
class Registration:
    """State that a replica announces about itself.

    ``warm_up_left_ms`` is the remaining ramp-up time after its start.
    """

    replica: Replica
    service: str
    is_draining: bool = False
    warm_up_left_ms: float = 0.0


class ReplicaChangeKind(Enum):
    """Kind of change of a replica's registration."""

    ADDED = "seen"
    RESTARTED = "restarted"
    DRAINING = "draining"
    LEAVING = "leaving"
    RESTORED = "restored"
    MISSING = "missing"
    REMOVED = "gone"


@dataclass(frozen=True, slots=True)
class ReplicaChange:
    """A change of a registration; ``old`` is the one that was replaced, if any."""

    kind: ReplicaChangeKind
    new: Registration
    old: Registration | None = None


@dataclass(slots=True)
class _Entry:
    registration: Registration
    # When a missing replica is removed.
    removal_ms: float | None = None
    draining_since_ms: float | None = None
    last_resort_until_ms: float = float("-inf")
    # Whether this incarnation said that it leaves, in an answer to an instance.
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class _Removed:
    """A replica that was removed, or was missing when the store returned."""

    registration: Registration
    removed_ms: float


class ReplicaRegistry:
    """Current registrations by the name of the replica.

    A registration that disappears is kept for ``grace_period_ms``, because
    registrations also expire while the store is unavailable, and are renewed
    afterwards. A draining replica is removed at once. The incarnation prevents a
    late registration of an earlier start from replacing that of a later one.

    A replica that leaves must get no calls ``drain_ms`` after its registration was
    changed or deleted. Changes that arrive late shorten the grace period: the methods
    take the time after which they were made, ``made_after_ms``, by default now.

    A leave that an incarnation announced in an answer is final: no registration of
    the same incarnation ends it, also after the replica was removed.

    A store that returns from a copy has earlier registrations again. After
    ``begin_era``, none of them ends the drain of an incarnation, and an incarnation
    that was removed or missing is not used for ``restored_entry_ms``, by which time
    the store has removed the registration of a replica that does not run.

    ``version`` increases with each change of the result of ``replicas_of``.

    Examples
    --------
    >>> registry = ReplicaRegistry(2_000.0)
    >>> started = [Replica("r", "10.0.0.1:80", "a", born) for born in (1, 2)]
    >>> _ = registry.put(Registration(started[0], "s"), 0.0)
    >>> _ = registry.announce_leave("r", 1, 10.0)
    >>> _ = registry.put(Registration(started[0], "s"), 20.0)
    >>> registry.is_leaving("r")
    True
    >>> _ = registry.put(Registration(started[1], "s"), 30.0)
    >>> registry.is_leaving("r")
    False
    """

    def __init__(
        self,
        grace_period_ms: float,
        drain_ms: float = float("inf"),
        restored_entry_ms: float = RESTORED_ENTRY_MS,
    ) -> None:
        self._grace_period_ms = min(
            grace_period_ms, max(0.0, drain_ms - UPDATE_MARGIN_MS)
        )
        self._use_max_ms = USE_RATIO_MAX * drain_ms
        self._fallback_ms = min(
            DRAINING_FALLBACK_MS, DRAINING_FALLBACK_RATIO_MAX * drain_ms
        )
        self._entries: dict[str, _Entry] = {}
        # Newest incarnation of each replica that announced its leave.
        self._leaves: dict[str, int] = {}
        # Replicas that were removed, oldest first.
        self._removed: dict[str, _Removed] = {}
        self._restored_entry_ms = restored_entry_ms
        # Incarnations that are not used in the first time of an era, and their
        # registrations in the restored store.
        self._withheld_incarnations: dict[str, int] = {}
        self._withheld: dict[str, Registration] = {}
        self._withheld_until_ms = float("-inf")
        self.version = 0

    def __len__(self) -> int:
        return len(self._entries)

    def begin_era(self, now_ms: float) -> None:
        """Record that the store has returned from a copy."""
        for entry in self._entries.values():
            if entry.removal_ms is not None:
                self._remember_removed(entry.registration, now_ms)
            if entry.registration.is_draining:
                entry.is_leaving = True
        oldest_ms = now_ms - REMOVED_KEPT_MS
        removed = [
            item.registration
            for item in self._removed.values()
            if item.removed_ms > oldest_ms
        ]
        for registration in (*removed, *self.registrations()):
            if registration.is_draining:
                replica = registration.replica
                self._remember_leave(replica.name, replica.incarnation)
        self._withheld_until_ms = now_ms + self._restored_entry_ms
        self._withheld_incarnations = {
            item.replica.name: item.replica.incarnation for item in removed
        }

    def _is_withheld(self, replica: Replica, now_ms: float) -> bool:
        incarnation = self._withheld_incarnations.get(replica.name, -1)
        return now_ms < self._withheld_until_ms and replica.incarnation <= incarnation

    def _remember_removed(self, registration: Registration, now_ms: float) -> None:
        if now_ms < self._withheld_until_ms:
            # The store may have lost the entry of a running replica.
            return
        name = registration.replica.name
        self._removed.pop(name, None)
        while len(self._removed) >= N_REMOVED_MAX:
            del self._removed[next(iter(self._removed))]
        self._removed[name] = _Removed(registration, now_ms)

    def put(
        self,
        registration: Registration,
        now_ms: float,
        made_after_ms: float | None = None,
    ) -> list[ReplicaChange]:
        """Add or update a registration that was read from the store."""
        name = registration.replica.name
        if self._is_withheld(registration.replica, now_ms):
            self._withheld[name] = registration
            return []
        self._withheld.pop(name, None)
        self._removed.pop(name, None)
        entry = self._entries.get(name)
        replaced = self._drop_replaced_at_address(registration.replica, now_ms)
        if entry is None:
            entry = self._entries[name] = _Entry(registration)
            entry.is_leaving = self._has_announced_leave(registration.replica)
            if registration.is_draining or entry.is_leaving:
                self._start_drain(entry, now_ms, made_after_ms)
            self.version += 1
            return [*replaced, ReplicaChange(ReplicaChangeKind.ADDED, registration)]
        old = entry.registration
        if registration.replica.incarnation < old.replica.incarnation:
            return replaced
        was_missing = entry.removal_ms is not None
        entry.registration = registration
        entry.removal_ms = None
        entry.is_leaving = self._has_announced_leave(registration.replica)
        kind = _kind_of_change(old, registration, was_missing)
        if kind is None or (entry.is_leaving and kind is ReplicaChangeKind.RESTORED):
            return replaced
        is_new_incarnation = old.replica.incarnation < registration.replica.incarnation
        if not registration.is_draining and not entry.is_leaving:
            entry.draining_since_ms = None
        elif entry.draining_since_ms is None or is_new_incarnation:
            self._start_drain(entry, now_ms, made_after_ms)
        self.version += 1
        return [*replaced, ReplicaChange(kind, registration, old)]

    def _start_drain(
        self, entry: _Entry, now_ms: float, made_after_ms: float | None = None
    ) -> None:
        entry.draining_since_ms = now_ms
        entry.last_resort_until_ms = self._use_until_ms(
            self._fallback_ms, now_ms, made_after_ms
        )

    def _use_until_ms(
        self, duration_ms: float, now_ms: float, made_after_ms: float | None
    ) -> float:
        """Return until when a replica is used after a change that was made late."""
        made_ms = now_ms if made_after_ms is None else made_after_ms
        return min(now_ms + duration_ms, made_ms + self._use_max_ms)

    def knows_leave(self, name: str, incarnation: int) -> bool:
        """Return whether an incarnation, or a later one, announced its leave."""
        return self._leaves.get(name, -1) >= incarnation

    def _has_announced_leave(self, replica: Replica) -> bool:
        return self.knows_leave(replica.name, replica.incarnation)

    def announce_leave(
        self, name: str, incarnation: int, now_ms: float
    ) -> list[ReplicaChange]:
        """Record that an incarnation of a replica said that it leaves.

        Earlier incarnations have ended, so they count as leaving, too.
        """
        if self.knows_leave(name, incarnation):
            return []
        self._remember_leave(name, incarnation)
        entry = self._entries.get(name)
        if entry is None or entry.is_leaving:
            return []
        if not self._has_announced_leave(entry.registration.replica):
            return []
        entry.is_leaving = True
        if entry.removal_ms is not None:
            return [self._remove(name, now_ms)]
        if entry.draining_since_ms is None:
            self._start_drain(entry, now_ms)
        self.version += 1
        return [ReplicaChange(ReplicaChangeKind.LEAVING, entry.registration)]

    def _remember_leave(self, name: str, incarnation: int) -> None:
        incarnation = max(incarnation, self._leaves.pop(name, incarnation))
        while len(self._leaves) >= N_LEAVES_MAX:
            del self._leaves[next(iter(self._leaves))]
        self._leaves[name] = incarnation

    def is_leaving(self, name: str) -> bool:
        """Return whether the current incarnation of a replica announced its leave."""
        entry = self._entries.get(name)
        return entry is not None and entry.is_leaving

    def incarnation_of(self, name: str) -> int | None:
        """Return the incarnation under a name, or None if it is unknown.

        It is the registered one, or else the last one that announced its leave.
        """
        entry = self._entries.get(name)
        if entry is None:
            return self._leaves.get(name)
        return entry.registration.replica.incarnation

    def last_resort_until_ms(self, name: str) -> float | None:
        """Return until when a draining replica is used if its service has no other.

        None if the replica is not draining.
        """
        entry = self._entries.get(name)
        if entry is None or entry.draining_since_ms is None:
            return None
        return entry.last_resort_until_ms

    def _drop_replaced_at_address(
        self, replica: Replica, now_ms: float
    ) -> list[ReplicaChange]:
        """Drop replicas with an earlier incarnation at the address of a replica."""
        return [
            self._remove(name, now_ms)
            for name, entry in tuple(self._entries.items())
            if entry.registration.replica.address == replica.address
            and name != replica.name
            and entry.registration.replica.incarnation < replica.incarnation
        ]

    def mark_missing(
        self, name: str, now_ms: float, made_after_ms: float | None = None
    ) -> list[ReplicaChange]:
        """Record that a registration is no longer in the store."""
        self._withheld.pop(name, None)
        entry = self._entries.get(name)
        if entry is None:
            return []
        if entry.registration.is_draining or entry.is_leaving:
            return [self._remove(name, now_ms)]
        if entry.removal_ms is not None:
            return []
        entry.removal_ms = self._use_until_ms(
            self._grace_period_ms, now_ms, made_after_ms
        )
        return [ReplicaChange(ReplicaChangeKind.MISSING, entry.registration)]

    def remove(self, name: str, now_ms: float) -> list[ReplicaChange]:
        """Remove a replica whose registration can no longer be decoded."""
        self._withheld.pop(name, None)
        return [self._remove(name, now_ms)] if name in self._entries else []

    def _remove(self, name: str, now_ms: float) -> ReplicaChange:
        entry = self._entries.pop(name)
        self._remember_removed(entry.registration, now_ms)
        self.version += 1
        return ReplicaChange(ReplicaChangeKind.REMOVED, entry.registration)

    def replace_all(
        self,
        registrations: Iterable[Registration],
        now_ms: float,
        made_after_ms: float | None = None,
    ) -> list[ReplicaChange]:
        """Update from a complete listing; any registration not in it is missing."""
        changes: list[ReplicaChange] = []
        listed = {item.replica.name: item for item in registrations}
        for registration in listed.values():
            changes += self.put(registration, now_ms, made_after_ms)
        known = {**self._entries, **self._withheld}
        for name in [name for name in known if name not in listed]:
            changes += self.mark_missing(name, now_ms, made_after_ms)
        return changes

    def expire(self, now_ms: float) -> list[ReplicaChange]:
        """Remove the replicas that have been missing for the grace period.

        Those that a restored store still has after some time are used again.
        """
        changes = [
            self._remove(name, now_ms)
            for name, entry in tuple(self._entries.items())
            if entry.removal_ms is not None and now_ms >= entry.removal_ms
        ]
        if now_ms >= self._withheld_until_ms:
            for registration in tuple(self._withheld.values()):
                changes += self.put(registration, now_ms)
        return changes

    def next_expiry_ms(self) -> float | None:
        """Return when ``expire`` is due, or None if nothing is pending."""
        due_ms = [
            entry.removal_ms
            for entry in self._entries.values()
            if entry.removal_ms is not None
        ]
        if self._withheld:
            due_ms.append(self._withheld_until_ms)
        return min(due_ms, default=None)

    def replicas_of(self, service: str, now_ms: float) -> tuple[Replica, ...]:
        """Return the replicas of a service that may be sent new calls.

        If all are draining, those that began to drain recently are returned.
        """
        entries = [
            entry
            for entry in self._entries.values()
            if entry.registration.service == service
        ]
        ready = tuple(
            entry.registration.replica
            for entry in entries
            if entry.draining_since_ms is None
        )
        return ready or tuple(
            entry.registration.replica
            for entry in entries
            if entry.draining_since_ms is not None
            and now_ms < entry.last_resort_until_ms
        )

    def registrations(self) -> tuple[Registration, ...]:
        """Return all current registrations."""
        return tuple(entry.registration for entry in self._entries.values())


def _kind_of_change(
    old: Registration, new: Registration, was_missing: bool
) -> ReplicaChangeKind | None:
    if old.replica != new.replica or old.service != new.service:
        return ReplicaChangeKind.RESTARTED
    if new.is_draining and not old.is_draining:
        return ReplicaChangeKind.DRAINING
    if was_missing or (old.is_draining and not new.is_draining):
        return ReplicaChangeKind.RESTORED
    return None
