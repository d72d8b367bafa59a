"""Services and their replicas, from the registrations in the store."""

import asyncio
import logging
from collections.abc import Callable
from functools import singledispatchmethod
from random import Random
from typing import Protocol

from chestnuthall.core.configuration import (
    WATCH_TIMEOUT_MS,
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
from chestnuthall.core.model import (
    KeyRange,
    PartitionMap,
    Replica,
    Shard,
    UpstreamGroup,
)
from chestnuthall.core.registry import (
    Registration,
    ReplicaChange,
    ReplicaChangeKind,
    ReplicaRegistry,
)
from chestnuthall.core.results import HISTORY_TRIMMED, Failure
from chestnuthall.core.routing import Router, RouterSettings
from chestnuthall.ports import Clock, ObjectStore, StoredObject

_log = logging.getLogger(__name__)

REGISTRATION_KIND = "registrations"
# Many times the usual response time, and short compared with the time after which
# a recovered store counts as stable.
STORE_TIMEOUT_MS = 1_000.0
# Lifetime of a cached map: one with a draining replica as the last resort becomes
# stale with time, without a new registration.
MAP_LIFETIME_MS = 250.0
# Limit on the groups, including those of earlier revisions that queries still use.
N_GROUPS_KEPT = 512
N_INVALID_ENTRIES_KEPT = 256

RegistrationReader = Callable[[StoredObject], Registration | Failure]


class ReplicaConnections(Protocol):
    """Connections that are opened and closed as replicas register and leave."""

    def open_connections(self, replica: Replica, shard_id: str) -> None:
        """Open connections to a replica ahead of the first call."""
        ...

    def close_connections(self, address: str) -> None:
        """Close the connections to a replica that has left."""
        ...


class ServiceDirectory:
    """Shards that the configuration defines as services, with their replicas.

    A group names its services; each is one shard. Replicas come from the
    registrations that they write to the store themselves.
    """

    def __init__(
        self,
        store: ObjectStore,
        connections: ReplicaConnections,
        clock: Clock,
        read: RegistrationReader,
        registry: ReplicaRegistry,
        router_settings: RouterSettings,
        random: Random,
        watch_timeout_ms: float = WATCH_TIMEOUT_MS,
    ) -> None:
        self._store = store
        self._connections = connections
        self._clock = clock
        self._read = read
        self._registry = registry
        self._router = Router(router_settings, random)
        self._groups: dict[str, UpstreamGroup] = {}
        self._maps: dict[str, tuple[int, float, PartitionMap]] = {}
        self._follower = ObjectFollower(watch_timeout_ms)
        self._invalid_entry_reasons: dict[str, str] = {}
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._is_loaded = False

    @property
    def is_ready(self) -> bool:
        """Whether the registrations have been read."""
        return self._is_loaded

    @property
    def n_replicas(self) -> int:
        """Number of known replicas."""
        return len(self._registry)

    def registrations(self) -> tuple[Registration, ...]:
        """Return the registrations in force, in the form that a peer can adopt."""
        return self._registry.registrations()

    def add_group(self, group: UpstreamGroup) -> None:
        """Define the services of a group; groups of earlier revisions are kept."""
        self._groups.pop(group.name, None)
        self._groups[group.name] = group
        self._maps.pop(group.name, None)
        while len(self._groups) > N_GROUPS_KEPT:
            oldest = next(iter(self._groups))
            del self._groups[oldest]
            self._maps.pop(oldest, None)

    def router(self, group_name: str) -> Router:
        """Return the router, which all groups share as they share replicas."""
        return self._router

    def pin(
        self, group_name: str, excluded: tuple[int, ...] = ()
    ) -> PartitionMap | None:
        """Return the shards of a group with the replicas that are known now."""
        group = self._groups.get(group_name)
        if group is None:
            return None
        now_ms = self._clock.now_ms()
        version = self._registry.version
        cached = self._maps.get(group_name)
        if cached and cached[0] == version and now_ms - cached[1] < MAP_LIFETIME_MS:
            return cached[2]
        shards = tuple(
            Shard(
                service,
                KeyRange("", ""),
                1,
                self._registry.replicas_of(service, now_ms),
            )
            for service in group.shard_ids
        )
        partition_map = PartitionMap(group_name, version, shards)
        self._maps[group_name] = (version, now_ms, partition_map)
        return partition_map

    async def pin_replacement(
        self, group_name: str, unavailable_snapshot_ids: tuple[int, ...]
    ) -> PartitionMap | None:
        """Return None; these upstreams have no snapshots to become unavailable."""
        return None

    async def run(self) -> None:
        """Follow the registrations until cancelled."""
        event = await self._perform(ReadObject())
        while True:
            event = await self._perform(self._follower.handle(event))

    @singledispatchmethod
    async def _perform(self, action: FollowerAction) -> FollowerEvent:
        raise TypeError(f"not an action: {type(action).__name__}")

    @_perform.register
    async def _(self, action: ReadObject) -> FollowerEvent:
        listed = await self._store.list_kind(REGISTRATION_KIND, STORE_TIMEOUT_MS)
        now_ms = self._clock.now_ms()
        if isinstance(listed, Failure):
            _log.warning(
                "cannot list registrations", extra={"result_code": listed.code}
            )
            return StoreCallFailed(now_ms)
        found = [item for item in map(self._read_entry, listed) if item is not None]
        self._apply(self._registry.replace_all(found, now_ms))
        if not listed:
            # An empty listing has no version from which to watch.
            return StoreCallFailed(now_ms)
        self._is_loaded = True
        return ObjectRead(
            now_ms, max(item.seen_version or item.version for item in listed)
        )

    @_perform.register
    async def _(self, action: Watch) -> FollowerEvent:
        batch = await self._store.watch(
            REGISTRATION_KIND, action.after_version, self._follower.watch_timeout_ms
        )
        now_ms = self._clock.now_ms()
        if isinstance(batch, Failure):
            _log.warning(
                "watch of registrations ended", extra={"result_code": batch.code}
            )
            if batch.kind is HISTORY_TRIMMED:
                return WatchHistoryTrimmed(now_ms)
            return StoreCallFailed(now_ms)
        for stored in batch.changed:
            self._apply_changed(stored, now_ms)
        for name in batch.deleted_names:
            self._apply(self._registry.mark_missing(name, now_ms))
        n_changes = len(batch.changed) + len(batch.deleted_names)
        return WatchEnded(now_ms, batch.version, n_changes == 0, n_changes)

    @_perform.register
    async def _(self, action: Delay) -> FollowerEvent:
        await self._clock.sleep_ms(action.duration_ms)
        now_ms = self._clock.now_ms()
        return DelayEnded(now_ms, is_watcher=True, confirmed_ms=now_ms)

    def _apply_changed(self, stored: StoredObject, now_ms: float) -> None:
        registration = self._read_entry(stored)
        if registration is None:
            self._apply(self._registry.remove(stored.name))
        else:
            self._apply(self._registry.put(registration, now_ms))

    def _read_entry(self, stored: StoredObject) -> Registration | None:
        """Return a registration, or None if it defines no usable replica."""
        registration = self._read(stored)
        if not isinstance(registration, Failure):
            return registration
        if self._invalid_entry_reasons.get(stored.name) != registration.reason:
            while len(self._invalid_entry_reasons) >= N_INVALID_ENTRIES_KEPT:
                del self._invalid_entry_reasons[next(iter(self._invalid_entry_reasons))]
            self._invalid_entry_reasons[stored.name] = registration.reason
            _log.warning(
                "registration ignored",
                extra={"replica": stored.name, "reason": registration.reason},
            )
        return None

    def _apply(self, changes: list[ReplicaChange]) -> None:
        for change in changes:
            self._apply_change(change)
        self._schedule_expiry()

    def _apply_change(self, change: ReplicaChange) -> None:
        replica = change.new.replica
        now_ms = self._clock.now_ms()
        if change.kind is ReplicaChangeKind.RESTARTED and change.old is not None:
            self._router.remove(replica.name)
            self._connections.close_connections(change.old.replica.address)
        if change.kind is ReplicaChangeKind.REMOVED:
            self._router.remove(replica.name)
            self._close_connections(replica.address)
        if change.kind in (ReplicaChangeKind.ADDED, ReplicaChangeKind.RESTARTED):
            self._connections.open_connections(replica, change.new.service)
            if change.new.warm_up_left_ms > 0.0:
                self._router.start_ramp_up(replica.name, now_ms)
        _log.info(
            "replica changed",
            extra={
                "change": change.kind.value,
                "replica": replica.name,
                "incarnation": replica.incarnation,
                "service": change.new.service,
                "zone": replica.zone,
                "directory_version": self._registry.version,
            },
        )

    def _close_connections(self, address: str) -> None:
        """Close the connections to an address that no other replica has."""
        in_use = any(
            item.replica.address == address for item in self._registry.registrations()
        )
        if not in_use:
            self._connections.close_connections(address)

    def _schedule_expiry(self) -> None:
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None
        due_ms = self._registry.next_expiry_ms()
        if due_ms is None:
            return
        delay_ms = max(1.0, due_ms - self._clock.now_ms())
        loop = asyncio.get_running_loop()
        self._expiry_timer = loop.call_later(delay_ms / 1000.0, self._expire)

    def _expire(self) -> None:
        self._apply(self._registry.expire(self._clock.now_ms()))
