"""Guards against stored burn counts that miss requests or count them twice.

A flush whose write or answer is lost is repeated; the writer must find out whether the
first write took effect.
"""

import asyncio
from random import Random

import pytest

from chestnuthall.adapters.documents import JsonBurnCodec, read_environment
from chestnuthall.adapters.metrics import NullMetrics
from chestnuthall.cli.tests.fakes import FakeClock, InMemoryObjectStore
from chestnuthall.core.burn.tests.test_burn import account
from chestnuthall.core.model import Configuration, Refusal
from chestnuthall.core.results import QUEUE_FULL, ResultCode
from chestnuthall.services import BurnRecorder, ConfigurationManager, read_burn_counts

TEXT = (
    '{"classes": {"clerk": {"share": 1, "deadline_ms": 900}},'
    ' "groups": {"desk": {"n_slots": 3, "n_connections_max": 30}}}'
)


def make_recorder(store, writer, n_instances):
    manager = ConfigurationManager("trial", store, FakeClock(), read_environment)
    recorder = BurnRecorder(
        writer=writer,
        environment="trial",
        store=store,
        clock=FakeClock(),
        metrics=NullMetrics(),
        codec=JsonBurnCodec(),
        configuration=manager,
        count_instances=lambda: n_instances,
        random=Random(1),
    )
    configuration = Configuration(
        environment="trial",
        revision=1,
        digest="d",
        text=TEXT,
        document=read_environment(TEXT),
    )
    manager.offer(configuration, "test")
    return recorder


def record(recorder, n):
    refused_account = account(ResultCode.QUEUE_FULL)
    for _ in range(n):
        recorder.record(
            Refusal(
                request_id="r",
                failure=QUEUE_FULL.with_reason("test"),
                run_state=QUEUE_FULL.run,
                repeat=QUEUE_FULL.repeat,
                configuration_revision=1,
                account=refused_account,
            )
        )


# (case, faults of the next writes, number of flushes)
FAULTS = [
    ("no fault", [], 1),
    ("answer lost", ["lose_answer"], 1),
    ("write lost", ["lose_write"], 1),
    ("every answer of a flush lost", ["lose_answer"] * 4, 2),
    ("every write of a flush lost", ["lose_write"] * 4, 2),
    (
        "writes and answers lost over several flushes",
        ["lose_write", "lose_answer"] * 4,
        3,
    ),
]


@pytest.mark.parametrize(
    ("faults", "n_flushes"), [c[1:] for c in FAULTS], ids=[c[0] for c in FAULTS]
)
@pytest.mark.parametrize("n_instances", [2, 200])
def test_each_request_is_counted_once(faults, n_flushes, n_instances):
    async def scenario():
        store = InMemoryObjectStore(faulty_kind="burn")
        instances = [make_recorder(store, f"entry-{n}", n_instances) for n in range(2)]
        store.write_faults = list(faults)
        for _ in range(n_flushes):
            for instance in instances:
                record(instance, 3)
                await instance.flush()
        store.write_faults = []
        for instance in instances:
            await instance.flush()
            await instance.flush()
        return await read_burn_counts(store, JsonBurnCodec(), "trial")

    counts = asyncio.run(scenario())
    n_requests = [tally.n_requests for tally in counts.tallies.values()]
    assert n_requests == [6 * n_flushes] * 3


def test_idle_instance_makes_no_store_call():
    """Guards the limit on the store's call rate against idle instances."""
    store = InMemoryObjectStore()
    assert asyncio.run(make_recorder(store, "entry-0", 1).flush())
    assert store.n_calls == 0
