"""Fleet of entry instances without callers, in virtual time, for fault tests."""

import asyncio
from dataclasses import dataclass, field
from random import Random

from chestnuthall.adapters.clock import LoopClock
from chestnuthall.adapters.documents import (
    InstanceModel,
    encode_instance,
    read_configuration,
    read_instance,
)
from chestnuthall.core.results import STORE_UNAVAILABLE
from chestnuthall.ports import StoredObject, WatchBatch
from chestnuthall.services import (
    ConfigurationManager,
    InstanceIdentity,
    InstanceList,
    Membership,
)
from chestnuthall.standins.objectapi import ObjectTable
from chestnuthall.standins.peers import Host, HostClock, PeerNetwork

INSTANCE_KIND = "instances"


class MemoryStore:
    """Store port over an object table; serves only the instance list."""

    def __init__(self, fleet, host):
        self._fleet = fleet
        self._table = fleet.table
        self._host = host

    async def list_kind(self, kind, timeout_ms):
        if self._fleet.is_store_unavailable:
            return STORE_UNAVAILABLE.with_reason("unavailable")
        return tuple(_stored(entry) for entry in self._table.list_kind(kind))

    async def watch(self, kind, after_version, timeout_ms):
        changes = await self._table.wait_for_changes(
            kind, after_version, timeout_ms / 1000.0
        )
        await self._host.wait_running()
        if self._fleet.is_store_unavailable:
            return STORE_UNAVAILABLE.with_reason("unavailable")
        return WatchBatch(
            max((change.version for change in changes), default=after_version),
            tuple(_stored(change.entry) for change in changes if change.entry),
            tuple(change.name for change in changes if change.entry is None),
        )


def _stored(entry):
    return StoredObject(entry.kind, entry.name, entry.version, entry.value)


def read_entry(text):
    return read_instance(text).to_core()


@dataclass
class VirtualInstance:
    """One instance process: its host, membership, services and background tasks."""

    name: str
    address: str
    host: Host
    membership: Membership
    tasks: list[asyncio.Task] = field(default_factory=list)
    services: dict[str, object] = field(default_factory=dict)

    @property
    def live_names(self):
        return {
            update.name
            for update in self.membership.members()
            if update.state in ("alive", "suspect") and update.incarnation > 0
        }

    def kill(self):
        for task in self.tasks:
            task.cancel()


class VirtualFleet:
    """Instances on an in-memory peer network and instance list.

    ``add_services(instance, clock, listed)`` is called for each instance that
    starts and can add further services to it.
    """

    def __init__(self, n_instances, seed=1, add_services=None, settings=None):
        self.random = Random(seed)
        self.network = PeerNetwork(Random(seed + 1))
        self.table = ObjectTable()
        self.is_store_unavailable = False
        self.instances = {}
        self._add_services = add_services
        self._settings = settings
        for index in range(n_instances):
            self.start(f"entry-{index}")

    def add_to_instance_list(self, name, address, state="live"):
        model = InstanceModel(
            name=name,
            role="entry",
            zone="zone-a",
            address=address,
            peer_address=address,
            state=state,
        )
        self.table.put(INSTANCE_KIND, name, encode_instance(model), None)

    def remove_from_instance_list(self, name):
        self.table.delete(INSTANCE_KIND, name, None)

    def start(self, name, address=None, *, is_listed=True, wall_offset_ms=1e12):
        address = address or f"10.0.0.{name.rpartition('-')[2]}:1"
        host = Host()
        clock = HostClock(LoopClock(wall_offset_ms, wall_from_loop=True), host)
        store = MemoryStore(self, host)
        listed = InstanceList(store, clock, read_entry)
        transport = self.network.transport(address, host)
        membership = Membership(
            InstanceIdentity(name, address, "zone-a"),
            transport,
            clock,
            ConfigurationManager("trial", store, clock, read_configuration),
            listed,
            Random(self.random.random()),
            settings=self._settings,
        )
        instance = VirtualInstance(name, address, host, membership)
        if self._add_services is not None:
            self._add_services(instance, clock, listed)
        self.network.listen(address, membership, host)
        if is_listed:
            self.add_to_instance_list(name, address)
        loop = asyncio.get_running_loop()
        instance.tasks = [
            loop.create_task(listed.run()),
            loop.create_task(membership.run()),
        ]
        self.instances[name] = instance
        return instance

    def kill(self, name, *, is_listed=True):
        instance = self.instances.pop(name)
        self.network.stop_listening(instance.address)
        instance.kill()
        if not is_listed:
            self.remove_from_instance_list(name)
        return instance

    def addresses(self, names):
        return [self.instances[name].address for name in names]

    async def wait(self, condition, timeout_s=60.0):
        """Wait for a condition and return the virtual seconds it took; else fail."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while not condition():
            if loop.time() - started_s > timeout_s:
                raise AssertionError(f"condition does not hold after {timeout_s} s")
            await asyncio.sleep(0.05)
        return loop.time() - started_s

    def have_equal_views(self, names, observers=None):
        """Return whether each observer regards exactly these instances as live."""
        expected = set(names)
        return all(
            instance.live_names == expected - {name}
            for name, instance in self.instances.items()
            if observers is None or name in observers
        )

    def n_joining(self):
        counts = (item.membership.counts for item in self.instances.values())
        return sum(item.n_joining for item in counts)

    async def wait_until_converged(self):
        await self.wait(lambda: self.have_equal_views(self.instances))
