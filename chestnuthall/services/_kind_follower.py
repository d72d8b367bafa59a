"""Follows all objects of one kind in the store."""

import logging
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Protocol, TypeVar

from chestnuthall.core.configuration import (
    BURST_DELAY_MS,
    Delay,
    DelayEnded,
    FollowerAction,
    FollowerEvent,
    ObjectFollower,
    ObjectRead,
    ReadObject,
    StoreCallFailed,
    Watch,
    WatchEnded,
    WatchHistoryTrimmed,
)
from chestnuthall.core.results import HISTORY_TRIMMED, Failure
from chestnuthall.ports import Clock, ObjectListing, ObjectStore, StoredObject

_log = logging.getLogger(__name__)

_Change = TypeVar("_Change")

# Many times the usual response time, and short compared with the time after which
# a recovered store counts as stable.
STORE_TIMEOUT_MS = 1_000.0


class KindListener(Protocol):
    """Receives the objects of a kind and their changes."""

    def on_listed(self, listing: ObjectListing) -> bool:
        """Replace all objects; return False to read them again."""
        ...

    def on_changed(self, stored: StoredObject) -> None:
        """Add or replace an object."""
        ...

    def on_deleted(self, name: str) -> None:
        """Remove an object."""
        ...

    def on_list_failed(self, failure: Failure) -> None:
        """Record that the objects could not be listed; they are listed again."""
        ...

    def on_watch_failed(self, failure: Failure) -> None:
        """Record that a watch failed; the objects are listed again if necessary."""
        ...


class KindFollower:
    """Lists the objects of a kind and watches for their changes."""

    def __init__(
        self,
        kind: str,
        store: ObjectStore,
        clock: Clock,
        listener: KindListener,
        watch_timeout_ms: float,
        burst_delay_ms: float = BURST_DELAY_MS,
    ) -> None:
        self._kind = kind
        self._store = store
        self._clock = clock
        self._listener = listener
        self._follower = ObjectFollower(watch_timeout_ms, burst_delay_ms)

    async def run(self) -> None:
        """Follow the objects until cancelled."""
        event = await self._perform(ReadObject())
        while True:
            event = await self._perform(self._follower.handle(event))

    @singledispatchmethod
    async def _perform(self, action: FollowerAction) -> FollowerEvent:
        raise TypeError(f"not an action: {type(action).__name__}")

    @_perform.register
    async def _(self, action: ReadObject) -> FollowerEvent:
        listed = await self._store.list_kind(self._kind, STORE_TIMEOUT_MS)
        now_ms = self._clock.now_ms()
        if isinstance(listed, Failure):
            self._listener.on_list_failed(listed)
            return StoreCallFailed(now_ms)
        if not self._replace_all(listed) or not listed.watch_version:
            return StoreCallFailed(now_ms)
        return ObjectRead(now_ms, listed.watch_version)

    @_perform.register
    async def _(self, action: Watch) -> FollowerEvent:
        batch = await self._store.watch(
            self._kind, action.after_version, self._follower.watch_timeout_ms
        )
        now_ms = self._clock.now_ms()
        if isinstance(batch, Failure):
            self._listener.on_watch_failed(batch)
            if batch.kind is HISTORY_TRIMMED:
                return WatchHistoryTrimmed(now_ms)
            return StoreCallFailed(now_ms)
        for stored in batch.changed:
            self._apply(self._listener.on_changed, stored, stored.name)
        for name in batch.deleted_names:
            self._apply(self._listener.on_deleted, name, name)
        n_changes = len(batch.changed) + len(batch.deleted_names)
        return WatchEnded(now_ms, batch.version, n_changes == 0, n_changes)

    def _replace_all(self, listing: ObjectListing) -> bool:
        """Pass on a listing; return whether it could be used."""
        try:
            return self._listener.on_listed(listing)
        except Exception:
            _log.exception("listing cannot be applied", extra={"kind": self._kind})
            return False

    def _apply(
        self, apply: Callable[[_Change], None], change: _Change, object_name: str
    ) -> None:
        """Pass on a change; one that cannot be applied must not hide the others."""
        try:
            apply(change)
        except Exception:
            _log.exception(
                "change cannot be applied",
                extra={"kind": self._kind, "object_name": object_name},
            )

    @_perform.register
    async def _(self, action: Delay) -> FollowerEvent:
        await self._clock.sleep_ms(action.duration_ms)
        now_ms = self._clock.now_ms()
        return DelayEnded(now_ms, is_watcher=True, confirmed_ms=now_ms)
