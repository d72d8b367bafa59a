"""Tests of searches in which a peer answers for a shard set.

Guards against wrong coverage, repeated calls of the members of a set, and repeats
that are counted at two instances.
"""

from dataclasses import replace

import pytest

from chestnuthall.core.fanout import (
    CallAnswered,
    CallFailed,
    FanOut,
    QueryStarted,
    TimerFired,
)
from chestnuthall.core.fanout.tests.test_relayed import (
    FLOOR,
    SOFT_DEADLINE_MS,
    answered,
    calls_of,
    completion_of,
    make_fan_out,
)
from chestnuthall.core.model import KeyRange, Replica, Reply, Shard, ShardAnswer
from chestnuthall.core.results import (
    ANSWER_CUT,
    CONNECTION_LOST,
    CONNECTION_REFUSED,
    COVERAGE_BELOW_FLOOR,
    QUARANTINED,
    SHED_BY_UPSTREAM,
    RunState,
)

N_SHARDS = 8
N_MEMBERS = 3
PEERS = tuple(Replica(f"p{i}", f"peer.{i}", "other") for i in range(3))


def combine_shards(shards):
    members = tuple(shards[:N_MEMBERS])
    joined = Shard("set", KeyRange("", ""), N_MEMBERS, PEERS, members)
    return (joined, *shards[N_MEMBERS:])


def make_fan_out_with_set():
    fan_out = make_fan_out(n_shards=N_SHARDS)
    context = replace(fan_out.context, combine_shards=combine_shards)
    return FanOut(fan_out.request, fan_out.partition_map, context)


def begin(fan_out):
    """Return the call of the set and those of the single shards."""
    calls = calls_of(fan_out.handle(QueryStarted(0.0)))
    sets = [call for call in calls if call.shard_set is not None]
    return sets[0], [call for call in calls if call.shard_set is None]


def answered_by_peer(now_ms, call, n_documents):
    reply = Reply(200, ((b"x", b"set"),), b"zz")
    answer = ShardAnswer(call.call_id, call.shard_id, 7, (), n_documents, reply=reply)
    return CallAnswered(now_ms, call.call_id, answer)


def answer_all(fan_out, calls, now_ms):
    done = None
    for call in calls:
        done = completion_of(fan_out.handle(answered(now_ms, call, b"aa"))) or done
    return done


def test_set_is_one_call_with_its_shard_ids():
    fan_out = make_fan_out_with_set()
    call, single = begin(fan_out)
    assert call.shard_set.shard_ids == ("s0", "s1", "s2")
    assert call.replica in PEERS
    assert len(single) == N_SHARDS - N_MEMBERS


def test_peer_may_leave_out_shards_as_the_coverage_floor_allows():
    """A peer that waits for each straggler would delay the merged answer."""
    call, _ = begin(make_fan_out_with_set())
    assert call.shard_set.n_missing_max == int((1.0 - FLOOR) * N_SHARDS)


# (documents in the peer's answer, shards covered, whether there is an answer)
PEER_ANSWERS = [(3, 8, True), (2, 7, True), (1, 6, True), (4, 8, True)]


@pytest.mark.parametrize(("n_documents", "n_covered", "is_answer"), PEER_ANSWERS)
def test_members_of_a_set_count_one_by_one(n_documents, n_covered, is_answer):
    """Coverage must follow the peer's answer, not the requested shard set."""
    fan_out = make_fan_out_with_set()
    call, single = begin(fan_out)
    fan_out.handle(answered_by_peer(10.0, call, n_documents))
    done = answer_all(fan_out, single, 20.0)
    assert (done.failure is None) == is_answer
    assert done.coverage.n_shards_covered == n_covered
    assert done.coverage.n_shards_total == N_SHARDS
    assert len(done.shard_replies) == N_SHARDS - N_MEMBERS + 1


# (case, failure of the call to the peer, target of the next calls)
FAILURES = [
    ("refused connection", CONNECTION_REFUSED, "peer"),
    ("shed", SHED_BY_UPSTREAM, "peer"),
    ("truncated answer", ANSWER_CUT, "none"),
    ("connection lost", CONNECTION_LOST, "none"),
]


