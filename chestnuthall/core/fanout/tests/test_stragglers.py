"""Tests of hedges, retries and replans of one fan-out.

Guards against stragglers without a hedge, lost coverage for lack of credit, and
suspected requests that run on several replicas.
"""

from dataclasses import replace

import pytest

from chestnuthall.core.fanout import (
    CallAnswered,
    CallFailed,
    Cancel,
    MapReplaced,
    PeersNotified,
    QueryStarted,
    TimerFired,
)
from chestnuthall.core.fanout.tests.test_machine import (
    DEADLINE_MS,
    answer_to,
    calls_of,
    completion_of,
    make_fan_out,
    make_map,
)
from chestnuthall.core.model import PartitionMap, ShardAnswer
from chestnuthall.core.results import CONNECTION_LOST, NO_REPLICA, SNAPSHOT_GONE

HEDGE_DELAY_MS = 50.0


def begin(n_shards=1, n_replicas=3, credit=5.0, **options):
    fan_out = make_fan_out(partition_map=make_map(n_shards, n_replicas), **options)
    fan_out.context.budget._credit = credit
    return fan_out, calls_of(fan_out.handle(QueryStarted(0.0)))


def occupy(router, replicas, n_calls):
    for replica in replicas:
        for _ in range(n_calls):
            router.on_started(replica, 0.0)


@pytest.mark.parametrize("lacking", ["credit", "slot"])
def test_withheld_hedge_is_made_later(lacking):
    """A brief lack of credit or slots must not leave a straggler without a hedge."""
    fan_out, (call,) = begin(credit=-9.0 if lacking == "credit" else 5.0)
    router = fan_out.context.router
    others = [r for r in fan_out.partition_map.shards[0].replicas if r != call.replica]
    if lacking == "slot":
        occupy(router, others, 3)
    assert calls_of(fan_out.handle(TimerFired(HEDGE_DELAY_MS))) == []
    fan_out.context.budget._credit = 5.0
    if lacking == "slot":
        router.on_answered(others[0], 0.0, ShardAnswer("x", "s", 1, (), 1), 55.0)
    (hedge,) = calls_of(fan_out.handle(TimerFired(HEDGE_DELAY_MS + 10.0)))
    assert hedge.replica != call.replica
    assert calls_of(fan_out.handle(TimerFired(HEDGE_DELAY_MS + 60.0))) == []


def test_slower_call_is_cancelled_after_a_hedge_is_answered():
    """A call whose answer is no longer needed must not occupy a slot."""
    fan_out, (call, _) = begin(n_shards=2)
    hedges = calls_of(fan_out.handle(TimerFired(HEDGE_DELAY_MS)))
    (hedge,) = [item for item in hedges if item.shard_id == call.shard_id]
    actions = fan_out.handle(CallAnswered(60.0, hedge.call_id, answer_to(hedge)))
    assert Cancel(call.call_id) in actions
    assert fan_out.context.router.state_of(call.replica.name).n_in_flight == 0


def test_suspected_request_is_not_hedged():
    """A suspected request must not run on a second replica without notice to peers."""
    fan_out, (first, _) = begin(n_shards=2)
    lost = CONNECTION_LOST.with_reason("x")
    assert calls_of(fan_out.handle(CallFailed(1.0, first.call_id, lost))) == []
    assert calls_of(fan_out.handle(TimerFired(HEDGE_DELAY_MS))) == []


@pytest.mark.parametrize(
    ("failure", "n_retried"),
    [
        pytest.param(NO_REPLICA.with_reason("x"), 1, id="nothing-written"),
        pytest.param(SNAPSHOT_GONE.with_reason("x"), 1, id="snapshot-refused"),
    ],
)
def test_retry_without_upstream_work_needs_no_credit(failure, n_retried):
    """A call that no replica started must be retried even without credit."""
    fan_out, (call,) = begin(credit=-20.0)
    actions = fan_out.handle(CallFailed(1.0, call.call_id, failure))
    assert len(calls_of(actions)) == n_retried


def test_query_ends_at_its_deadline_while_it_waits_for_a_map():
    """A slow search for another map must not delay a query past its deadline."""
    fan_out, (first, second) = begin(n_shards=2, n_replicas=1)
    fan_out.handle(CallAnswered(1.0, first.call_id, answer_to(first)))
    unavailable = SNAPSHOT_GONE.with_reason("swapped")
    fan_out.handle(CallFailed(2.0, second.call_id, unavailable))
    completion = completion_of(fan_out.handle(TimerFired(DEADLINE_MS)))
    assert completion.coverage.n_documents_covered == 100


@pytest.mark.parametrize(
    ("is_loaded", "now_ms", "n_replanned"),
    [
        pytest.param(True, 10.0, 3, id="loaded-in-time"),
        pytest.param(False, 10.0, 0, id="still-being-loaded"),
        pytest.param(True, DEADLINE_MS - 10.0, 0, id="too-late-to-start-over"),
    ],
)
def test_answer_is_kept_unless_a_new_snapshot_promises_more(
    is_loaded, now_ms, n_replanned
):
    """Starting over must not replace two thirds of the coverage by less."""
    fan_out, (first, second, third) = begin(n_shards=3, n_replicas=1, floor=0.5)
    for call in (first, second):
        fan_out.handle(CallAnswered(1.0, call.call_id, answer_to(call)))
    unavailable = SNAPSHOT_GONE.with_reason("swapped")
    fan_out.handle(CallFailed(2.0, third.call_id, unavailable))
    new_map = make_map(3, 1, snapshot_id=2)
    if not is_loaded:
        for shard in new_map.shards:
            fan_out.context.router.state_of(
                shard.replicas[0].name
            ).record_missing_snapshot(2, 2.0)
    actions = fan_out.handle(MapReplaced(now_ms, new_map))
    assert len(calls_of(actions)) == n_replanned
    completion = completion_of(actions)
    assert (completion is None) == (n_replanned > 0)
    if completion is not None:
        assert completion.snapshot_id == 1
        assert completion.coverage.n_documents_covered == 200


def test_probe_avoids_the_zone_that_lost_a_replica():
    """A replica in a failing zone could be lost even if the request is harmless."""
    fan_out, _ = begin()
    (shard,) = fan_out.partition_map.shards
    zones = ("z", "z", "other")
    pairs = zip(shard.replicas, zones, strict=True)
    replicas = tuple(replace(replica, zone=zone) for replica, zone in pairs)
    partition_map = PartitionMap("g", 1, (replace(shard, replicas=replicas),))
    fan_out = make_fan_out(partition_map=partition_map)
    router = fan_out.context.router
    # The last replica is busier, so only its zone can be the reason to choose it.
    occupy(router, replicas[2:], 2)
    (call,) = calls_of(fan_out.handle(QueryStarted(0.0)))
    fan_out.handle(CallFailed(1.0, call.call_id, CONNECTION_LOST.with_reason("x")))
    (probe,) = calls_of(fan_out.handle(PeersNotified(2.0)))
    assert probe.replica.name == replicas[2].name
