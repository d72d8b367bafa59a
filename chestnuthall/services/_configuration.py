"""The configuration that an instance has in force."""

import asyncio
import logging
from collections.abc import Callable

from chestnuthall.core.configuration import RevisionDecision, decide_revision
from chestnuthall.core.model import Configuration
from chestnuthall.core.results import Failure
from chestnuthall.ports import Clock, ObjectStore

_log = logging.getLogger(__name__)

ENVIRONMENT_KIND = "environments"
WATCH_TIMEOUT_MS = 30_000.0
STORE_TIMEOUT_MS = 2_000.0
RETRY_DELAY_MS = 1_000.0

ConfigurationReader = Callable[[str], Configuration | Failure]
ConfigurationListener = Callable[[Configuration], None]


class ConfigurationKeeper:
    """Applies accepted configurations in order of revision, and never back."""

    def __init__(
        self,
        environment: str,
        store: ObjectStore,
        clock: Clock,
        read: ConfigurationReader,
    ) -> None:
        self._environment = environment
        self._store = store
        self._clock = clock
        self._read = read
        self._in_force: Configuration | None = None
        self._listeners: list[ConfigurationListener] = []

    @property
    def in_force(self) -> Configuration | None:
        """The configuration in force, or None before the first one."""
        return self._in_force

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first one."""
        return 0 if self._in_force is None else self._in_force.revision

    def on_change(self, listener: ConfigurationListener) -> None:
        """Call a listener with each configuration that comes into force."""
        self._listeners.append(listener)

    def offer(self, offered: Configuration, source: str) -> RevisionDecision:
        """Apply a configuration if it is newer than the one in force."""
        decision = decide_revision(self._in_force, offered, self._environment)
        if decision is RevisionDecision.APPLY:
            self._in_force = offered
            for listener in self._listeners:
                listener(offered)
            _log.info(
                "configuration in force",
                extra={"revision": offered.revision, "source": source},
            )
        elif decision is not RevisionDecision.KEEP:
            _log.error(
                "configuration rejected",
                extra={"decision": decision.value, "source": source},
            )
        return decision

    def offer_text(self, text: str, source: str) -> RevisionDecision | Failure:
        """Read a stored configuration and apply it if it is newer."""
        configuration = self._read(text)
        if isinstance(configuration, Failure):
            _log.error("invalid configuration", extra={"reason": configuration.reason})
            return configuration
        return self.offer(configuration, source)

    async def run(self) -> None:
        """Follow the environment's object in the store until cancelled."""
        version = 0
        while True:
            if version == 0:
                version = await self._load()
            if version == 0:
                await self._clock.sleep_ms(RETRY_DELAY_MS)
                continue
            version = await self._follow(version)

    async def _load(self) -> int:
        stored = await self._store.get(
            ENVIRONMENT_KIND, self._environment, STORE_TIMEOUT_MS
        )
        if isinstance(stored, Failure):
            return 0
        self.offer_text(stored.value, "store")
        return stored.version

    async def _follow(self, version: int) -> int:
        batch = await self._store.watch(ENVIRONMENT_KIND, version, WATCH_TIMEOUT_MS)
        if isinstance(batch, Failure):
            await self._clock.sleep_ms(RETRY_DELAY_MS)
            return version
        for stored in batch.changed:
            if stored.name == self._environment:
                self.offer_text(stored.value, "store")
        return batch.version

    async def wait_in_force(self) -> Configuration:
        """Wait until a first configuration is in force."""
        if self._in_force is not None:
            return self._in_force
        future: asyncio.Future[Configuration]
        future = asyncio.get_running_loop().create_future()
        self.on_change(lambda item: None if future.done() else future.set_result(item))
        return await future
