"""Tests the quarantines after the store has come back from a copy.

Guards against a request that crashes replicas again because the store has lost its
record, and against one that is refused again though its quarantine was lifted.
"""

import asyncio
from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from chestnuthall.core.quarantine import (
    QuarantineRegistry,
    QuarantineSettings,
    turn_ms,
)
from chestnuthall.core.results import HISTORY_TRIMMED
from chestnuthall.core.versions import (
    era_of,
    is_of_earlier_era,
    make_version,
    revision_of,
)
from chestnuthall.services import QuarantineRecords
from chestnuthall.services.tests._harness import LoopTimeClock
from chestnuthall.services.tests.test_quarantine_over_time import Objects, StoreClient
from chestnuthall.services.tests.test_quarantine_records import lose_replica
from chestnuthall.standins.virtual_time import run_virtual

N_INSTANCES = 4
WATCH_TIMEOUT_MS = 2_500.0


class ReturningObjects(Objects):
    """Objects of a store that can come back from a copy."""

    def __init__(self):
        super().__init__()
        self.version = make_version(1, 1)

    def copy(self):
        return dict(self.by_name), revision_of(self.version)

    def return_from(self, copy):
        by_name, revision = copy
        era = era_of(self.version) + 1
        self.version = make_version(era, revision)
        self.changes = []
        self.by_name = {
            name: replace(item, version=make_version(era, revision_of(item.version)))
            for name, item in by_name.items()
        }
        self.changed.set()
        self.changed = asyncio.Event()


class ReturningClient(StoreClient):
    """The connection of one instance, which counts the writes."""

    def __init__(self, objects, n_writes):
        super().__init__(objects)
        self._n_writes = n_writes

    async def create(self, kind, name, value, timeout_ms):
        self._n_writes["create"] += 1
        return await super().update(kind, name, value, 0, timeout_ms)

    async def update(self, kind, name, value, version, timeout_ms):
        self._n_writes["update"] += 1
        return await super().update(kind, name, value, version, timeout_ms)

    async def delete(self, kind, name, version, timeout_ms):
        self._n_writes["delete"] += 1
        return await super().delete(kind, name, version, timeout_ms)

    async def watch(self, kind, after_version, timeout_ms):
        batch = await super().watch(kind, after_version, timeout_ms)
        if is_of_earlier_era(after_version, self._objects.version):
            return HISTORY_TRIMMED.with_reason("another era")
        return batch


class Instances:
    """Instances that share the quarantines of one store."""

    def __init__(self, delay_ms=0.0):
        self.objects = ReturningObjects()
        self.n_writes = Counter()
        self.registries = []
        self.records = []
        self.tasks = []
        names = [f"entry-{number}" for number in range(N_INSTANCES)]
        for name in names:
            registry = QuarantineRegistry(QuarantineSettings(quarantine_ms=2_000.0))
            records = QuarantineRecords(
                registry,
                ReturningClient(self.objects, self.n_writes),
                LoopTimeClock(),
                Random(1),
                # Records are stored without encoding.
                lambda stored: stored.value,
                lambda record: record,
                WATCH_TIMEOUT_MS,
                turn_ms=lambda fingerprint, name=name: (
                    delay_ms + turn_ms(name, names, fingerprint)
                ),
            )
            self.registries.append(registry)
            self.records.append(records)
            self.tasks.append(asyncio.ensure_future(records.run()))

    def suspect(self):
        lose_replica(self.registries[0], 0)

    def quarantine(self):
        self.suspect()
        lose_replica(self.registries[0], 1)

    def lift(self):
        self.objects.change("f", None)

    def are_quarantined(self):
        now_ms = LoopTimeClock().now_ms()
        return [item.is_quarantined("f", now_ms) for item in self.registries]


async def do_nothing(instances):
    """Let nothing happen between the copy and the return."""


async def quarantine(instances):
    instances.quarantine()


async def lift(instances):
    instances.lift()


async def retest(instances):
    assert await instances.records[1].claim("f")


async def quarantine_and_lift(instances):
    instances.quarantine()
    await asyncio.sleep(0.5)
    instances.lift()


# (case, before the copy, between the copy and the return, whether the request is
# quarantined at all instances afterwards, writes after the return)
RETURNS = [
    ("quarantined before", quarantine, do_nothing, True, {}),
    ("quarantined since", do_nothing, quarantine, True, {"create": 1}),
    ("lifted since", quarantine, lift, False, {"delete": 1}),
    ("quarantined and lifted since", do_nothing, quarantine_and_lift, False, {}),
    ("retested since", quarantine, retest, True, {"update": 1}),
]


@pytest.mark.parametrize("n_returns", [1, 2])
@pytest.mark.parametrize(
    ("before", "since", "is_quarantined", "writes"),
    [case[1:] for case in RETURNS],
    ids=[case[0] for case in RETURNS],
)
def test_return_of_the_store_reverts_no_quarantine(
    before, since, is_quarantined, writes, n_returns
):
    """What the fleet knows holds, and one instance brings the store up to date."""

    async def scenario():
        instances = Instances()
        await asyncio.sleep(1.0)
        await before(instances)
        await asyncio.sleep(3.0)
        copy = instances.objects.copy()
        await since(instances)
        await asyncio.sleep(1.0)
        states = []
        for _ in range(n_returns):
            instances.n_writes.clear()
            instances.objects.return_from(copy)
            for _ in range(40):
                await asyncio.sleep(0.1)
                states += instances.are_quarantined()
        stored = instances.objects.by_name.get("f")
        return states, instances.n_writes, stored

    states, n_writes, stored = run_virtual(scenario())
    assert set(states) == {is_quarantined}
    assert n_writes == writes
    assert (stored is not None) == is_quarantined
    if since is retest:
        assert stored.value.n_retests == 1


def test_record_that_was_lost_is_not_taken_for_free():
    """Each instance would probe a suspected request, and crash a replica."""

    async def scenario():
        instances = Instances(delay_ms=2_000.0)
        await asyncio.sleep(1.0)
        copy = instances.objects.copy()
        instances.suspect()
        await asyncio.sleep(1.0)
        instances.objects.return_from(copy)
        claims = []
        for _ in range(15):
            for records in instances.records:
                claims.append(await records.claim_probe("f"))
            await asyncio.sleep(0.1)
        return claims

    assert not any(run_virtual(scenario()))


def test_new_loss_after_a_lift_counts_although_the_record_is_back():
    """A record that another instance has written since is no restored one."""

    async def scenario():
        instances = Instances()
        await asyncio.sleep(1.0)
        instances.quarantine()
        await asyncio.sleep(1.0)
        copy = instances.objects.copy()
        instances.lift()
        await asyncio.sleep(1.0)
        instances.objects.return_from(copy)
        await asyncio.sleep(4.0)
        for number in (7, 8):
            lose_replica(instances.registries[2], number)
        await asyncio.sleep(1.0)
        return instances.are_quarantined()

    assert all(run_virtual(scenario()))
