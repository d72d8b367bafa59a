"""Guards against a wrong count of instances, by which fleet-wide limits are divided."""

import asyncio

import pytest

from chestnuthall.core.results import (
    INVALID_REQUEST,
    OBJECT_CONFLICT,
    STORE_UNAVAILABLE,
)
from chestnuthall.ports import StoredObject
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
        return tuple(
            StoredObject(kind, name, 5, value) for name, value in self.listed.items()
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
