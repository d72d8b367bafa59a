"""Tests of searches that are divided among peers.

Guards against coverage that is counted twice or claimed for shards that a peer did
not answer, which happens if a peer fails or answers for other shards or another
snapshot.
"""

import asyncio
from types import SimpleNamespace

import pytest

from chestnuthall.adapters.clock import LoopClock
from chestnuthall.core.fanout import (
    Completion,
    FanOutContext,
    PartialAnswer,
    coverage_of,
)
from chestnuthall.core.model import (
    CallerClass,
    FanOutAccount,
    Hit,
    KeyRange,
    PartitionMap,
    SearchRequest,
    Shard,
    ShardAnswer,
)
from chestnuthall.core.results import CONNECTION_LOST, QUARANTINED, SNAPSHOT_GONE
from chestnuthall.ports import MemberUpdate
from chestnuthall.services import InstanceIdentity, TwoLevelFanOut

N_SHARDS = 30
MAP = PartitionMap(
    "g",
    4,
    tuple(Shard(f"s{i}", KeyRange(f"{i}", ""), 10, ()) for i in range(N_SHARDS)),
)
CLASS = CallerClass(
    name="c", share=1, urgency=1, coverage_floor_ratio=0.5, deadline_ms=1_000
)
CONTEXT = FanOutContext(router=None, budget=None, quarantine=None, caller_class=CLASS)


def _make_partial_answer(shard_ids, snapshot_id=4):
    shards = [shard for shard in MAP.shards if shard.shard_id in shard_ids]
    answers = {key: ShardAnswer("c", key, snapshot_id, (), 10) for key in shard_ids}
    hits = tuple(Hit(key, 1.0, "") for key in shard_ids)
    return PartialAnswer(
        snapshot_id, hits, coverage_of(shards, answers), len(shard_ids)
    )


def _answer_all(call):
    return _make_partial_answer(call.shard_ids)


def _answer_fewer_shards(call):
    return _make_partial_answer(call.shard_ids[1:])


def _answer_other_snapshot(call):
    return _make_partial_answer(call.shard_ids, 5)


def _fail_snapshot_unavailable(call):
    return SNAPSHOT_GONE.with_reason("x")


def _fail_connection_lost(call):
    return CONNECTION_LOST.with_reason("x")


def _fail_quarantined(call):
    return QUARANTINED.with_reason("x")


@pytest.mark.parametrize(
    ("peer", "is_peer_used", "kind"),
    [
        pytest.param(_answer_all, True, None, id="right"),
        pytest.param(_answer_fewer_shards, False, None, id="fewer-shards"),
        pytest.param(_answer_other_snapshot, False, None, id="other-snapshot"),
        pytest.param(
            _fail_snapshot_unavailable, False, None, id="snapshot-unavailable"
        ),
        pytest.param(_fail_connection_lost, False, None, id="peer-lost"),
        pytest.param(_fail_quarantined, True, QUARANTINED, id="quarantined"),
    ],
)
def test_each_shard_is_counted_once(peer, is_peer_used, kind):
    """Each shard must count once, from its peer or, if that fails, from a local run."""
    shard_ids_at_peers, local_shard_ids = [], []

    async def query_shards(address, call, timeout_ms):
        shard_ids_at_peers.extend(call.shard_ids)
        return peer(call)

    async def run_shards(request, sub_map, context):
        ids = [shard.shard_id for shard in sub_map.shards]
        local_shard_ids.extend(ids)
        partial = _make_partial_answer(ids)
        account = FanOutAccount(n_calls=partial.n_calls)
        return Completion(None, partial.hits, partial.coverage, 4, account)

    async def scenario():
        members = tuple(
            MemberUpdate(f"entry-{i}", f"a:{i}", "z", "alive", 1) for i in (2, 3)
        )
        membership = SimpleNamespace(
            identity=InstanceIdentity("entry-1", "a:1", "z"), members=lambda: members
        )
        clock = LoopClock()
        now_ms = clock.now_ms()
        request = SearchRequest(
            request_id="t",
            class_name="c",
            group="g",
            arrived_ms=now_ms,
            deadline_ms=now_ms + 1_000.0,
            fingerprint="f",
            query="x",
            n_hits_max=100,
        )
        two_level = TwoLevelFanOut(
            membership,
            SimpleNamespace(query_shards=query_shards),
            clock,
            None,
            run_shards,
            None,
        )
        return await two_level.complete(request, MAP, CONTEXT)

    completion = asyncio.run(scenario())
    assert len(shard_ids_at_peers) > N_SHARDS / 3
    assert bool(set(shard_ids_at_peers) & set(local_shard_ids)) is not is_peer_used
    if kind is not None:
        assert completion.failure.kind is kind
        return
    assert completion.coverage.is_full
    assert sorted(hit.key for hit in completion.hits) == sorted(
        shard.shard_id for shard in MAP.shards
    )
