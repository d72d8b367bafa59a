"""What operators see of a fleet, and what they ask of its instances."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from chestnuthall.core.configuration import (
    InstanceEvidence,
    RevisionRecord,
    TrialEvidence,
)
from chestnuthall.core.model import PartitionMap, Replica
from chestnuthall.core.results import NOT_FOUND, Failure
from chestnuthall.ports import (
    Clock,
    InstanceAdminClient,
    InstanceStatus,
    InstanceSummary,
    ObjectStore,
    QuarantineEntry,
)

INSTANCE_KIND = "instances"
PARTITION_MAP_KIND = "partition-maps"
STORE_TIMEOUT_MS = 2_000.0
ADMIN_TIMEOUT_MS = 2_000.0
# Instances asked at once, so that a large fleet does not exhaust the sockets
# of the machine that the tool runs on.
N_ASKED_AT_ONCE = 64
SUCCESS_NAMES = ("OK", "OK_PARTIAL")

MapReader = Callable[[str], PartitionMap | Failure]
ListedReader = Callable[[str], InstanceSummary | Failure]
ProgressListener = Callable[[int, int], None]


@dataclass(frozen=True, slots=True)
class InstanceObservation:
    """A listed instance with its status, or why there is none."""

    listed: InstanceSummary
    status: InstanceStatus | Failure


@dataclass(frozen=True, slots=True)
class ReplicaObservation:
    """A replica of a group's newest map with what it says about itself."""

    group: str
    shard_id: str
    replica: Replica
    state: str | Failure


