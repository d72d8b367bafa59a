"""Guards the path from claim to dispatch of a mutation, under store faults.

Two real query services share the in-memory store; the upstream is a fake that
notes what it was given to run.
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
from chestnuthall.daemon.tests.store_world import (
    StoreWorld,
    configuration_text,
    mutation,
)
from chestnuthall.daemon.tests.test_claims_on_store import FAULTS
from chestnuthall.services import Admissions, Directory, Identity, QueryService
from chestnuthall.standins.objectapi import StoreFaults
from chestnuthall.standins.virtual_time import run_virtual

SHARD = Shard("s0", KeyRange("", ""), 10, (Replica("r0", "127.0.0.1:1", "a"),))


class NotingCaller:
    """Runs each mutation in 10 ms; searches take as long as it is told."""

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


class MutationWorld(StoreWorld):
    def __init__(self):
        super().__init__(ledger_settings=LedgerSettings(n_partitions=1))
        self.caller = NotingCaller()
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
            identity=Identity(f"entry-{index}", "", "a"),
            clock=self.clock,
            metrics=NullMetrics(),
            caller=self.caller,
            directory=directory,
            configuration=self.keepers[index],
            admissions=Admissions(self.clock),
            ledger=self.ledgers[index],
            quarantine=QuarantineRegistry(QuarantineSettings()),
        )
        self.keepers[index].offer_text(configuration_text(1), "test")
        directory.add_map(PartitionMap("desk", 1, (SHARD,)))
        return query

    def send(self, index, name, deadline_ms=1_000.0, key="hold-1"):
        now_ms = self.clock.now_ms()
        request = mutation(key, 3_600_000.0, now_ms + deadline_ms, name, now_ms)
        return self.queries[index].serve(request)

    def fill_slots(self, index):
        """Occupy every slot of the group for half a second."""
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


async def refuse_in_queue(world):
    world.fill_slots(0)
    await asyncio.sleep(0.01)
    return await world.send(0, "first", deadline_ms=200.0)


async def leave_in_queue(world):
    world.fill_slots(0)
    await asyncio.sleep(0.01)
    task = asyncio.get_running_loop().create_task(world.send(0, "first"))
    await asyncio.sleep(0.1)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@pytest.mark.parametrize("refuse", [refuse_in_queue, leave_in_queue])
def test_key_is_free_after_refusal(refuse):
    """A request refused before dispatch must not lock its key, nor ever run."""

    async def scenario():
        world = MutationWorld()
        outcome = await refuse(world)
        if outcome is not None:
            assert (outcome.run_state, outcome.repeat) == (
                RunState.NO,
                RetryAdvice.NEW_KEY,
            )
        await asyncio.sleep(0.1)
        again = await world.send(1, "again")
        await asyncio.sleep(2.0)
        return again, world.caller.run_names

    again, run_names = run_virtual(scenario())
    assert isinstance(again, Answer)
    assert run_names == [("hold-1", "again")]


@pytest.mark.parametrize("faults", FAULTS.values(), ids=FAULTS.keys())
def test_resends_run_once(faults):
    """A caller that resends a key to both instances must have it run once."""

    async def scenario():
        world = MutationWorld()
        world.service.set_faults(StoreFaults(**faults))
        outcomes = {}

        async def resend(index):
            for n in range(5):
                name = f"{index}-{n}"
                outcomes[name] = await world.send(index, name)
                await asyncio.sleep(0.2)

        await asyncio.gather(resend(0), resend(1))
        await asyncio.sleep(3.0)
        world.service.set_faults(StoreFaults())
        outcomes["last"] = await world.send(0, "last")
        return outcomes, [name for _, name in world.caller.run_names]

    outcomes, run_names = run_virtual(scenario())
    assert len(run_names) == 1
    for name, outcome in outcomes.items():
        if isinstance(outcome, Answer) or outcome.run_state is RunState.YES:
            assert name in run_names
        elif outcome.run_state is RunState.NO:
            assert name not in run_names
