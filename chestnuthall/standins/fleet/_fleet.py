"""Local fleet of object API, upstream replicas and entry instances as processes."""

import asyncio
import json
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from chestnuthall.adapters.documents import (
    ConfigurationModel,
    InstanceModel,
    document_digest,
    encode_configuration,
    encode_instance,
    encode_partition_map,
)
from chestnuthall.core.model import KeyRange, PartitionMap, Replica, Shard
from chestnuthall.standins.fleet._client import JsonClient
from chestnuthall.standins.fleet._process import ManagedProcess, free_port

HOST = "127.0.0.1"
ALPHABET = "abcdefghijklmnopqrstuvwxyz"


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupPlan:
    """One upstream group of a local fleet."""

    name: str
    n_shards: int
    n_replicas: int
    n_slots: int = 3
    n_connections_max: int = 64
    connect_cost_ms: float = 0.0
    service_ms: float = 5.0
    n_keys_per_shard: int = 50


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetPlan:
    """Composition of a local fleet."""

    groups: tuple[GroupPlan, ...]
    document_text: str
    zones: tuple[str, ...] = ("zone-a", "zone-b")
    n_instances: int = 3
    environment: str = "trial"
    leave_notice_ms: float = 300.0
    two_level_fan_out: bool = False


@dataclass(slots=True)
class RunningReplica:
    """One upstream process and the shard that it serves."""

    replica: Replica
    group: str
    shard_id: str
    process: ManagedProcess


@dataclass(slots=True)
class RunningInstance:
    """One entry instance process."""

    name: str
    address: str
    settings_path: Path
    process: ManagedProcess
    client: JsonClient = field(init=False)

    def __post_init__(self) -> None:
        self.client = JsonClient(self.address)


def shard_keys(plan: GroupPlan, index: int) -> tuple[str, ...]:
    """Return the keys of one shard; the first letter decides the shard."""
    first, last = _letters_of_shard(plan.n_shards, index)
    letters = ALPHABET[first:last]
    return tuple(
        f"{letters[i % len(letters)]}{i:05d}" for i in range(plan.n_keys_per_shard)
    )


def _letters_of_shard(n_shards: int, index: int) -> tuple[int, int]:
    n_letters = len(ALPHABET)
    return index * n_letters // n_shards, (index + 1) * n_letters // n_shards


def _key_range(n_shards: int, index: int) -> KeyRange:
    first, last = _letters_of_shard(n_shards, index)
    start = "" if index == 0 else ALPHABET[first]
    end = "" if index == n_shards - 1 else ALPHABET[last]
    return KeyRange(start, end)


