"""Queries the state of a fleet and sends operators' commands to its instances."""

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
# Maximum number of concurrent requests. More could exhaust the sockets of the
# machine that the command-line tool runs on if the fleet is large.
N_CONCURRENT_REQUESTS_MAX = 64
SUCCESS_NAMES = ("OK", "OK_PARTIAL")

MapReader = Callable[[str], PartitionMap | Failure]
ListedReader = Callable[[str], InstanceSummary | Failure]
ProgressListener = Callable[[int, int], None]


@dataclass(frozen=True, slots=True)
class InstanceObservation:
    """A listed instance with its status, or the failure of the query."""

    listed: InstanceSummary
    status: InstanceStatus | Failure


@dataclass(frozen=True, slots=True)
class ReplicaObservation:
    """A replica of a group's newest map with its own state or a failure."""

    group: str
    shard_id: str
    replica: Replica
    state: str | Failure


class FleetView:
    """Lists instances and sends requests to their administration interface."""

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
        self._request_slots = asyncio.Semaphore(N_CONCURRENT_REQUESTS_MAX)

    async def list_instances(self) -> tuple[InstanceSummary, ...] | Failure:
        """Return the platform's list of instances and upstreams."""
        objects = await self._store.list_kind(INSTANCE_KIND, STORE_TIMEOUT_MS)
        if isinstance(objects, Failure):
            return objects
        read = [self._read_listed(item.value) for item in objects]
        return tuple(item for item in read if not isinstance(item, Failure))

    async def list_entry_instances(self) -> tuple[InstanceSummary, ...] | Failure:
        """Return the entry instances that are not leaving."""
        listed = await self.list_instances()
        if isinstance(listed, Failure):
            return listed
        return tuple(x for x in listed if x.role == "entry" and x.state == "live")

    async def query_status(
        self, instances: tuple[InstanceSummary, ...]
    ) -> tuple[InstanceObservation, ...]:
        """Query the status of instances."""
        return tuple(
            await asyncio.gather(*(self._query_status(item) for item in instances))
        )

    async def _query_status(self, listed: InstanceSummary) -> InstanceObservation:
        async with self._request_slots:
            status = await self._admin.status(listed.address, ADMIN_TIMEOUT_MS)
        return InstanceObservation(listed, status)

    async def upstreams(self) -> tuple[ReplicaObservation, ...] | Failure:
        """Query the state of every replica of the published partition maps."""
        objects = await self._store.list_kind(PARTITION_MAP_KIND, STORE_TIMEOUT_MS)
        if isinstance(objects, Failure):
            return objects
        maps = [self._read_map(item.value) for item in objects]
        return tuple(
            await asyncio.gather(
                *(
                    self._query_upstream_state(item.group, shard.shard_id, replica)
                    for item in maps
                    if not isinstance(item, Failure)
                    for shard in item.shards
                    for replica in shard.replicas
                )
            )
        )

    async def _query_upstream_state(
        self, group: str, shard_id: str, replica: Replica
    ) -> ReplicaObservation:
        async with self._request_slots:
            state = await self._admin.upstream_state(replica.address, ADMIN_TIMEOUT_MS)
        return ReplicaObservation(group, shard_id, replica, state)

    async def announce(
        self, instances: tuple[InstanceSummary, ...], stored_text: str
    ) -> int:
        """Send an accepted revision to instances; return how many accepted it.

        An instance of another environment rejects it, and an unresponsive one gets
        the revision from the store or a peer.
        """
        results = await asyncio.gather(
            *(self._announce(item, stored_text) for item in instances)
        )
        return sum(1 for result in results if not isinstance(result, Failure))

    async def _announce(self, listed: InstanceSummary, text: str) -> int | Failure:
        async with self._request_slots:
            return await self._admin.offer_configuration(
                listed.address, text, ADMIN_TIMEOUT_MS
            )

    async def wait_in_force(
        self,
        instances: tuple[InstanceSummary, ...],
        record: RevisionRecord,
        timeout_ms: float,
        on_progress: ProgressListener,
        interval_ms: float = 200.0,
    ) -> tuple[InstanceObservation, ...]:
        """Wait until every instance has a revision, or a later one, in force.

        Return the instances that do not have it at the timeout, which include
        unresponsive ones.
        """
        expires_at_ms = self._clock.now_ms() + timeout_ms
        while True:
            observations = await self.query_status(instances)
            observations = tuple(
                x for x in observations if _may_be_in_environment(x, record.environment)
            )
            behind = tuple(
                item for item in observations if not _has_revision(item, record)
            )
            on_progress(len(observations) - len(behind), len(observations))
            if not behind or self._clock.now_ms() >= expires_at_ms:
                return behind
            await self._clock.sleep_ms(interval_ms)

    async def gather_trial_evidence(
        self,
        record: RevisionRecord,
        instances: tuple[InstanceSummary, ...],
        fast_burn_classes: tuple[str, ...],
    ) -> TrialEvidence:
        """Return the evidence of an environment's instances about a revision."""
        observations = await self.query_status(instances)
        statuses = [item.status for item in observations]
        return TrialEvidence(
            record=record,
            gathered_wall_ms=self._clock.wall_ms(),
            instances=tuple(
                _instance_evidence(status)
                for status in statuses
                if isinstance(status, InstanceStatus)
                and status.environment == record.environment
            ),
            names_without_status=tuple(
                x.listed.name for x in observations if isinstance(x.status, Failure)
            ),
            fast_burn_classes=fast_burn_classes,
        )

    async def drain_instance(self, name: str) -> Failure | None:
        """Request a graceful shutdown of one instance."""
        instances = await self.list_entry_instances()
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
        """Request that no instance send new calls to an upstream replica."""
        instances = await self.list_entry_instances()
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
        instances = await self.list_entry_instances()
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
        """Lift a quarantine on every instance; return the result of each by name."""
        instances = await self.list_entry_instances()
        if isinstance(instances, Failure):
            return instances
        results = await asyncio.gather(
            *(
                self._admin.lift_quarantine(item.address, fingerprint, ADMIN_TIMEOUT_MS)
                for item in instances
            )
        )
        return {x.name: result for x, result in zip(instances, results, strict=True)}


def _may_be_in_environment(observation: InstanceObservation, environment: str) -> bool:
    status = observation.status
    return isinstance(status, Failure) or status.environment == environment


def _has_revision(observation: InstanceObservation, record: RevisionRecord) -> bool:
    status = observation.status
    return not isinstance(status, Failure) and status.revision >= record.revision


def _instance_evidence(status: InstanceStatus) -> InstanceEvidence:
    refused = [item for item in status.n_by_result if item[0] not in SUCCESS_NAMES]
    return InstanceEvidence(
        name=status.name,
        digest=status.digest,
        revision=status.revision,
        since_wall_ms=status.since_wall_ms,
        n_requests=sum(n for _, n in status.n_by_result),
        n_refused_by_code=tuple(refused),
    )
