"""Guards the rate of status writes, and that a lost race heals."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from chestnuthall.adapters.documents import encode_status
from chestnuthall.core.membership import FleetCounts
from chestnuthall.core.results import (
    OBJECT_CONFLICT,
    OBJECT_NOT_FOUND,
    STORE_WRITE_UNKNOWN,
)
from chestnuthall.ports import StoredObject
from chestnuthall.services import Identity, StatusReporter


class OneObjectStore:
    """Holds one object; each write may meet a planned failure."""

    def __init__(self, failures):
        self.held = None
        self.failures = list(failures)
        self.n_writes = 0

    async def get(self, kind, name, timeout_ms):
        return self.held or OBJECT_NOT_FOUND.with_reason("none")

    async def create(self, kind, name, value, timeout_ms):
        return await self.update(kind, name, value, 0, timeout_ms)

    async def update(self, kind, name, value, version, timeout_ms):
        self.n_writes += 1
        if self.failures:
            failure = self.failures.pop(0)
            if failure is not None:
                # Another writer's change, or the own one without its answer.
                self.held = StoredObject(kind, name, self.held.version + 1, value)
                return failure
        if version != (self.held.version if self.held else 0):
            return OBJECT_CONFLICT.with_reason("changed")
        self.held = StoredObject(kind, name, version + 1, value)
        return self.held


def _reporter(store, n_instances=9):
    membership = SimpleNamespace(
        identity=Identity("entry-1", "a:1", "z"),
        incarnation=1,
        counts=FleetCounts(n_live=n_instances),
    )
    return StatusReporter(membership, store, None, encode_status, Random(1))


@pytest.mark.parametrize(
    ("n_instances", "interval_ms"), [(1, 5_000), (9, 5_000), (1_900, 63_333)]
)
def test_fleet_stays_within_its_writes(n_instances, interval_ms):
    """All instances together must leave the store's writes to the claims."""
    reporter = _reporter(None, n_instances)
    assert reporter.interval_ms() == pytest.approx(interval_ms, abs=1)


@pytest.mark.parametrize(
    "failure",
    [
        None,
        OBJECT_CONFLICT.with_reason("another writer"),
        STORE_WRITE_UNKNOWN.with_reason("answer lost"),
    ],
)
def test_next_write_heals_a_failure(failure):
    """A version that is no longer known must be read again, not guessed."""

    async def scenario():
        store = OneObjectStore([None, failure])
        reporter = _reporter(store)
        for _ in range(3):
            await reporter.write()
        return store.held.version

    assert asyncio.run(scenario()) == 3
