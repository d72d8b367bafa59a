"""Services and their replicas, from the registrations in the store."""

import asyncio
import logging
from collections.abc import Callable
from random import Random
from typing import Protocol

from chestnuthall.core.configuration import BURST_DELAY_MS, WATCH_TIMEOUT_MS
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
from chestnuthall.core.results import Failure
from chestnuthall.core.routing import Router, RouterSettings
from chestnuthall.core.versions import is_of_earlier_era
from chestnuthall.ports import Clock, ObjectListing, ObjectStore, StoredObject
from chestnuthall.services._kind_follower import KindFollower

_log = logging.getLogger(__name__)

REGISTRATION_KIND = "registrations"
# Lifetime of a cached map: one with a draining replica as the last resort becomes
# stale with time, without a new registration.
MAP_LIFETIME_MS = 250.0
# Limit on the groups, including those of earlier revisions that queries still use.
N_GROUPS_KEPT = 512
N_INVALID_ENTRIES_KEPT = 256
# Exceeds the deadline of any query, which may have pinned a replica before it left.
REMOVED_KEPT_MS = 60_000.0

RegistrationReader = Callable[[StoredObject], Registration | Failure]


class ReplicaConnections(Protocol):
    """Connections that are opened and closed as replicas register and leave."""

    def open_connections(self, replica: Replica, shard_id: str) -> None:
        """Open connections to a replica ahead of the first call."""
        ...

    def close_connections(self, address: str) -> None:
        """Close the connections to a replica that has left."""
        ...

    def reject_waiting(self, address: str) -> None:
        """Fail the calls that wait for a connection to a replica, as not sent."""
        ...


class ServiceDirectory:
    """Shards that the configuration defines as services, with their replicas.

    A group names its services; each is one shard. Replicas come from the
    registrations that they write to the store themselves. ``made_after_ms`` returns
    the time after which the changes that the store returned last were made.
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
        burst_delay_ms: float = BURST_DELAY_MS,
        made_after_ms: Callable[[], float] | None = None,
    ) -> None:
        self._connections = connections
        self._clock = clock
        self._read = read
        self._registry = registry
        self._router = Router(router_settings, random)
        self._groups: dict[str, UpstreamGroup] = {}
        self._maps: dict[str, tuple[int, float, PartitionMap]] = {}
        self._follower = KindFollower(
            REGISTRATION_KIND, store, clock, self, watch_timeout_ms, burst_delay_ms
        )
        self._made_after_ms = made_after_ms or clock.now_ms
        self._invalid_entry_reasons: dict[str, str] = {}
        self._expiry_timer: asyncio.TimerHandle | None = None
        # When replicas were removed that the router still excludes, oldest first.
        self._removed_ms: dict[str, float] = {}
        self._is_loaded = False
        self._listed_version = 0

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

    def incarnation_of(self, replica_name: str) -> int | None:
        """Return the last known incarnation of a replica, or None if unknown."""
        return self._registry.incarnation_of(replica_name)

    def announce_leave(self, replica_name: str, incarnation: int) -> bool:
        """Send no new calls to a replica that said that it leaves.

        Returns False if the leave was known.
        """
        now_ms = self._clock.now_ms()
        is_new = not self._registry.knows_leave(replica_name, incarnation)
        if is_new:
            self._apply(
                self._registry.announce_leave(replica_name, incarnation, now_ms)
            )
        return is_new

    async def run(self) -> None:
        """Follow the registrations until cancelled."""
        await self._follower.run()

    def on_listed(self, listing: ObjectListing) -> bool:
        """Replace all registrations; without any, they have to be read again."""
        found = [item for item in map(self._read_entry, listing) if item is not None]
        now_ms = self._clock.now_ms()
        if is_of_earlier_era(self._listed_version, listing.watch_version):
            self._registry.begin_era(now_ms)
        self._listed_version = listing.watch_version
        self._apply(self._registry.replace_all(found, now_ms, self._made_after_ms()))
        if not listing:
            return False
        self._is_loaded = True
        return True

    def on_changed(self, stored: StoredObject) -> None:
        """Add, replace or remove the registration that an entry contains."""
        registration = self._read_entry(stored)
        if registration is None:
            self._apply(self._registry.remove(stored.name, self._clock.now_ms()))
        else:
            self._apply(
                self._registry.put(
                    registration, self._clock.now_ms(), self._made_after_ms()
                )
            )

    def on_deleted(self, name: str) -> None:
        """Mark the registration of a deleted entry as missing."""
        self._apply(
            self._registry.mark_missing(
                name, self._clock.now_ms(), self._made_after_ms()
            )
        )

    def on_list_failed(self, failure: Failure) -> None:
        """Keep the known registrations."""
        _log.warning("cannot list registrations", extra={"result_code": failure.code})

    def on_watch_failed(self, failure: Failure) -> None:
        """Keep the known registrations."""
        _log.warning(
            "watch of registrations ended", extra={"result_code": failure.code}
        )

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
        self._forget_removed()
        self._schedule_expiry()

    def _forget_removed(self) -> None:
        oldest_ms = self._clock.now_ms() - REMOVED_KEPT_MS
        while self._removed_ms:
            name, removed_ms = next(iter(self._removed_ms.items()))
            if removed_ms > oldest_ms:
                return
            del self._removed_ms[name]
            self._router.remove(name)

    def _apply_change(self, change: ReplicaChange) -> None:
        replica = change.new.replica
        now_ms = self._clock.now_ms()
        if change.kind is ReplicaChangeKind.RESTARTED and change.old is not None:
            self._router.remove(replica.name)
            self._connections.close_connections(change.old.replica.address)
        if change.kind is ReplicaChangeKind.REMOVED:
            self._router.retire(replica.name)
            self._removed_ms.pop(replica.name, None)
            self._removed_ms[replica.name] = now_ms
            self._close_connections(replica.address)
        if change.kind is ReplicaChangeKind.ADDED:
            self._removed_ms.pop(replica.name, None)
            self._router.remove(replica.name)
        if change.kind in (ReplicaChangeKind.ADDED, ReplicaChangeKind.RESTARTED):
            self._connections.open_connections(replica, change.new.service)
            if change.new.warm_up_left_ms > 0.0:
                self._router.start_ramp_up(replica.name, now_ms)
        self._update_drain(change)
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

    def _update_drain(self, change: ReplicaChange) -> None:
        """Apply a drain, or its end, to the queries that have pinned the replica."""
        replica, old = change.new.replica, change.old
        if change.kind is ReplicaChangeKind.RESTORED and old and old.is_draining:
            self._router.set_drained_until(replica.name, float("-inf"))
        until_ms = self._registry.last_resort_until_ms(replica.name)
        if until_ms is None:
            return
        self._router.drain_until_removed(replica.name, until_ms)
        others = self._registry.replicas_of(change.new.service, self._clock.now_ms())
        if replica not in others:
            self._connections.reject_waiting(replica.address)

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
