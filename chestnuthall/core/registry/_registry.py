"""The replicas of each service, from registrations that come, change and lapse."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from chestnuthall.core.model import Replica

# How long a draining replica still serves as the last one of its service. It is
# half of the shortest time that a replica goes on serving after its notice.
LAST_RESORT_MS = 1_500.0


@dataclass(frozen=True, slots=True)
class Registration:
    """What a replica says of itself.

    ``warm_up_left_ms`` is how much longer it serves slowly after its start.
    """

    replica: Replica
    service: str
    is_draining: bool = False
    warm_up_left_ms: float = 0.0


class ReplicaChangeKind(Enum):
    """What became of a replica."""

    ADDED = "seen"
    RESTARTED = "restarted"
    DRAINING = "draining"
    RESTORED = "restored"
    MISSING = "missing"
    REMOVED = "gone"


@dataclass(frozen=True, slots=True)
class ReplicaChange:
    """One change; ``old`` is the registration that it replaces, if any."""

    kind: ReplicaChangeKind
    new: Registration
    old: Registration | None = None


@dataclass(slots=True)
class _Entry:
    registration: Registration
    missing_since_ms: float | None = None
    draining_since_ms: float | None = None


class ReplicaRegistry:
    """The registrations that are in force, by the name of the replica.

    A registration that disappears is kept for ``hold_ms``, since registrations
    also lapse while the store is away, and are renewed after its return. A
    replica that was draining is dropped at once. The incarnation keeps a late
    registration of an earlier start from replacing that of a later one.

    ``version`` grows with each change of what ``replicas_of`` returns.
    """

    def __init__(self, hold_ms: float) -> None:
        self._hold_ms = hold_ms
        self._entries: dict[str, _Entry] = {}
        self.version = 0

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, registration: Registration, now_ms: float) -> list[ReplicaChange]:
        """Take in a registration that was read."""
        name = registration.replica.name
        entry = self._entries.get(name)
        replaced = self._drop_earlier_holders(registration.replica)
        if entry is None:
            entry = self._entries[name] = _Entry(registration)
            if registration.is_draining:
                entry.draining_since_ms = now_ms
            self.version += 1
            return [*replaced, ReplicaChange(ReplicaChangeKind.ADDED, registration)]
        old = entry.registration
        if registration.replica.incarnation < old.replica.incarnation:
            return replaced
        was_missing = entry.missing_since_ms is not None
        entry.registration = registration
        entry.missing_since_ms = None
        kind = _kind_of_change(old, registration, was_missing)
        if kind is None:
            return replaced
        if not registration.is_draining:
            entry.draining_since_ms = None
        elif entry.draining_since_ms is None or kind is ReplicaChangeKind.RESTARTED:
            entry.draining_since_ms = now_ms
        self.version += 1
        return [*replaced, ReplicaChange(kind, registration, old)]

    def _drop_earlier_holders(self, replica: Replica) -> list[ReplicaChange]:
        """Drop replicas that started earlier at an address that has a new holder."""
        return [
            self._remove(name)
            for name, entry in tuple(self._entries.items())
            if entry.registration.replica.address == replica.address
            and name != replica.name
            and entry.registration.replica.incarnation < replica.incarnation
        ]

    def mark_missing(self, name: str, now_ms: float) -> list[ReplicaChange]:
        """Note that a registration is no longer there."""
        entry = self._entries.get(name)
        if entry is None:
            return []
        if entry.registration.is_draining:
            return [self._remove(name)]
        if entry.missing_since_ms is not None:
            return []
        entry.missing_since_ms = now_ms
        return [ReplicaChange(ReplicaChangeKind.MISSING, entry.registration)]

    def remove(self, name: str) -> list[ReplicaChange]:
        """Forget a replica whose registration can no longer be read."""
        return [self._remove(name)] if name in self._entries else []

    def _remove(self, name: str) -> ReplicaChange:
        entry = self._entries.pop(name)
        self.version += 1
        return ReplicaChange(ReplicaChangeKind.REMOVED, entry.registration)

    def replace_all(
        self, registrations: Iterable[Registration], now_ms: float
    ) -> list[ReplicaChange]:
        """Take in a full listing; what it lacks is no longer there."""
        changes: list[ReplicaChange] = []
        listed = {item.replica.name: item for item in registrations}
        for registration in listed.values():
            changes += self.put(registration, now_ms)
        for name in [name for name in self._entries if name not in listed]:
            changes += self.mark_missing(name, now_ms)
        return changes

    def expire(self, now_ms: float) -> list[ReplicaChange]:
        """Drop the replicas that have been missing for too long."""
        return [
            self._remove(name)
            for name, entry in tuple(self._entries.items())
            if entry.missing_since_ms is not None
            and now_ms - entry.missing_since_ms >= self._hold_ms
        ]

    def next_expiry_ms(self) -> float | None:
        """Return when ``expire`` is due, or None while nothing is missing."""
        missing = [
            entry.missing_since_ms
            for entry in self._entries.values()
            if entry.missing_since_ms is not None
        ]
        return min(missing) + self._hold_ms if missing else None

    def replicas_of(self, service: str, now_ms: float) -> tuple[Replica, ...]:
        """Return the replicas of a service that may be sent new calls.

        Draining ones are used for ``LAST_RESORT_MS`` if there is no other.
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
            and now_ms - entry.draining_since_ms < LAST_RESORT_MS
        )

    def registrations(self) -> tuple[Registration, ...]:
        """Return all registrations in force."""
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
