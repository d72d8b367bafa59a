"""Guards that a divided search never claims more than its parts gave it."""

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
from chestnuthall.services import Identity, TwoLevelFanOut

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


def _partial(shard_ids, snapshot_id=4):
    shards = [shard for shard in MAP.shards if shard.shard_id in shard_ids]
    answers = {key: ShardAnswer("c", key, snapshot_id, (), 10) for key in shard_ids}
    hits = tuple(Hit(key, 1.0, "") for key in shard_ids)
    return PartialAnswer(
        snapshot_id, hits, coverage_of(shards, answers), len(shard_ids)
    )


def _right(call):
    return _partial(call.shard_ids)


def _fewer_shards(call):
    return _partial(call.shard_ids[1:])


def _other_snapshot(call):
    return _partial(call.shard_ids, 5)


def _gone(call):
    return SNAPSHOT_GONE.with_reason("x")


def _lost(call):
    return CONNECTION_LOST.with_reason("x")


def _quarantined(call):
    return QUARANTINED.with_reason("x")


@pytest.mark.parametrize(
    ("peer", "is_peer_used", "kind"),
    [
        pytest.param(_right, True, None, id="right"),
        pytest.param(_fewer_shards, False, None, id="fewer-shards"),
        pytest.param(_other_snapshot, False, None, id="other-snapshot"),
        pytest.param(_gone, False, None, id="snapshot-gone"),
        pytest.param(_lost, False, None, id="peer-lost"),
        pytest.param(_quarantined, True, QUARANTINED, id="quarantined"),
    ],
)
def test_parts_of_peers(peer, is_peer_used, kind):
    """Every shard must count once, from its peer or, failing that, from here."""
    asked, run_here = [], []

    async def query_shards(address, call, timeout_ms):
        asked.extend(call.shard_ids)
        return peer(call)

    async def run_shards(request, sub_map, context):
        ids = [shard.shard_id for shard in sub_map.shards]
        run_here.extend(ids)
        part = _partial(ids)
        account = FanOutAccount(n_calls=part.n_calls)
        return Completion(None, part.hits, part.coverage, 4, account)

    async def scenario():
        members = tuple(
            MemberUpdate(f"entry-{i}", f"a:{i}", "z", "alive", 1) for i in (2, 3)
        )
        membership = SimpleNamespace(
            identity=Identity("entry-1", "a:1", "z"), members=lambda: members
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
    assert len(asked) > N_SHARDS / 3
    assert bool(set(asked) & set(run_here)) is not is_peer_used
    if kind is not None:
        assert completion.failure.kind is kind
        return
    assert completion.coverage.is_full
    assert sorted(hit.key for hit in completion.hits) == sorted(
        shard.shard_id for shard in MAP.shards
    )