class LocalFleet:
    """Starts, changes and stops the processes of a fleet.

    Use it as an asynchronous context manager, which stops every process on exit.
    """

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.replicas: list[RunningReplica] = []
        self.instances: list[RunningInstance] = []
        self.partition_maps: dict[str, PartitionMap] = {}
        self._directory = tempfile.TemporaryDirectory(prefix="chestnuthall-")
        self.path = Path(self._directory.name)

    async def __aenter__(self) -> "LocalFleet":
        """Start everything and wait until each instance is ready."""
        try:
            await self._start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        """End every process that was started."""
        await self.stop()

    async def _start(self) -> None:
        await self._start_store()
        for group in self.plan.groups:
            await self._start_group(group)
        await self.put_document(self.plan.document_text, revision=1)
        for index in range(self.plan.n_instances):
            self.instances.append(await self.start_instance(index))
        await asyncio.gather(
            *(item.client.wait_for_status("/v1/health", 200) for item in self.instances)
        )

    async def _start_store(self) -> None:
        port = free_port()
        self.store_address = f"{HOST}:{port}"
        self.store = JsonClient(self.store_address)
        self.store_process = await self._launch(
            "object-api", "chestnuthall.standins.objectapi", ["--port", str(port)]
        )
        await self.store.wait_for_status("/calls", 200)

    async def _launch(
        self, name: str, module: str, arguments: list[str]
    ) -> ManagedProcess:
        return await ManagedProcess.start(
            name, module, arguments, self.path / f"{name}.log"
        )

    async def _start_group(self, plan: GroupPlan) -> None:
        shards = []
        for index in range(plan.n_shards):
            replicas = await asyncio.gather(
                *(self._start_replica(plan, index, n) for n in range(plan.n_replicas))
            )
            shards.append(
                Shard(
                    shard_id=f"s{index:02d}",
                    key_range=_key_range(plan.n_shards, index),
                    n_documents=plan.n_keys_per_shard,
                    replicas=tuple(item.replica for item in replicas),
                )
            )
            self.replicas.extend(replicas)
        await self.publish_snapshot(PartitionMap(plan.name, 1, tuple(shards)))

    async def _start_replica(
        self, plan: GroupPlan, shard_index: int, replica_index: int
    ) -> RunningReplica:
        zone = self.plan.zones[replica_index % len(self.plan.zones)]
        name = f"{plan.name}-{shard_index:02d}-{replica_index}"
        port = free_port()
        arguments = ["--name", name, "--zone", zone, "--port", str(port)]
        arguments += ["--n-slots", str(plan.n_slots)]
        arguments += ["--service-ms", str(plan.service_ms)]
        arguments += ["--n-connections-max", str(plan.n_connections_max)]
        arguments += ["--connect-cost-ms", str(plan.connect_cost_ms)]
        process = await self._launch(name, "chestnuthall.standins.upstream", arguments)
        address = f"{HOST}:{port}"
        await JsonClient(address).wait_for_status("/v1/health", 200)
        replica = Replica(name, address, zone)
        return RunningReplica(replica, plan.name, f"s{shard_index:02d}", process)

    async def publish_snapshot(
        self, partition_map: PartitionMap, retained_ids: tuple[int, ...] = ()
    ) -> None:
        """Load a snapshot into all replicas, then publish its map.

        ``retained_ids`` are the older snapshots that the replicas keep serving.
        """
        text = encode_partition_map(partition_map)
        await asyncio.gather(
            *(
                self._load_snapshots(
                    item, partition_map.snapshot_id, retained_ids, text
                )
                for item in self.replicas
                if item.group == partition_map.group and item.process.is_running
            )
        )
        self.partition_maps[partition_map.group] = partition_map
        target = f"/v1/objects/partition-maps/{partition_map.group}"
        await self.store.send("PUT", target, json.loads(text))

    async def _load_snapshots(
        self,
        item: RunningReplica,
        newest_id: int,
        retained_ids: tuple[int, ...],
        text: str,
    ) -> None:
        plan = next(plan for plan in self.plan.groups if plan.name == item.group)
        keys = shard_keys(plan, int(item.shard_id[1:]))
        snapshots = [
            {
                "group": item.group,
                "snapshot_id": snapshot_id,
                "shard_id": item.shard_id,
                "keys": keys,
            }
            for snapshot_id in (*retained_ids, newest_id)
        ]
        body = {"snapshots": snapshots, "partition_map": text}
        client = JsonClient(item.replica.address)
        await client.send("PUT", "/snapshots", body)
        client.close()

    async def put_document(self, text: str, revision: int) -> None:
        """Write a document to the store directly, without the operators' tool."""
        model = ConfigurationModel(
            environment=self.plan.environment,
            revision=revision,
            digest=document_digest(text),
            text=text,
        )
        target = f"/v1/objects/environments/{self.plan.environment}"
        await self.store.send("PUT", target, json.loads(encode_configuration(model)))

    async def start_instance(
        self, index: int, environment: str | None = None
    ) -> RunningInstance:
        """Start one entry instance and add it to the platform's list of instances.

        The instance follows the environment of the plan unless another is given.
        """
        name = f"entry-{index}"
        zone = self.plan.zones[index % len(self.plan.zones)]
        caller_address = f"{HOST}:{free_port()}"
        peer_address = f"{HOST}:{free_port()}"
        settings = {
            "name": name,
            "environment": environment or self.plan.environment,
            "zone": zone,
            "caller_address": caller_address,
            "peer_address": peer_address,
            "store_address": self.store_address,
            "leave_notice_ms": self.plan.leave_notice_ms,
            "two_level_fan_out": self.plan.two_level_fan_out,
        }
        path = self.path / f"{name}.json"
        path.write_text(json.dumps(settings))
        listed = InstanceModel(
            name=name,
            role="entry",
            zone=zone,
            address=caller_address,
            peer_address=peer_address,
        )
        target = f"/v1/objects/instances/{name}"
        await self.store.send("PUT", target, json.loads(encode_instance(listed)))
        process = await self._launch(name, "chestnuthall.daemon", [str(path)])
        return RunningInstance(name, caller_address, path, process)

    async def stop(self) -> None:
        """End every process that was started."""
        running = [item.process for item in self.instances]
        running += [item.process for item in self.replicas]
        if hasattr(self, "store_process"):
            running.append(self.store_process)
        await asyncio.gather(*(process.stop() for process in running))
        self._directory.cleanup()
