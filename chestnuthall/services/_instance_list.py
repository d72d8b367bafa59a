"""The platform's list of instances, followed by a watch."""

import logging
from collections.abc import Callable

from chestnuthall.core.results import Failure
from chestnuthall.ports import Clock, InstanceListEntry, ObjectStore, StoredObject

_log = logging.getLogger(__name__)

INSTANCE_KIND = "instances"
STORE_TIMEOUT_MS = 2_000.0
WATCH_TIMEOUT_MS = 30_000.0
RETRY_DELAY_MS = 1_000.0
# The list is read again because a watch misses changes that the store no longer
# keeps. The complete list of 1,900 instances and 13,000 replicas is about 2 MB,
# which is 570 bytes a second if it is read once an hour.
RELOAD_INTERVAL_MS = 3_600_000.0

N_REPORT_ATTEMPTS = 3

ListEntryReader = Callable[[str], InstanceListEntry | None]
LeavingMarker = Callable[[str], str | Failure]
ListListener = Callable[[tuple[InstanceListEntry, ...]], None]


class InstanceList:
    """Keeps the last known list and notifies listeners of each change."""

    def __init__(
        self, store: ObjectStore, clock: Clock, read_entry: ListEntryReader
    ) -> None:
        self._store = store
        self._clock = clock
        self._read_entry = read_entry
        self._entries: dict[str, InstanceListEntry] = {}
        self._listeners: list[ListListener] = []

    def entries(self) -> tuple[InstanceListEntry, ...]:
        """Return the last known list; empty before the first read."""
        return tuple(self._entries.values())

    def add_listener(self, listener: ListListener) -> None:
        """Add a listener that is called with the complete list after each change."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Follow the list until cancelled."""
        while True:
            version = await self._load()
            if version is None:
                await self._clock.sleep_ms(RETRY_DELAY_MS)
                continue
            reload_at_ms = self._clock.now_ms() + RELOAD_INTERVAL_MS
            while self._clock.now_ms() < reload_at_ms:
                version = await self._follow(version)

    async def report_leaving(self, name: str, mark: LeavingMarker) -> None:
        """Mark an instance as leaving in the platform's list."""
        for _ in range(N_REPORT_ATTEMPTS):
            stored = await self._store.get(INSTANCE_KIND, name, STORE_TIMEOUT_MS)
            if isinstance(stored, Failure):
                break
            text = mark(stored.value)
            if isinstance(text, Failure):
                break
            written = await self._store.update(
                INSTANCE_KIND, name, text, stored.version, STORE_TIMEOUT_MS
            )
            if not isinstance(written, Failure):
                return
        _log.warning("cannot report the leave to the platform")

    async def _load(self) -> int | None:
        listed = await self._store.list_kind(INSTANCE_KIND, STORE_TIMEOUT_MS)
        if isinstance(listed, Failure):
            _log.warning("cannot list instances", extra={"result_code": listed.code})
            return None
        self._entries = {}
        for stored in listed:
            self._update_entry(stored)
        self._notify_listeners()
        return max((stored.version for stored in listed), default=0)

    async def _follow(self, version: int) -> int:
        batch = await self._store.watch(INSTANCE_KIND, version, WATCH_TIMEOUT_MS)
        if isinstance(batch, Failure):
            await self._clock.sleep_ms(RETRY_DELAY_MS)
            return version
        for stored in batch.changed:
            self._update_entry(stored)
        for name in batch.deleted_names:
            self._entries.pop(name, None)
        if batch.changed or batch.deleted_names:
            self._notify_listeners()
        return batch.version

    def _update_entry(self, stored: StoredObject) -> None:
        entry = self._read_entry(stored.value)
        if entry is None:
            _log.error("invalid list entry", extra={"object_name": stored.name})
            self._entries.pop(stored.name, None)
        else:
            self._entries[stored.name] = entry

    def _notify_listeners(self) -> None:
        entries = self.entries()
        for listener in self._listeners:
            listener(entries)