class FleetView:
    """Lists instances and asks them over the operators' interface."""

    def __init__(
        self,
        store: ObjectStore,
        admin: InstanceAdminClient,
        clock: Clock,
        read_listed: ListedReader,
        read_map: MapReader,
    ) -> None:
        self._read_map = read_map
        self._store = store
        self._admin = admin
        self._clock = clock
        self._read_listed = read_listed
        self._slots = asyncio.Semaphore(N_ASKED_AT_ONCE)

    async def listed(self) -> tuple[InstanceSummary, ...] | Failure:
        """Return the platform's list of instances and upstreams."""
        objects = await self._store.list_kind(INSTANCE_KIND, STORE_TIMEOUT_MS)
        if isinstance(objects, Failure):
            return objects
        read = [self._read_listed(item.value) for item in objects]
        return tuple(item for item in read if not isinstance(item, Failure))

    async def entries(self) -> tuple[InstanceSummary, ...] | Failure:
        """Return the entry instances that are not leaving."""
        listed = await self.listed()
        if isinstance(listed, Failure):
            return listed
        return tuple(x for x in listed if x.role == "entry" and x.state == "live")

    async def query_status(
        self, instances: tuple[InstanceSummary, ...]
    ) -> tuple[InstanceObservation, ...]:
        """Ask instances for their status."""
        return tuple(
            await asyncio.gather(*(self._query_instance(item) for item in instances))
        )

    async def _query_instance(self, listed: InstanceSummary) -> InstanceObservation:
        async with self._slots:
            status = await self._admin.status(listed.address, ADMIN_TIMEOUT_MS)
        return InstanceObservation(listed, status)

    async def upstreams(self) -> tuple[ReplicaObservation, ...] | Failure:
        """Ask every replica of the published partition maps for its health."""
        objects = await self._store.list_kind(PARTITION_MAP_KIND, STORE_TIMEOUT_MS)
        if isinstance(objects, Failure):
            return objects
        maps = [self._read_map(item.value) for item in objects]
        return tuple(
            await asyncio.gather(
                *(
                    self._see_upstream(item.group, shard.shard_id, replica)
                    for item in maps
                    if not isinstance(item, Failure)
                    for shard in item.shards
                    for replica in shard.replicas
                )
            )
        )

    async def _see_upstream(
        self, group: str, shard_id: str, replica: Replica
    ) -> ReplicaObservation:
        async with self._slots:
            state = await self._admin.upstream_state(replica.address, ADMIN_TIMEOUT_MS)
        return ReplicaObservation(group, shard_id, replica, state)

    async def announce(
        self, instances: tuple[InstanceSummary, ...], stored_text: str
    ) -> int:
        """Tell instances of an accepted revision; return how many took it in.

        An instance of another environment rejects the offer, and one that
        does not answer learns of the revision from the store or a peer.
        """
        results = await asyncio.gather(
            *(self._announce(item, stored_text) for item in instances)
        )
        return sum(1 for result in results if not isinstance(result, Failure))

    async def _announce(self, listed: InstanceSummary, text: str) -> int | Failure:
        async with self._slots:
            return await self._admin.announce(listed.address, text, ADMIN_TIMEOUT_MS)

    async def wait_in_force(
        self,
        instances: tuple[InstanceSummary, ...],
        record: RevisionRecord,
        timeout_ms: float,
        on_progress: ProgressListener,
        interval_ms: float = 200.0,
    ) -> tuple[InstanceObservation, ...]:
        """Wait until every instance has a revision, or a later one, in force.

        Returns the instances that do not have it when the time is up. An
        instance that does not answer counts as one of them.
        """
        ends_at_ms = self._clock.now_ms() + timeout_ms
        while True:
            seen = await self.query_status(instances)
            seen = tuple(x for x in seen if _may_follow(x, record.environment))
            behind = tuple(item for item in seen if not _has(item, record))
            on_progress(len(seen) - len(behind), len(seen))
            if not behind or self._clock.now_ms() >= ends_at_ms:
                return behind
            await self._clock.sleep_ms(interval_ms)

    async def evidence(
        self,
        record: RevisionRecord,
        instances: tuple[InstanceSummary, ...],
        fast_burn_classes: tuple[str, ...],
    ) -> TrialEvidence:
        """Gather what the instances of an environment show about a revision."""
        seen = await self.query_status(instances)
        statuses = [item.status for item in seen]
        return TrialEvidence(
            record=record,
            gathered_wall_ms=self._clock.wall_ms(),
            instances=tuple(
                _evidence_of(status)
                for status in statuses
                if isinstance(status, InstanceStatus)
                and status.environment == record.environment
            ),
            silent_names=tuple(
                x.listed.name for x in seen if isinstance(x.status, Failure)
            ),
            fast_burn_classes=fast_burn_classes,
        )

    async def drain_instance(self, name: str) -> Failure | None:
        """Ask one instance to leave gracefully."""
        instances = await self.entries()
        if isinstance(instances, Failure):
            return instances
        for item in instances:
            if item.name == name:
                return await self._admin.drain_instance(
                    item.address, name, ADMIN_TIMEOUT_MS
                )
        known = ", ".join(item.name for item in instances)
        return NOT_FOUND.with_reason(
            f"no live instance named {name!r}; there are {known}"
        )

    async def drain_upstream(self, name: str) -> dict[str, Failure | None] | Failure:
        """Ask every instance to send no new calls to an upstream replica."""
        instances = await self.entries()
        if isinstance(instances, Failure):
            return instances
        results = await asyncio.gather(
            *(
                self._admin.drain_replica(item.address, name, ADMIN_TIMEOUT_MS)
                for item in instances
            )
        )
        return {x.name: result for x, result in zip(instances, results, strict=True)}

    async def quarantines(
        self,
    ) -> dict[str, tuple[QuarantineEntry, ...] | Failure] | Failure:
        """Return the quarantines of each instance, by its name."""
        instances = await self.entries()
        if isinstance(instances, Failure):
            return instances
        results = await asyncio.gather(
            *(
                self._admin.quarantines(item.address, ADMIN_TIMEOUT_MS)
                for item in instances
            )
        )
        return {x.name: result for x, result in zip(instances, results, strict=True)}

    async def lift_quarantine(
        self, fingerprint: str
    ) -> dict[str, bool | Failure] | Failure:
        """Lift a quarantine on every instance; return what each one says."""
        instances = await self.entries()
        if isinstance(instances, Failure):
            return instances
        results = await asyncio.gather(
            *(
                self._admin.lift_quarantine(item.address, fingerprint, ADMIN_TIMEOUT_MS)
                for item in instances
            )
        )
        return {x.name: result for x, result in zip(instances, results, strict=True)}


def _may_follow(seen: InstanceObservation, environment: str) -> bool:
    status = seen.status
    return isinstance(status, Failure) or status.environment == environment


def _has(seen: InstanceObservation, record: RevisionRecord) -> bool:
    status = seen.status
    return not isinstance(status, Failure) and status.revision >= record.revision


def _evidence_of(status: InstanceStatus) -> InstanceEvidence:
    refused = [item for item in status.n_by_result if item[0] not in SUCCESS_NAMES]
    return InstanceEvidence(
        name=status.name,
        digest=status.digest,
        revision=status.revision,
        since_wall_ms=status.since_wall_ms,
        n_requests=sum(n for _, n in status.n_by_result),
        n_refused_by_code=tuple(refused),
    )
