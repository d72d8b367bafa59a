"""Guards steps of a request that the fault matrix does not cover."""

import pytest

from chestnuthall.core.model import PartitionMap, Refusal
from chestnuthall.core.results import NO_REPLICA
from chestnuthall.services.tests._harness import QueryHarness, make_map
from chestnuthall.standins.virtual_time import run_virtual


def test_map_is_pinned_again_after_the_queue():
    """Guards against a query of a snapshot that was replaced while it was queued."""

    async def scenario():
        harness = QueryHarness(seed=1)
        pinned = [make_map(1), make_map(1)]
        harness.upstreams.snapshots = {1, 2}
        harness.directory.pin = lambda group, excluded=(): (
            pinned.pop(0) if pinned else make_map(2)
        )
        return await harness.query.serve(harness.request("search"))

    assert run_virtual(scenario()).snapshot_id == 2


def test_claim_of_a_mutation_that_was_not_sent_is_released():
    """Guards against a key that stays claimed and that the caller cannot use again."""

    async def scenario():
        harness = QueryHarness(seed=1)
        released = []
        harness.query._ledger.abandon = released.append
        router = harness.directory.router("g")
        for _, replica in harness.directory.replicas():
            router.drain(replica.name, harness.clock.now_ms())
        outcome = await harness.query.serve(harness.request("mutation"))
        return outcome, released

    outcome, released = run_virtual(scenario())
    assert isinstance(outcome, Refusal)
    assert outcome.account.fan_out.n_calls == 0
    assert len(released) == 1


# (case, shards without replicas, kind, whether it is refused without a call)
MISSING_REPLICA_CASES = [
    ("search above its floor", {"s2"}, "search", False),
    ("search below its floor", {"s0", "s2"}, "search", True),
    ("lookup of another shard", {"s0", "s2"}, "lookup", False),
    ("lookup of the shard", {"s1"}, "lookup", True),
]


@pytest.mark.parametrize(
    ("empty_shard_ids", "kind", "is_refused"),
    [case[1:] for case in MISSING_REPLICA_CASES],
    ids=[case[0] for case in MISSING_REPLICA_CASES],
)
def test_request_without_replicas_is_refused_before_admission(
    empty_shard_ids, kind, is_refused
):
    """Guards against a request that waits in the queue of a group without slots."""

    async def scenario():
        harness = QueryHarness(seed=1)
        complete_map = make_map()
        shards = tuple(
            type(shard)(
                shard.shard_id,
                shard.key_range,
                shard.n_documents,
                () if shard.shard_id in empty_shard_ids else shard.replicas,
            )
            for shard in complete_map.shards
        )
        partition_map = PartitionMap("g", 1, shards)
        harness.directory.pin = lambda group, excluded=(): partition_map
        return await harness.query.serve(harness.request(kind))

    outcome = run_virtual(scenario())
    has_no_replica = isinstance(outcome, Refusal) and outcome.failure.kind is NO_REPLICA
    assert has_no_replica == is_refused
    if is_refused:
        assert outcome.account.admission.n_ahead_at_arrival == 0
        assert outcome.account.fan_out.n_calls == 0
