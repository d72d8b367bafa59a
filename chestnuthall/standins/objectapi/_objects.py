"""Versioned objects and a bounded history of their changes."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

N_CHANGES_KEPT = 10_000
N_VALUE_BYTES_MAX = 1024 * 1024
# Number of states of each object that are kept for stale reads.
N_STATES_KEPT = 8


class VersionConflict(Exception):
    """The object is not at the version that the write requires."""


class UnknownObject(Exception):
    """There is no object of that kind and name."""


class HistoryTrimmed(Exception):
    """The history no longer covers all changes after the requested version."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One object and the version of its last write."""

    kind: str
    name: str
    version: int
    value: str


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """One write; ``entry`` is None for a deletion."""

    version: int
    kind: str
    name: str
    entry: Entry | None


def _loop_time_s() -> float:
    return asyncio.get_running_loop().time()


class ObjectTable:
    """All objects of the store.

    Each write to any object increases the version of the table by one.
    """

    def __init__(self, read_time_s: Callable[[], float] = _loop_time_s) -> None:
        self.version = 0
        self.trimmed_version = 0
        self._read_time_s = read_time_s
        self._states: dict[tuple[str, str], list[tuple[float, Entry | None]]] = {}
        self._changes: list[ObjectChange] = []
        self._changed = asyncio.Event()

    def get(self, kind: str, name: str, lag_s: float = 0.0) -> Entry:
        """Return an object as it was ``lag_s`` ago."""
        entry = self._find_state((kind, name), lag_s)
        if entry is None:
            raise UnknownObject(f"{kind}/{name} does not exist")
        return entry

    def _find_state(self, key: tuple[str, str], lag_s: float) -> Entry | None:
        states = self._states.get(key, [])
        if states and lag_s <= 0.0:
            return states[-1][1]
        as_of_s = self._read_time_s() - lag_s
        past = [entry for written_s, entry in states if written_s <= as_of_s]
        if not past and len(states) == N_STATES_KEPT:
            return states[0][1]
        return past[-1] if past else None

    def list_kind(self, kind: str, lag_s: float = 0.0) -> list[Entry]:
        """Return all objects of a kind as they were ``lag_s`` ago, by name."""
        names = sorted(name for item_kind, name in self._states if item_kind == kind)
        found = [self._find_state((kind, name), lag_s) for name in names]
        return [entry for entry in found if entry is not None]

    def put(
        self, kind: str, name: str, value: str, expected_version: int | None
    ) -> Entry:
        """Write an object, under a condition unless ``expected_version`` is None.

        An expected version of 0 requires that the object does not exist.
        """
        current = self._find_state((kind, name), 0.0)
        current_version = 0 if current is None else current.version
        if expected_version is not None and expected_version != current_version:
            raise VersionConflict(f"{kind}/{name} is at version {current_version}")
        self.version += 1
        entry = Entry(kind, name, self.version, value)
        self._record_change(ObjectChange(self.version, kind, name, entry))
        return entry

    def delete(self, kind: str, name: str, expected_version: int | None) -> Entry:
        """Delete an object and return it as it was."""
        entry = self.get(kind, name)
        if expected_version is not None and expected_version != entry.version:
            raise VersionConflict(f"{kind}/{name} is at version {entry.version}")
        self.version += 1
        self._record_change(ObjectChange(self.version, kind, name, None))
        return entry

    def _record_change(self, change: ObjectChange) -> None:
        states = self._states.setdefault((change.kind, change.name), [])
        states.append((self._read_time_s(), change.entry))
        del states[:-N_STATES_KEPT]
        self._changes.append(change)
        self._trim(N_CHANGES_KEPT)
        self._changed.set()
        self._changed = asyncio.Event()

    def _trim(self, n_kept: int) -> None:
        n_dropped = len(self._changes) - n_kept
        if n_dropped > 0:
            self.trimmed_version = self._changes[n_dropped - 1].version
            del self._changes[:n_dropped]

    def trim_history(self) -> None:
        """Remove all changes that are kept for watches."""
        self._trim(0)

    def changes_after(self, kind: str, version: int) -> list[ObjectChange]:
        """Return the last change of each object of a kind after a version."""
        if version < self.trimmed_version:
            raise HistoryTrimmed(
                f"changes up to version {self.trimmed_version} are no longer kept"
            )
        latest: dict[str, ObjectChange] = {}
        for change in self._changes:
            if change.kind == kind and change.version > version:
                latest[change.name] = change
        return sorted(latest.values(), key=lambda change: change.version)

    async def wait_for_changes(
        self, kind: str, version: int, timeout_s: float
    ) -> list[ObjectChange]:
        """Wait for changes of a kind after a version and return them.

        The list is empty on timeout.
        """
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + timeout_s
        while True:
            changes = self.changes_after(kind, version)
            remaining_s = ends_at_s - loop.time()
            if changes or remaining_s <= 0.0:
                return changes
            try:
                # ``asyncio.wait_for`` of Python 3.11 can lose a cancellation
                # that arrives together with a change.
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                return []
