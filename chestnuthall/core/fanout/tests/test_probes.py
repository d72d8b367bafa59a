"""Tests how a suspected search goes on at the shards that it does not crash.

Guards against waves of crashes that a first answer sets off, and against harmless
searches that wait for the probe of one shard.
"""

import pytest

from chestnuthall.core.fanout import (
    CallAnswered,
    CallFailed,
    PeersNotified,
    QueryStarted,
    SetTimer,
    TimerFired,
    VerdictReached,
)
from chestnuthall.core.fanout.tests.test_machine import (
    answer_to,
    calls_of,
    make_fan_out,
    make_map,
)
from chestnuthall.core.model import Replica
from chestnuthall.core.results import NO_REPLICA


def make_suspected(answered=("s0", "s2"), **options):
    """Return a fan-out of a request that left shard s1 without an answer."""
    fan_out = make_fan_out(**options)
    registry = fan_out.context.quarantine
    registry.begin_silence_check("f", "s1")
    registry.record_silence(
        "f", Replica("old", "old", "z"), "s1", 0.0, 0.0, answered_shard_ids=answered
    )
    return fan_out


def start(fan_out):
    """Start a suspected query; return its first calls and its probe."""
    first = calls_of(fan_out.handle(QueryStarted(1.0)))
    probe = calls_of(fan_out.handle(PeersNotified(1.0)))
    return first, probe


@pytest.mark.parametrize(
    ("answered", "first_ids"),
    [
        pytest.param(("s0", "s2"), ["s0", "s2"], id="the others answered"),
        pytest.param(("s2",), ["s2"], id="one answered"),
        pytest.param((), [], id="none answered"),
    ],
)
def test_only_proven_shards_are_called_beside_the_probe(answered, first_ids):
    first, (probe,) = start(make_suspected(answered))
    assert [call.shard_id for call in first] == first_ids
    assert not any(call.is_probe for call in first)
    assert probe.shard_id == "s1"
    assert probe.is_probe


def test_search_is_answered_without_the_shard_of_an_unanswered_probe():
    fan_out = make_suspected(floor=0.6, soft_deadline_ms=100.0)
    first, _ = start(fan_out)
    for call in first:
        fan_out.handle(CallAnswered(5.0, call.call_id, answer_to(call)))
    fan_out.handle(TimerFired(100.0))
    assert fan_out.is_complete
    assert fan_out.coverage().ratio == pytest.approx(2 / 3)


def test_probe_of_a_shard_without_losses_clears_nothing():
    """While the silent shard has no replica, another one is probed and answers."""
    fan_out = make_suspected(answered=(), partition_map=make_map(n_replicas=1))
    _, (probe,) = start(fan_out)
    refused = NO_REPLICA.with_reason("no connection")
    (other,) = calls_of(fan_out.handle(CallFailed(2.0, probe.call_id, refused)))
    assert other.is_probe
    assert other.shard_id != "s1"
    actions = fan_out.handle(CallAnswered(3.0, other.call_id, answer_to(other)))
    assert {call.shard_id for call in calls_of(actions)} == {"s0", "s2"} - {
        other.shard_id
    }
    assert fan_out.context.quarantine.shards_with_losses("f", 4.0) == {"s1"}


def test_answered_probe_of_the_silent_shard_clears_the_request():
    fan_out = make_suspected(answered=())
    _, (probe,) = start(fan_out)
    actions = fan_out.handle(CallAnswered(3.0, probe.call_id, answer_to(probe)))
    assert {call.shard_id for call in calls_of(actions)} == {"s0", "s2"}
    assert not fan_out.context.quarantine.is_suspected("f", 4.0)


def test_retest_calls_no_other_shard():
    """It is one call; an answer of another shard would lift the quarantine."""
    fan_out = make_suspected(partition_map=make_map(n_replicas=1))
    registry = fan_out.context.quarantine
    registry.quarantine("f", 0.0)
    registry.begin_retest("f", "q", 0.5)
    first, (probe,) = start(fan_out)
    assert not first
    assert probe.shard_id == "s1"
    refused = NO_REPLICA.with_reason("no connection")
    assert not calls_of(fan_out.handle(CallFailed(2.0, probe.call_id, refused)))
    assert registry.is_quarantined("f", 3.0)


def test_unanswered_probe_sets_no_timer_for_a_hedge():
    """Its hedge is due but not allowed; a timer for it would fire without end."""
    fan_out = make_suspected(soft_deadline_ms=400.0)
    start(fan_out)
    actions = fan_out.handle(TimerFired(200.0))
    (timer,) = [item for item in actions if isinstance(item, SetTimer)]
    assert all(call.shard_id != "s1" for call in calls_of(actions))
    assert timer.at_ms > 201.0


def test_calls_of_shards_without_any_answer_remain_to_be_explained():
    fan_out = make_fan_out(floor=0.5, soft_deadline_ms=100.0)
    calls = calls_of(fan_out.handle(QueryStarted(0.0)))
    for call in calls:
        call.trace.is_written = True
    for call in calls[:2]:
        fan_out.handle(CallAnswered(5.0, call.call_id, answer_to(call)))
    fan_out.handle(TimerFired(100.0))
    assert fan_out.is_complete
    assert {item.call.shard_id for item in fan_out.unanswered} == {"s2"}


def test_search_waits_for_the_probe_of_another_instance():
    fan_out = make_suspected()
    first = calls_of(fan_out.handle(QueryStarted(1.0)))
    assert not calls_of(fan_out.handle(PeersNotified(2.0, is_probe_granted=False)))
    for call in first:
        fan_out.handle(CallAnswered(5.0, call.call_id, answer_to(call)))
    assert not calls_of(fan_out.handle(TimerFired(100.0)))
    fan_out.context.quarantine.lift("f")
    (call,) = calls_of(fan_out.handle(VerdictReached(101.0)))
    assert call.shard_id == "s1"
