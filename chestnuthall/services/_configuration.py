"""The configuration that an instance has in force."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from functools import singledispatchmethod

from chestnuthall.core.configuration import (
    WATCH_TIMEOUT_MS,
    Delay,
    DelayEnded,
    FollowerAction,
    FollowerEvent,
    ObjectFollower,
    ObjectRead,
    ReadObject,
    RevisionDecision,
    StoreCallFailed,
    Watch,
    WatchEnded,
    WatchHistoryTrimmed,
    decide_revision,
)
from chestnuthall.core.model import Configuration
from chestnuthall.core.results import HISTORY_TRIMMED, OBJECT_NOT_FOUND, Failure
from chestnuthall.ports import Clock, ObjectStore

_log = logging.getLogger(__name__)

ENVIRONMENT_KIND = "environments"
# Many times the usual response time, and short compared with the time after which
# a recovered store counts as stable.
STORE_TIMEOUT_MS = 1_000.0

ConfigurationReader = Callable[[str], Configuration | Failure]
ConfigurationListener = Callable[[Configuration], None]
PeerFetcher = Callable[[], Awaitable[Iterable[str]]]


async def _no_peers() -> tuple[str, ...]:
    return ()


class ConfigurationManager:
    """Applies accepted configurations in order of revision, never an older one.

    ``fetch_from_peers`` returns the stored texts that peers have in force.
    ``is_watcher`` returns whether this instance watches the store now; any other
    instance relies on the confirmations that peers send, and reads the store when
    it receives none.
    """

    def __init__(
        self,
        environment: str,
        store: ObjectStore,
        clock: Clock,
        read: ConfigurationReader,
        fetch_from_peers: PeerFetcher = _no_peers,
        is_watcher: Callable[[], bool] = lambda: True,
        watch_timeout_ms: float = WATCH_TIMEOUT_MS,
    ) -> None:
        self._environment = environment
        self._store = store
        self._clock = clock
        self._read = read
        self._fetch_from_peers = fetch_from_peers
        self._is_watcher = is_watcher
        self._in_force: Configuration | None = None
        self._listeners: list[ConfigurationListener] = []
        self._follower = ObjectFollower(watch_timeout_ms)
        self._confirmed_ms = float("-inf")
        self._has_queried = False

    @property
    def in_force(self) -> Configuration | None:
        """The configuration in force, or None before the first one."""
        return self._in_force

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first one."""
        return 0 if self._in_force is None else self._in_force.revision

    @property
    def is_ready(self) -> bool:
        """Whether store and peers were queried and a configuration is in force."""
        return self._has_queried and self._in_force is not None

    @property
    def confirmation_age_ms(self) -> float:
        """Time since the store confirmed the revision, to this instance or a peer."""
        return self._clock.now_ms() - self._confirmed_ms

    def confirm(self, revision: int, age_ms: float) -> None:
        """Record that a revision was the newest one ``age_ms`` ago.

        Ignored while this instance has an older revision in force.
        """
        if self.revision >= revision > 0:
            confirmed_ms = self._clock.now_ms() - max(0.0, age_ms)
            self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)

    def add_listener(self, listener: ConfigurationListener) -> None:
        """Add a listener, called with each configuration that comes into force."""
        self._listeners.append(listener)

    def offer(self, offered: Configuration, source: str) -> RevisionDecision:
        """Apply a configuration if it is newer than the one in force."""
        decision = decide_revision(self._in_force, offered, self._environment)
        if decision is RevisionDecision.APPLY:
            self._apply(offered, source)
        elif decision is not RevisionDecision.KEEP:
            _log.error(
                "configuration rejected",
                extra={"decision": decision.value, "source": source},
            )
        return decision

    def _apply(self, offered: Configuration, source: str) -> None:
        self._in_force = offered
        for listener in tuple(self._listeners):
            try:
                listener(offered)
            except Exception:
                # A defect in one listener must not end the watch, or keep the
                # others on an older revision.
                _log.exception("configuration listener failed")
        _log.info(
            "configuration in force",
            extra={"revision": offered.revision, "source": source},
        )

    def offer_text(self, text: str, source: str) -> RevisionDecision | Failure:
        """Parse a stored configuration and apply it if it is newer."""
        configuration = self._read(text)
        if isinstance(configuration, Failure):
            _log.error("invalid configuration", extra={"reason": configuration.reason})
            return configuration
        return self.offer(configuration, source)

    async def run(self) -> None:
        """Query store and peers, then follow the store until cancelled."""
        event = await self._query_all()
        while True:
            event = await self._perform(self._follower.handle(event))

    async def _query_all(self) -> FollowerEvent:
        """Query store and peers concurrently and apply the highest revision."""
        event, _ = await asyncio.gather(
            self._perform(ReadObject()), self._query_peers()
        )
        self._has_queried = True
        return event

    async def _query_peers(self) -> None:
        for text in await self._fetch_from_peers():
            self.offer_text(text, "peer")

    @singledispatchmethod
    async def _perform(self, action: FollowerAction) -> FollowerEvent:
        raise TypeError(f"not an action: {type(action).__name__}")

    @_perform.register
    async def _(self, action: ReadObject) -> FollowerEvent:
        started_ms = self._clock.now_ms()
        stored = await self._store.get(
            ENVIRONMENT_KIND, self._environment, STORE_TIMEOUT_MS
        )
        now_ms = self._clock.now_ms()
        if not isinstance(stored, Failure):
            self._apply_stored(stored.value, now_ms - started_ms)
            return ObjectRead(now_ms, stored.seen_version or stored.version)
        if stored.kind is OBJECT_NOT_FOUND:
            return ObjectRead(now_ms, 0)
        return StoreCallFailed(now_ms)

    def _apply_stored(self, text: str, age_ms: float) -> None:
        loaded = self._read(text)
        if isinstance(loaded, Failure):
            _log.error("invalid configuration", extra={"reason": loaded.reason})
            return
        self.offer(loaded, "store")
        if loaded.revision >= self.revision:
            # An older revision comes from a stale read, which confirms nothing.
            self.confirm(loaded.revision, age_ms)

    @_perform.register
    async def _(self, action: Watch) -> FollowerEvent:
        batch = await self._store.watch(
            ENVIRONMENT_KIND, action.after_version, self._follower.watch_timeout_ms
        )
        now_ms = self._clock.now_ms()
        if isinstance(batch, Failure):
            if batch.kind is HISTORY_TRIMMED:
                return WatchHistoryTrimmed(now_ms)
            return StoreCallFailed(now_ms)
        for stored in batch.changed:
            if stored.name == self._environment:
                self.offer_text(stored.value, "store")
        self.confirm(self.revision, 0.0)
        is_empty = not batch.changed and not batch.deleted_names
        return WatchEnded(now_ms, batch.version, is_empty)

    @_perform.register
    async def _(self, action: Delay) -> FollowerEvent:
        await self._clock.sleep_ms(action.duration_ms)
        if self._in_force is None:
            await self._query_peers()
        return DelayEnded(self._clock.now_ms(), self._is_watcher(), self._confirmed_ms)

    async def wait_in_force(self) -> Configuration:
        """Wait until a first configuration is in force."""
        if self._in_force is not None:
            return self._in_force
        future: asyncio.Future[Configuration]
        future = asyncio.get_running_loop().create_future()
        self.add_listener(
            lambda item: None if future.done() else future.set_result(item)
        )
        return await future
