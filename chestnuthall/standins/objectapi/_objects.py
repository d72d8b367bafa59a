"""Objects with versions and a bounded history of changes."""

import asyncio
from dataclasses import dataclass

N_CHANGES_KEPT = 10_000
N_VALUE_BYTES_MAX = 1024 * 1024


class VersionConflict(Exception):
    """The condition of a write does not hold."""


class UnknownObject(Exception):
    """There is no object of that name."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One object with the version of its last write."""

    kind: str
    name: str
    version: int
    value: str


@dataclass(frozen=True, slots=True)
class Change:
    """One write; ``entry`` is None for a deletion."""

    version: int
    kind: str
    name: str
    entry: Entry | None


class ObjectTable:
    """All objects; versions grow by one with each write to any object."""

    def __init__(self) -> None:
        self.version = 0
        self._entries: dict[tuple[str, str], Entry] = {}
        self._changes: list[Change] = []
        self._changed = asyncio.Event()

    def get(self, kind: str, name: str) -> Entry:
        """Return an object."""
        entry = self._entries.get((kind, name))
        if entry is None:
            raise UnknownObject(f"{kind}/{name} does not exist")
        return entry

    def list_kind(self, kind: str) -> list[Entry]:
        """Return all objects of a kind, by name."""
        found = [entry for entry in self._entries.values() if entry.kind == kind]
        return sorted(found, key=lambda entry: entry.name)

    def put(
        self, kind: str, name: str, value: str, expected_version: int | None
    ) -> Entry:
        """Write an object; ``expected_version`` 0 requires that there is none.

        None writes without a condition.
        """
        current = self._entries.get((kind, name))
        current_version = 0 if current is None else current.version
        if expected_version is not None and expected_version != current_version:
            raise VersionConflict(f"{kind}/{name} is at version {current_version}")
        self.version += 1
        entry = Entry(kind, name, self.version, value)
        self._entries[(kind, name)] = entry
        self._note(Change(self.version, kind, name, entry))
        return entry

    def delete(self, kind: str, name: str, expected_version: int | None) -> Entry:
        """Delete an object and return it as it was."""
        entry = self.get(kind, name)
        if expected_version is not None and expected_version != entry.version:
            raise VersionConflict(f"{kind}/{name} is at version {entry.version}")
        del self._entries[(kind, name)]
        self.version += 1
        self._note(Change(self.version, kind, name, None))
        return entry

    def _note(self, change: Change) -> None:
        self._changes.append(change)
        del self._changes[:-N_CHANGES_KEPT]
        self._changed.set()
        self._changed = asyncio.Event()

    def changes_after(self, kind: str, version: int) -> list[Change]:
        """Return the last change of each object of a kind after a version."""
        latest: dict[str, Change] = {}
        for change in self._changes:
            if change.kind == kind and change.version > version:
                latest[change.name] = change
        return sorted(latest.values(), key=lambda change: change.version)

    async def wait_changes(
        self, kind: str, version: int, timeout_s: float
    ) -> list[Change]:
        """Wait until a kind has changes after a version, or for the timeout."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + timeout_s
        while True:
            changes = self.changes_after(kind, version)
            remaining_s = ends_at_s - loop.time()
            if changes or remaining_s <= 0.0:
                return changes
            try:
                # wait_for would swallow a cancellation that comes together
                # with a change.
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                return []
