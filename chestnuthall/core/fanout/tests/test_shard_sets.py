"""Guards searches of which a peer answers for a set of shards."""

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
    make,
)
from chestnuthall.core.model import KeyRange, Replica, Reply, Shard, ShardAnswer
from chestnuthall.core.results import (
    ANSWER_CUT,
    CONNECTION_LOST,
    CONNECTION_REFUSED,
    COVERAGE_BELOW_FLOOR,
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


def make_with_set():
    whole = make(n_shards=N_SHARDS)
    context = replace(whole.context, combine_shards=combine_shards)
    return FanOut(whole.request, whole.partition_map, context)


def begin(fan_out):
    """Return the call of the set and those of the single shards."""
    calls = calls_of(fan_out.handle(QueryStarted(0.0)))
    sets = [call for call in calls if call.shard_set is not None]
    return sets[0], [call for call in calls if call.shard_set is None]


def answered_by_peer(now_ms, call, n_parts):
    reply = Reply(200, ((b"x", b"set"),), b"zz")
    answer = ShardAnswer(call.call_id, call.shard_id, 7, (), n_parts, reply=reply)
    return CallAnswered(now_ms, call.call_id, answer)


def answer_all(fan_out, calls, now_ms):
    done = None
    for call in calls:
        done = completion_of(fan_out.handle(answered(now_ms, call, b"aa"))) or done
    return done


def test_set_is_one_call_that_names_its_shards():
    fan_out = make_with_set()
    call, single = begin(fan_out)
    assert call.shard_set.shard_ids == ("s0", "s1", "s2")
    assert call.replica in PEERS
    assert len(single) == N_SHARDS - N_MEMBERS


def test_peer_may_leave_out_what_the_floor_of_the_whole_allows():
    """A peer that waits for each straggler would make the whole answer late."""
    call, _ = begin(make_with_set())
    assert call.shard_set.n_missing_max == int((1.0 - FLOOR) * N_SHARDS)


# (parts in the peer's answer, shards covered, whole answer)
PARTS = [(3, 8, True), (2, 7, True), (1, 6, True), (4, 8, True)]


@pytest.mark.parametrize(("n_parts", "n_covered", "is_answer"), PARTS)
def test_parts_of_a_set_count_one_by_one(n_parts, n_covered, is_answer):
    """Coverage must be what the peer's answer holds, not what it was asked for."""
    fan_out = make_with_set()
    call, single = begin(fan_out)
    fan_out.handle(answered_by_peer(10.0, call, n_parts))
    done = answer_all(fan_out, single, 20.0)
    assert (done.failure is None) == is_answer
    assert done.coverage.n_shards_covered == n_covered
    assert done.coverage.n_shards_total == N_SHARDS
    assert len(done.shard_replies) == N_SHARDS - N_MEMBERS + 1


# (case, failure of the peer, calls that follow at once or by the timer, peer's or not)
FAILURES = [
    ("refused connection", CONNECTION_REFUSED, "peer"),
    ("not run", SHED_BY_UPSTREAM, "peer"),
    ("cut", ANSWER_CUT, "none"),
    ("peer ended", CONNECTION_LOST, "none"),
]


@pytest.mark.parametrize(
    ("kind", "expected"), [c[1:] for c in FAILURES], ids=[c[0] for c in FAILURES]
)
def test_set_is_offered_again_only_if_it_was_not_begun(kind, expected):
    """A set that may have run has called replicas within the bound of attempts."""
    fan_out = make_with_set()
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


def test_set_that_no_peer_takes_is_called_from_here():
    fan_out = make_with_set()
    call, single = begin(fan_out)
    refused = CONNECTION_REFUSED.with_reason("test")
    (second,) = calls_of(fan_out.handle(CallFailed(1.0, call.call_id, refused)))
    members = calls_of(fan_out.handle(CallFailed(2.0, second.call_id, refused)))
    assert [item.shard_id for item in members] == ["s0", "s1", "s2"]
    done = answer_all(fan_out, [*members, *single], 20.0)
    assert done.coverage.is_full
    assert done.coverage.n_shards_total == N_SHARDS


class CountedBudget:
    """Notes the shards whose first calls were counted."""

    def __init__(self):
        self.earned = []

    def record_calls(self, shard_ids, utilisation_ratio, now_ms):
        self.earned += shard_ids

    def try_acquire_retry(self, shard_id, now_ms, may_overdraw=False):
        return True

    def try_acquire_hedge(self, shard_id, now_ms, lateness_ratio):
        return False


def test_first_calls_count_where_they_are_made():
    """A search that counted at two instances would allow twice its repeats."""
    fan_out = make_with_set()
    budget = CountedBudget()
    fan_out.context = replace(fan_out.context, budget=budget)
    call, _ = begin(fan_out)
    singles = [f"s{i}" for i in range(N_MEMBERS, N_SHARDS)]
    assert budget.earned == singles
    refused = CONNECTION_REFUSED.with_reason("test")
    (second,) = calls_of(fan_out.handle(CallFailed(1.0, call.call_id, refused)))
    fan_out.handle(CallFailed(2.0, second.call_id, refused))
    assert budget.earned == [*singles, "s0", "s1", "s2"]


def test_set_is_not_hedged():
    """Its second run would be a repeat at each of its shards."""
    fan_out = make_with_set()
    begin(fan_out)
    hedges = calls_of(fan_out.handle(TimerFired(SOFT_DEADLINE_MS - 1.0)))
    assert hedges
    assert all(item.shard_set is None for item in hedges)


def test_suspected_request_is_not_combined():
    fan_out = make_with_set()
    replica = fan_out.partition_map.shards[0].replicas[0]
    fan_out.context.quarantine.record_loss("f", replica, "s0", 0.0, 0.0)
    fan_out.handle(QueryStarted(1.0))
    assert all(not item.shard.shards for item in fan_out.shards.values())
