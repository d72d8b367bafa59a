"""Keeps the partition maps and the routers of the upstream groups."""

import asyncio
import logging
from collections.abc import Callable, Iterator
from dataclasses import replace
from random import Random

from chestnuthall.core.model import PartitionMap, Replica, UpstreamGroup
from chestnuthall.core.results import Failure
from chestnuthall.core.routing import Router, RouterSettings, SnapshotCatalog
from chestnuthall.ports import Clock, MapFetcher, ObjectStore

_log = logging.getLogger(__name__)

PARTITION_MAP_KIND = "partition-maps"
WATCH_TIMEOUT_MS = 30_000.0
STORE_TIMEOUT_MS = 2_000.0
RETRY_DELAY_MS = 1_000.0
MAP_FETCH_TIMEOUT_MS = 500.0

PartitionMapReader = Callable[[str], PartitionMap | Failure]


class Directory:
    """Keeps the published partition maps of each group and a router over its replicas.

    Maps are read from the object store, and also from upstreams if no replacement of
    a snapshot is known, as while the store is unavailable.
    """

    def __init__(
        self,
        store: ObjectStore,
        caller: MapFetcher,
        clock: Clock,
        read_map: PartitionMapReader,
        zone: str,
        random: Random,
        router_settings: RouterSettings | None = None,
    ) -> None:
        self._store = store
        self._caller = caller
        self._clock = clock
        self._read_map = read_map
        self._zone = zone
        self._random = random
        self._router_settings = router_settings or RouterSettings()
        self._catalogs: dict[str, SnapshotCatalog] = {}
        self._routers: dict[str, Router] = {}

    def add_group(self, group: UpstreamGroup) -> None:
        """Create the router of a group, which keeps its replica statistics."""
        if group.name in self._routers:
            return
        settings = replace(
            self._router_settings, zone=self._zone, n_slots=group.n_slots
        )
        self._routers[group.name] = Router(settings, self._random)
        self._catalogs.setdefault(group.name, SnapshotCatalog(group.name))

    def router(self, group_name: str) -> Router:
        """Return the router of a group that was added."""
        return self._routers[group_name]

    def zone_of(self, replica_name: str) -> str:
        """Return the availability zone of a replica, or its name if unknown."""
        for _, replica in self.replicas():
            if replica.name == replica_name:
                return replica.zone
        return replica_name

    def shard_of(self, replica_name: str) -> str | None:
        """Return the shard of a replica in the newest maps, or None if unknown."""
        for catalog in self._catalogs.values():
            for partition_map in catalog.maps()[:1]:
                for shard in partition_map.shards:
                    if any(item.name == replica_name for item in shard.replicas):
                        return shard.shard_id
        return None

    def knows_replica(self, replica_name: str) -> bool:
        """Return whether a known map of any group contains the replica."""
        return any(
            _contains_replica(catalog, replica_name)
            for catalog in self._catalogs.values()
        )

    def routers(self) -> tuple[Router, ...]:
        """Return the routers of all groups that were added."""
        return tuple(self._routers.values())

    def replicas(self) -> Iterator[tuple[str, Replica]]:
        """Yield each replica of the newest maps with its group, once."""
        for name, catalog in self._catalogs.items():
            for partition_map in catalog.maps()[:1]:
                unique = {
                    replica.name: replica
                    for shard in partition_map.shards
                    for replica in shard.replicas
                }
                for replica in unique.values():
                    yield name, replica

    def has_maps(self) -> bool:
        """Return whether every group that was added has a map."""
        return all(self._catalogs[name].newest_id is not None for name in self._routers)

    def add_map(self, partition_map: PartitionMap) -> None:
        """Add a published partition map from any source."""
        catalog = self._catalogs.setdefault(
            partition_map.group, SnapshotCatalog(partition_map.group)
        )
        if catalog.add(partition_map):
            _log.info(
                "partition map learned",
                extra={
                    "group": partition_map.group,
                    "snapshot_id": partition_map.snapshot_id,
                },
            )

    def find_map(self, group_name: str, snapshot_id: int) -> PartitionMap | None:
        """Return the known map of a snapshot, or None."""
        catalog = self._catalogs.get(group_name)
        maps = () if catalog is None else catalog.maps()
        return next((item for item in maps if item.snapshot_id == snapshot_id), None)

    def pin(
        self, group_name: str, excluded: tuple[int, ...] = ()
    ) -> PartitionMap | None:
        """Return the map that a query pins, without the excluded snapshots."""
        catalog = self._catalogs.get(group_name)
        router = self._routers.get(group_name)
        if catalog is None or router is None:
            return None
        now_ms = self._clock.now_ms()
        return catalog.choose(
            lambda replica, snapshot_id: router.serves_snapshot(
                replica, snapshot_id, now_ms
            ),
            excluded,
        )

    async def pin_replacement(
        self, group_name: str, unavailable_snapshot_ids: tuple[int, ...]
    ) -> PartitionMap | None:
        """Return a map of a snapshot that is still available, or None.

        Upstreams are queried unless a newer map is known.
        """
        known = self.pin(group_name, unavailable_snapshot_ids)
        if known is not None and known.snapshot_id > max(unavailable_snapshot_ids):
            return known
        await self._fetch_from_upstreams(group_name)
        return self.pin(group_name, unavailable_snapshot_ids)

    async def _fetch_from_upstreams(self, group_name: str) -> None:
        catalog = self._catalogs[group_name]
        replicas = self._sample_replicas(catalog)
        results = await asyncio.gather(
            *(
                self._caller.fetch_partition_map(replica, MAP_FETCH_TIMEOUT_MS)
                for replica in replicas
            )
        )
        for result in results:
            if isinstance(result, PartitionMap) and result.group == group_name:
                self.add_map(result)

    def _sample_replicas(self, catalog: SnapshotCatalog) -> list[Replica]:
        """Return one replica for each of up to three shards of the newest map."""
        for partition_map in catalog.maps():
            shards = list(partition_map.shards)
            self._random.shuffle(shards)
            return [
                self._random.choice(shard.replicas)
                for shard in shards[:3]
                if shard.replicas
            ]
        return []

    async def run(self) -> None:
        """Watch the published maps until cancelled."""
        version = 0
        while True:
            if version == 0:
                version = await self._load()
            if version == 0:
                await self._clock.sleep_ms(RETRY_DELAY_MS)
                continue
            version = await self._watch(version)

    async def _load(self) -> int:
        listed = await self._store.list_kind(PARTITION_MAP_KIND, STORE_TIMEOUT_MS)
        if isinstance(listed, Failure):
            _log.warning(
                "cannot list partition maps", extra={"result_code": listed.code}
            )
            return 0
        for stored in listed:
            self._add_stored_map(stored.value)
        return max((stored.version for stored in listed), default=0)

    async def _watch(self, version: int) -> int:
        batch = await self._store.watch(PARTITION_MAP_KIND, version, WATCH_TIMEOUT_MS)
        if isinstance(batch, Failure):
            await self._clock.sleep_ms(RETRY_DELAY_MS)
            return version
        for stored in batch.changed:
            self._add_stored_map(stored.value)
        return batch.version

    def _add_stored_map(self, text: str) -> None:
        partition_map = self._read_map(text)
        if isinstance(partition_map, Failure):
            _log.error("invalid partition map", extra={"reason": partition_map.reason})
            return
        self.add_map(partition_map)


def _contains_replica(catalog: SnapshotCatalog, replica_name: str) -> bool:
    return any(
        replica.name == replica_name
        for partition_map in catalog.maps()
        for shard in partition_map.shards
        for replica in shard.replicas
    )
