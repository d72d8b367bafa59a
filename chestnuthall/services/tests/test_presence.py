"""Guards against a wrong count of instances, by which fleet-wide limits are divided."""

import asyncio

import pytest

from chestnuthall.core.results import (
    INVALID_REQUEST,
    OBJECT_CONFLICT,
    STORE_UNAVAILABLE,
)
from chestnuthall.core.versions import make_version
from chestnuthall.ports import ObjectListing, StoredObject
from chestnuthall.services import InstanceEntry, InstancePresence
from chestnuthall.services.tests._harness import LoopTimeClock
from chestnuthall.standins.virtual_time import run_virtual

OWN = InstanceEntry("own", "10.0.0.1:1", "a")


class Store:
    def __init__(self, create_results, listed):
        self.create_results = list(create_results)
        self.listed = listed
        self.updated = []

    async def create(self, kind, name, value, timeout_ms):
        result = self.create_results.pop(0)
        return StoredObject(kind, name, 1, value) if result is None else result

    async def list_kind(self, kind, timeout_ms):
        return ObjectListing(
            tuple(
                StoredObject(kind, name, 5, value)
                for name, value in self.listed.items()
            )
        )

    async def update(self, kind, name, value, version, timeout_ms):
        self.updated.append((name, value, version))
        return StoredObject(kind, name, version + 1, value)


def read(stored):
    if "," not in stored.value:
        return INVALID_REQUEST.with_reason("no entry")
    address, zone = stored.value.split(",")
    return InstanceEntry(stored.name, address, zone)


def write(entry):
    return f"{entry.address},{entry.zone}"


def run_presence(store, wait_s):
    counted = []

    async def scenario():
        presence = InstancePresence(
            OWN, store, LoopTimeClock(), counted.append, read, write
        )
        task = asyncio.get_running_loop().create_task(presence.run())
        await asyncio.sleep(wait_s)
        task.cancel()
        return presence

    return run_virtual(scenario()), counted


CONFLICT = OBJECT_CONFLICT.with_reason("exists")
UNAVAILABLE = STORE_UNAVAILABLE.with_reason("unavailable")
OTHERS = {"near": "10.0.0.2:1,a", "far": "10.0.0.3:1,b"}

# (case, results of creating the entry, stored entries, seconds, reported counts)
STARTS = [
    ("first start waits for the other entries", [None], OTHERS, 1.0, []),
    ("first start", [None], OTHERS, 3.5, [3]),
    ("restart counts at once", [CONFLICT], OTHERS, 0.1, [3]),
    ("store unavailable at first", [UNAVAILABLE, CONFLICT], OTHERS, 1.5, [3]),
    ("unreadable entry counts", [CONFLICT], {**OTHERS, "odd": "?"}, 0.1, [4]),
]


@pytest.mark.parametrize(
    ("create_results", "entries", "wait_s", "counts"),
    [case[1:] for case in STARTS],
    ids=[case[0] for case in STARTS],
)
def test_count(create_results, entries, wait_s, counts):
    """A count that is too low lets the fleet repeat more calls than allowed."""
    presence, counted = run_presence(Store(create_results, entries), wait_s)
    assert counted == counts
    if counts:
        assert [item.name for item in presence.peers] == ["near", "far"]
        assert [item.name for item in presence.same_zone_peers] == ["near"]
        assert presence.n_instances_in_zone() == 2


# (case, own entry in the store, whether it is updated)
OWN_ENTRIES = [
    ("unchanged", "10.0.0.1:1,a", False),
    ("other address", "10.0.0.9:1,a", True),
    ("unreadable", "?", True),
]


@pytest.mark.parametrize(
    ("value", "is_updated"),
    [case[1:] for case in OWN_ENTRIES],
    ids=[case[0] for case in OWN_ENTRIES],
)
def test_entry_of_an_earlier_start_is_corrected(value, is_updated):
    """With a stale entry, peers call an address that no instance listens on."""
    store = Store([CONFLICT], {"own": value, **OTHERS})
    run_presence(store, 0.1)
    assert bool(store.updated) == is_updated


class ReturningStore:
    """A store that loses entries when it returns from a copy."""

    def __init__(self, entries):
        self.era = 1
        self.entries = dict(entries)

    async def create(self, kind, name, value, timeout_ms):
        if name in self.entries:
            return CONFLICT
        self.entries[name] = value
        return StoredObject(kind, name, make_version(self.era, 7), value)

    async def list_kind(self, kind, timeout_ms):
        version = make_version(self.era, 7)
        items = self.entries.items()
        return ObjectListing(
            tuple(StoredObject(kind, name, version, value) for name, value in items),
            version,
        )

    def return_without(self, names):
        self.era += 1
        for name in names:
            del self.entries[name]


# (case, entries that the copy lacks, seconds after the return, count)
RETURNS = [
    ("none lost", [], 15.0, 3),
    ("own entry lost", ["own"], 15.0, 3),
    ("another entry lost", ["far"], 15.0, 3),
    ("another entry lost for good", ["far"], 50.0, 2),
    ("all lost", ["own", "near", "far"], 15.0, 3),
]


@pytest.mark.parametrize(
    ("lost", "wait_s", "count"),
    [case[1:] for case in RETURNS],
    ids=[case[0] for case in RETURNS],
)
def test_entries_that_the_store_has_lost_count_until_written_again(lost, wait_s, count):
    """The fleet would repeat more calls than allowed, divided by too few instances."""
    counted = []

    async def scenario():
        store = ReturningStore(OTHERS)
        presence = InstancePresence(
            OWN, store, LoopTimeClock(), counted.append, read, write
        )
        task = asyncio.get_running_loop().create_task(presence.run())
        await asyncio.sleep(5.0)
        store.return_without(lost)
        await asyncio.sleep(wait_s)
        task.cancel()
        return store.entries

    entries = run_virtual(scenario())
    assert entries["own"] == write(OWN)
    assert counted[-1] == count
    assert set(counted) <= {3, count}
