"""Counts the instances of the fleet by their entries in the store."""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from chestnuthall.core.results import OBJECT_CONFLICT, Failure
from chestnuthall.core.versions import is_of_earlier_era
from chestnuthall.ports import Clock, ObjectListing, ObjectStore, StoredObject

_log = logging.getLogger(__name__)

PRESENCE_KIND = "instance-entries"
STORE_TIMEOUT_MS = 2_000.0
RETRY_DELAY_MS = 1_000.0
# Delay of the first listing, by which the instances of a fleet that starts together
# have written their entries. An earlier count would divide the fleet-wide limits by
# too few instances.
FIRST_LISTING_DELAY_MS = 3_000.0
LISTING_INTERVAL_MS = 10_000.0
# How long entries count that the store has lost by its return from a copy: until each
# instance has listed the entries and written its own again.
LOST_ENTRY_KEPT_MS = 2.5 * LISTING_INTERVAL_MS


@dataclass(frozen=True, slots=True)
class InstanceEntry:
    """Entry of an instance about itself; ``address`` is the one for its peers."""

    name: str
    address: str
    zone: str


EntryReader = Callable[[StoredObject], InstanceEntry | Failure]
EntryWriter = Callable[[InstanceEntry], str]


class InstancePresence:
    """Writes the entry of this instance to the store once, and counts the entries.

    An entry stays when its instance ends, so the count is an upper bound on the
    number of running instances, as required to divide a fleet-wide limit. Entries that
    the store loses by its return from a copy count until their instances have had the
    time to write them again.
    """

    def __init__(
        self,
        own: InstanceEntry,
        store: ObjectStore,
        clock: Clock,
        on_counted: Callable[[int], None],
        read: EntryReader,
        write: EntryWriter,
    ) -> None:
        self._own = own
        self._store = store
        self._clock = clock
        self._on_counted = on_counted
        self._read = read
        self._write = write
        self.n_instances: int | None = None
        # The other instances, including unavailable ones.
        self.peers: tuple[InstanceEntry, ...] = ()
        self._listed: dict[str, StoredObject] = {}
        self._listed_version = 0
        # Version of this instance's entry when it was last seen; 0 before.
        self._own_version = 0
        # Entries that the store has lost, until when they count.
        self._lost: dict[str, StoredObject] = {}
        self._lost_until_ms = float("-inf")

    @property
    def same_zone_peers(self) -> tuple[InstanceEntry, ...]:
        """The other instances in this zone, including unavailable ones."""
        return tuple(item for item in self.peers if item.zone == self._own.zone)

    def n_instances_in_zone(self) -> int:
        """Return the number of instances in this zone, including this one."""
        return 1 + len(self.same_zone_peers)

    async def run(self) -> None:
        """Write this instance's entry, then list all entries until cancelled."""
        while (is_new := await self._create_entry()) is None:
            await self._clock.sleep_ms(RETRY_DELAY_MS)
        if is_new:
            await self._clock.sleep_ms(FIRST_LISTING_DELAY_MS)
        while True:
            is_listed = await self._count()
            delay_ms = LISTING_INTERVAL_MS if is_listed else RETRY_DELAY_MS
            await self._clock.sleep_ms(delay_ms)

    async def _create_entry(self) -> bool | None:
        """Return whether the entry is new, or None if it could not be written.

        After a restart the entry exists, and so do those of the other instances.
        """
        created = await self._store.create(
            PRESENCE_KIND, self._own.name, self._write(self._own), STORE_TIMEOUT_MS
        )
        if not isinstance(created, Failure):
            self._own_version = created.version
            return True
        if created.kind is OBJECT_CONFLICT:
            return False
        _log.warning("cannot enter the instance", extra={"result_code": created.code})
        return None

    async def _count(self) -> bool:
        listed = await self._store.list_kind(PRESENCE_KIND, STORE_TIMEOUT_MS)
        if isinstance(listed, Failure):
            _log.warning("cannot list instances", extra={"result_code": listed.code})
            return False
        entries = self._with_lost_entries(listed)
        names = {item.name for item in entries} | {self._own.name}
        if len(names) != self.n_instances:
            self.n_instances = len(names)
            _log.info("instances counted", extra={"n_instances": self.n_instances})
        self._on_counted(len(names))
        self._update_peers(entries)
        if self._own.name not in self._listed and is_of_earlier_era(
            self._own_version, listed.watch_version
        ):
            return await self._create_entry() is not None
        return await self._correct_own_entry(listed)

    def _with_lost_entries(self, listed: ObjectListing) -> list[StoredObject]:
        """Return the listed entries, and those that the store has just lost."""
        now_ms = self._clock.now_ms()
        if is_of_earlier_era(self._listed_version, listed.watch_version):
            self._lost = {**self._lost, **self._listed}
            self._lost_until_ms = now_ms + LOST_ENTRY_KEPT_MS
        self._listed = {item.name: item for item in listed}
        self._listed_version = listed.watch_version
        if self._own.name in self._listed:
            self._own_version = self._listed[self._own.name].version
        if now_ms >= self._lost_until_ms:
            self._lost.clear()
        return list({**self._lost, **self._listed}.values())

    async def _correct_own_entry(self, listed: Iterable[StoredObject]) -> bool:
        """Replace this instance's entry if an earlier start wrote other values."""
        value = self._write(self._own)
        for stored in listed:
            if stored.name == self._own.name and self._read(stored) != self._own:
                written = await self._store.update(
                    PRESENCE_KIND,
                    stored.name,
                    value,
                    stored.version,
                    STORE_TIMEOUT_MS,
                )
                return not isinstance(written, Failure)
        return True

    def _update_peers(self, listed: Iterable[StoredObject]) -> None:
        peers = []
        for stored in listed:
            entry = self._read(stored)
            if isinstance(entry, Failure):
                _log.warning(
                    "instance entry ignored",
                    extra={"instance": stored.name, "reason": entry.reason},
                )
            elif entry.name != self._own.name:
                peers.append(entry)
        if tuple(peers) != self.peers:
            self.peers = tuple(peers)