@pytest.mark.parametrize(
    ("kind", "expected"), [c[1:] for c in FAILURES], ids=[c[0] for c in FAILURES]
)
def test_set_is_sent_again_only_if_it_was_not_started(kind, expected):
    """A peer may have called replicas, which count towards the replica limit."""
    fan_out = make_fan_out_with_set()
    call, single = begin(fan_out)
    actions = fan_out.handle(CallFailed(5.0, call.call_id, kind.with_reason("test")))
    actions += fan_out.handle(TimerFired(8.0))
    again = calls_of(actions)
    if expected == "none":
        assert again == []
        done = answer_all(fan_out, single, 20.0) or completion_of(actions)
        assert done.failure.kind is COVERAGE_BELOW_FLOOR
        assert done.run_state is not RunState.NO
    else:
        assert [item.shard_set for item in again] == [call.shard_set]
        assert again[0].replica != call.replica
    assert not fan_out.is_suspected(10.0)


def test_set_that_no_peer_accepts_is_expanded():
    fan_out = make_fan_out_with_set()
    call, single = begin(fan_out)
    refused = CONNECTION_REFUSED.with_reason("test")
    (second,) = calls_of(fan_out.handle(CallFailed(1.0, call.call_id, refused)))
    members = calls_of(fan_out.handle(CallFailed(2.0, second.call_id, refused)))
    assert [item.shard_id for item in members] == ["s0", "s1", "s2"]
    done = answer_all(fan_out, [*members, *single], 20.0)
    assert done.coverage.is_full
    assert done.coverage.n_shards_total == N_SHARDS


class RecordingBudget:
    """Extra-load budget that records the shards whose first calls were counted."""

    def __init__(self):
        self.recorded_shard_ids = []

    def record_calls(self, shard_ids, utilisation_ratio, now_ms):
        self.recorded_shard_ids += shard_ids

    def try_acquire_retry(self, shard_id, now_ms, may_overdraw=False):
        return True

    def try_acquire_hedge(self, shard_id, now_ms, lateness_ratio):
        return False


def test_first_calls_are_counted_by_the_calling_instance():
    """A search that is counted by two instances would double its allowed repeats."""
    fan_out = make_fan_out_with_set()
    budget = RecordingBudget()
    fan_out.context = replace(fan_out.context, budget=budget)
    call, _ = begin(fan_out)
    singles = [f"s{i}" for i in range(N_MEMBERS, N_SHARDS)]
    assert budget.recorded_shard_ids == singles
    refused = CONNECTION_REFUSED.with_reason("test")
    (second,) = calls_of(fan_out.handle(CallFailed(1.0, call.call_id, refused)))
    fan_out.handle(CallFailed(2.0, second.call_id, refused))
    assert budget.recorded_shard_ids == [*singles, "s0", "s1", "s2"]


def test_set_is_not_hedged():
    """A second call would repeat the search on each member of the set."""
    fan_out = make_fan_out_with_set()
    begin(fan_out)
    hedges = calls_of(fan_out.handle(TimerFired(SOFT_DEADLINE_MS - 1.0)))
    assert hedges
    assert all(item.shard_set is None for item in hedges)


def test_suspected_request_is_not_combined():
    fan_out = make_fan_out_with_set()
    replica = fan_out.partition_map.shards[0].replicas[0]
    fan_out.context.quarantine.record_loss("f", replica, "s0", 0.0, 0.0)
    fan_out.handle(QueryStarted(1.0))
    assert all(not item.shard.shards for item in fan_out.shards.values())


def test_request_that_a_peer_has_quarantined_is_not_sent_to_replicas():
    """Otherwise the members of the set are called here, and more replicas crash."""
    fan_out = make_fan_out_with_set()
    call, _ = begin(fan_out)
    refused = QUARANTINED.with_reason("test")
    actions = fan_out.handle(CallFailed(1.0, call.call_id, refused))
    assert not calls_of(actions)
    assert fan_out.is_quarantined(2.0)
