"""Tests that a defect while something from outside is applied stays local.

Guards against requests that are never answered, and against processes that stop
following the store, because an exception ended the work without a trace.
"""

import asyncio

import pytest

from chestnuthall.core.model import Answer
from chestnuthall.ports import ObjectListing, StoredObject, WatchBatch
from chestnuthall.services import keep_running
from chestnuthall.services._kind_follower import KindFollower
from chestnuthall.services.tests._harness import DEADLINE_MS, QueryHarness
from chestnuthall.standins.virtual_time import run_virtual

WATCH_TIMEOUT_MS = 1_000.0


class DefectiveCaller:
    """Calls replicas, and raises for the call with this number."""

    def __init__(self, upstreams, n_defective):
        self._upstreams = upstreams
        self._n_defective = n_defective
        self._n_started = 0

    def start_call(self, call, on_result):
        self._n_started += 1
        if self._n_started == self._n_defective:
            raise RuntimeError("test")
        return None

    async def call(self, call):
        return await self._upstreams.call(call)

    def set_connection_budget(self, *args):
        pass


@pytest.mark.parametrize("n_defective", [1, 2, 4], ids=["first", "second", "hedge"])
def test_request_ends_if_one_of_its_calls_raises(n_defective):
    """An exception in a timer left the request without a deadline."""

    async def scenario():
        harness = QueryHarness(1)
        harness.upstreams.slow_ms["s0"] = 10_000.0
        harness.query._caller = DefectiveCaller(harness.upstreams, n_defective)
        harness.query._budgets["c"].record_calls(range(1_000), 0.0, 0.0)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        with pytest.raises(RuntimeError, match="test"):
            await harness.query.serve(harness.request("search"))
        return loop.time() - started_s

    assert run_virtual(scenario()) < DEADLINE_MS / 1000.0


class Listing:
    """Store with one object that no listener can apply, listed or changed."""

    def __init__(self):
        self.n_listed = 0

    async def list_kind(self, kind, timeout_ms):
        await asyncio.sleep(0.004)
        self.n_listed += 1
        return ObjectListing((StoredObject(kind, "a", 1, ""),), 1)

    async def watch(self, kind, after_version, timeout_ms):
        await asyncio.sleep(0.1)
        names = ("odd", f"b{after_version}")
        changed = tuple(
            StoredObject(kind, name, after_version + 1, "") for name in names
        )
        return WatchBatch(after_version + 1, changed, ("odd",))


class Listener:
    """Listener that raises for the first listing and for objects named odd."""

    def __init__(self):
        self.names = []
        self.n_listed = 0

    def on_listed(self, listing):
        self.n_listed += 1
        if self.n_listed == 1:
            raise ValueError("test")
        return True

    def on_changed(self, stored):
        self.on_deleted(stored.name)
        self.names.append(stored.name)

    def on_deleted(self, name):
        if name == "odd":
            raise ValueError("test")

    def on_list_failed(self, failure):
        raise AssertionError(failure)

    on_watch_failed = on_list_failed


def test_objects_are_followed_although_one_cannot_be_applied():
    """One odd object must not keep an instance from following the others."""

    async def scenario():
        harness, listener = QueryHarness(1), Listener()
        follower = KindFollower(
            "k", Listing(), harness.clock, listener, WATCH_TIMEOUT_MS
        )
        task = asyncio.get_running_loop().create_task(follower.run())
        await asyncio.sleep(10.0)
        task.cancel()
        return listener

    listener = run_virtual(scenario())
    assert listener.n_listed == 2
    assert listener.names[:3] == ["b1", "b2", "b3"]


def test_background_task_is_started_again_after_a_defect():
    """An instance must not stop following the store for good."""
    n_started = 0

    async def run():
        nonlocal n_started
        n_started += 1
        await asyncio.sleep(5.0)
        raise ValueError("test")

    async def scenario():
        clock = QueryHarness(1).clock
        task = asyncio.get_running_loop().create_task(keep_running("t", run, clock))
        await asyncio.sleep(20.0)
        task.cancel()

    run_virtual(scenario())
    assert n_started == 4


def test_harness_serves():
    """The harness of these tests answers without a defect."""

    async def scenario():
        harness = QueryHarness(1)
        return await harness.query.serve(harness.request("search"))

    assert isinstance(run_virtual(scenario()), Answer)
