"""Tests of status writes to the store.

Too frequent writes would use up the store's write rate; a conflict or a lost answer
must not make every later write fail on an outdated version.
"""

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
from chestnuthall.services import InstanceIdentity, StatusReporter


class OneObjectStore:
    """Fake store with one object; writes return the given failures in order."""

    def __init__(self, failures):
        self.stored = None
        self.failures = list(failures)
        self.n_writes = 0

    async def get(self, kind, name, timeout_ms):
        return self.stored or OBJECT_NOT_FOUND.with_reason("none")

    async def create(self, kind, name, value, timeout_ms):
        return await self.update(kind, name, value, 0, timeout_ms)

    async def update(self, kind, name, value, version, timeout_ms):
        self.n_writes += 1
        if self.failures:
            failure = self.failures.pop(0)
            if failure is not None:
                # Either another writer's change, or this write with its answer lost.
                self.stored = StoredObject(kind, name, self.stored.version + 1, value)
                return failure
        if version != (self.stored.version if self.stored else 0):
            return OBJECT_CONFLICT.with_reason("changed")
        self.stored = StoredObject(kind, name, version + 1, value)
        return self.stored


def _reporter(store, n_instances=9):
    membership = SimpleNamespace(
        identity=InstanceIdentity("entry-1", "a:1", "z"),
        incarnation=1,
        counts=FleetCounts(n_live=n_instances),
    )
    return StatusReporter(membership, store, None, encode_status, Random(1))


@pytest.mark.parametrize(
    ("n_instances", "interval_ms"), [(1, 5_000), (9, 5_000), (1_900, 63_333)]
)
def test_status_writes_leave_capacity_for_claims(n_instances, interval_ms):
    """Status writes of the whole fleet must leave the store's write rate to claims."""
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
def test_next_write_recovers_from_a_failure(failure):
    """After a failed write the version must be read again, not assumed."""

    async def scenario():
        store = OneObjectStore([None, failure])
        reporter = _reporter(store)
        for _ in range(3):
            await reporter.write()
        return store.stored.version

    assert asyncio.run(scenario()) == 3
