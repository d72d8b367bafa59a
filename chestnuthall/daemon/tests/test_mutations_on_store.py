"""Tests of mutations from claim to dispatch under faults of the store.

A mutation that a caller resends must run at most once, and a refusal before
dispatch must not leave its key claimed. Two real query services share the in-memory
store; a fake upstream records the mutations that it runs.
"""

import asyncio
from random import Random

import pytest

from chestnuthall.adapters.documents import read_partition_map
from chestnuthall.adapters.metrics import NullMetrics
from chestnuthall.core.claims import LedgerSettings
from chestnuthall.core.model import (
    Answer,
    KeyRange,
    PartitionMap,
    Replica,
    SearchRequest,
    Shard,
    ShardAnswer,
)
from chestnuthall.core.quarantine import QuarantineRegistry, QuarantineSettings
from chestnuthall.core.results import NO_REPLICA, RetryAdvice, RunState
from chestnuthall.daemon.tests.shared_store_fleet import (
    SharedStoreFleet,
    configuration_text,
    mutation,
)
from chestnuthall.daemon.tests.test_claims_on_store import FAULTS
from chestnuthall.services import Admissions, Directory, InstanceIdentity, QueryService
from chestnuthall.standins.objectapi import StoreFaults
from chestnuthall.standins.virtual_time import run_virtual

SHARD = Shard("s0", KeyRange("", ""), 10, (Replica("r0", "127.0.0.1:1", "a"),))


class RecordingCaller:
    """Fake upstream that records mutations; they take 10 ms, searches 500 ms."""

    def __init__(self):
        self.run_names = []
        self.is_reachable = True

    async def call(self, call):
        if not self.is_reachable:
            return NO_REPLICA.with_reason("refused")
        if isinstance(call.request, SearchRequest):
            await asyncio.sleep(0.5)
        else:
            self.run_names.append(
                (call.request.idempotency_key, call.request.request_id)
            )
            await asyncio.sleep(0.01)
        return ShardAnswer(call.call_id, call.shard_id, call.snapshot_id, (), 10)

    async def fetch_partition_map(self, replica, timeout_ms):
        return NO_REPLICA.with_reason("no map")

    def set_connection_budget(
        self, group, n_connections, connected_ratio=1.0, n_connections_in_zone=None
    ):
        pass


class MutationFleet(SharedStoreFleet):
    def __init__(self):
        super().__init__(ledger_settings=LedgerSettings(n_partitions=1))
        self.caller = RecordingCaller()
        self.queries = [self.new_query(index) for index in range(2)]

    def new_query(self, index):
        directory = Directory(
            self.stores[index],
            self.caller,
            self.clock,
            read_partition_map,
            "a",
            Random(1),
        )
        query = QueryService(
            identity=InstanceIdentity(f"entry-{index}", "", "a"),
            clock=self.clock,
            metrics=NullMetrics(),
            caller=self.caller,
            directory=directory,
            configuration=self.managers[index],
            admissions=Admissions(self.clock),
            ledger=self.ledgers[index],
            quarantine=QuarantineRegistry(QuarantineSettings()),
        )
        self.managers[index].offer_text(configuration_text(1), "test")
        directory.add_map(PartitionMap("desk", 1, (SHARD,)))
        return query

    def send(self, index, name, deadline_ms=1_000.0, key="hold-1"):
        now_ms = self.clock.now_ms()
        request = mutation(key, 3_600_000.0, now_ms + deadline_ms, name, now_ms)
        return self.queries[index].serve(request)

    def fill_slots(self, index):
        """Occupy all slots of the group for 500 ms."""
        now_ms = self.clock.now_ms()
        for n in range(3):
            request = SearchRequest(
                request_id=f"search-{n}",
                class_name="planner",
                group="desk",
                arrived_ms=now_ms,
                deadline_ms=now_ms + 1_000.0,
                fingerprint=f"search-{n}",
                query="",
                n_hits_max=1,
            )
            work = self.queries[index].serve(request)
            self.background = asyncio.get_running_loop().create_task(work)


async def time_out_in_queue(fleet):
    fleet.fill_slots(0)
    await asyncio.sleep(0.01)
    return await fleet.send(0, "first", deadline_ms=200.0)


async def cancel_in_queue(fleet):
    fleet.fill_slots(0)
    await asyncio.sleep(0.01)
    task = asyncio.get_running_loop().create_task(fleet.send(0, "first"))
    await asyncio.sleep(0.1)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@pytest.mark.parametrize("provoke_refusal", [time_out_in_queue, cancel_in_queue])
def test_key_is_free_after_refusal(provoke_refusal):
    """A request refused before dispatch must release its key and never run."""

    async def scenario():
        fleet = MutationFleet()
        outcome = await provoke_refusal(fleet)
        if outcome is not None:
            assert (outcome.run_state, outcome.repeat) == (
                RunState.NO,
                RetryAdvice.NEW_KEY,
            )
        await asyncio.sleep(0.1)
        again = await fleet.send(1, "again")
        await asyncio.sleep(2.0)
        return again, fleet.caller.run_names

    again, run_names = run_virtual(scenario())
    assert isinstance(again, Answer)
    assert run_names == [("hold-1", "again")]


@pytest.mark.parametrize("faults", FAULTS.values(), ids=FAULTS.keys())
def test_resends_run_once(faults):
    """A key that is resent to both instances must run exactly once."""

    async def scenario():
        fleet = MutationFleet()
        fleet.service.set_faults(StoreFaults(**faults))
        outcomes = {}

        async def resend(index):
            for n in range(5):
                name = f"{index}-{n}"
                outcomes[name] = await fleet.send(index, name)
                await asyncio.sleep(0.2)

        await asyncio.gather(resend(0), resend(1))
        await asyncio.sleep(3.0)
        fleet.service.set_faults(StoreFaults())
        outcomes["last"] = await fleet.send(0, "last")
        return outcomes, [name for _, name in fleet.caller.run_names]

    outcomes, run_names = run_virtual(scenario())
    assert len(run_names) == 1
    for name, outcome in outcomes.items():
        if isinstance(outcome, Answer) or outcome.run_state is RunState.YES:
            assert name in run_names
        elif outcome.run_state is RunState.NO:
            assert name not in run_names
