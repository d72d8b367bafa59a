"""How many instances there are, from their entries in the store."""

import logging
from collections.abc import Callable

from chestnuthall.core.results import OBJECT_CONFLICT, Failure
from chestnuthall.ports import Clock, ObjectStore

_log = logging.getLogger(__name__)

PRESENCE_KIND = "instance-entries"
STORE_TIMEOUT_MS = 2_000.0
RETRY_DELAY_MS = 1_000.0
# The other instances of a fleet that starts at once have written their entries by
# the first listing. An earlier count would divide allowances among too few.
FIRST_LISTING_MS = 3_000.0
LISTING_INTERVAL_MS = 10_000.0


class Presence:
    """Enters this instance in the store once, and counts the entries.

    An entry stays until its instance leaves gracefully, also across restarts,
    so the count is an upper bound of the instances that may be running. That
    is what the division of a fleet-wide allowance needs.
    """

    def __init__(
        self,
        name: str,
        store: ObjectStore,
        clock: Clock,
        on_counted: Callable[[int], None],
    ) -> None:
        self._name = name
        self._store = store
        self._clock = clock
        self._on_counted = on_counted
        self._version = 0
        self.n_instances: int | None = None

    async def run(self) -> None:
        """Enter this instance, then list the entries until cancelled."""
        while not await self._enter():
            await self._clock.sleep_ms(RETRY_DELAY_MS)
        await self._clock.sleep_ms(FIRST_LISTING_MS)
        while True:
            is_listed = await self._count()
            delay_ms = LISTING_INTERVAL_MS if is_listed else RETRY_DELAY_MS
            await self._clock.sleep_ms(delay_ms)

    async def _enter(self) -> bool:
        created = await self._store.create(
            PRESENCE_KIND, self._name, "{}", STORE_TIMEOUT_MS
        )
        if not isinstance(created, Failure):
            self._version = created.version
            return True
        if created.kind is OBJECT_CONFLICT:
            return True
        _log.warning("cannot enter the instance", extra={"result_code": created.code})
        return False

    async def _count(self) -> bool:
        listed = await self._store.list_kind(PRESENCE_KIND, STORE_TIMEOUT_MS)
        if isinstance(listed, Failure):
            _log.warning("cannot list instances", extra={"result_code": listed.code})
            return False
        names = {item.name for item in listed} | {self._name}
        if len(names) != self.n_instances:
            self.n_instances = len(names)
            _log.info("instances counted", extra={"n_instances": self.n_instances})
        self._on_counted(len(names))
        return True
