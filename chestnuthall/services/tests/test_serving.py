"""Guards steps of a request that no fault alone brings to light."""

import pytest

from chestnuthall.core.model import PartitionMap, Refusal
from chestnuthall.core.results import NO_REPLICA
from chestnuthall.services.tests._world import World, make_map
from chestnuthall.standins.virtual_time import run_virtual


def test_map_is_pinned_again_after_the_queue():
    """A snapshot may be replaced while a query waits for admission."""

    async def scenario():
        world = World(seed=1)
        pinned = [make_map(1), make_map(1)]
        world.upstreams.snapshots = {1, 2}
        world.directory.pin = lambda group, excluded=(): (
            pinned.pop(0) if pinned else make_map(2)
        )
        return await world.query.serve(world.request("search"))

    assert run_virtual(scenario()).snapshot_id == 2


def test_claim_of_a_mutation_that_was_not_sent_is_released():
    """A key that stays claimed could not be used for the caller's next try."""

    async def scenario():
        world = World(seed=1)
        released = []
        world.query._ledger.abandon = released.append
        router = world.directory.router("g")
        for _, replica in world.directory.replicas():
            router.drain(replica.name, world.clock.now_ms())
        outcome = await world.query.serve(world.request("mutation"))
        return outcome, released

    outcome, released = run_virtual(scenario())
    assert isinstance(outcome, Refusal)
    assert outcome.account.fan_out.n_calls == 0
    assert len(released) == 1


# (case, shards without replicas, whether each kind is refused without a call)
LACKING = [
    ("search above its floor", {"s2"}, "search", False),
    ("search below its floor", {"s0", "s2"}, "search", True),
    ("lookup of another shard", {"s0", "s2"}, "lookup", False),
    ("lookup of the shard", {"s1"}, "lookup", True),
]


@pytest.mark.parametrize(
    ("lacking", "kind", "is_refused"),
    [case[1:] for case in LACKING],
    ids=[case[0] for case in LACKING],
)
def test_request_without_replicas_is_refused_before_admission(
    lacking, kind, is_refused
):
    """Without slots it would wait in the queue until its deadline."""

    async def scenario():
        world = World(seed=1)
        whole = make_map()
        shards = tuple(
            type(shard)(
                shard.shard_id,
                shard.key_range,
                shard.n_documents,
                () if shard.shard_id in lacking else shard.replicas,
            )
            for shard in whole.shards
        )
        partition_map = PartitionMap("g", 1, shards)
        world.directory.pin = lambda group, excluded=(): partition_map
        return await world.query.serve(world.request(kind))

    outcome = run_virtual(scenario())
    is_found = isinstance(outcome, Refusal) and outcome.failure.kind is NO_REPLICA
    assert is_found == is_refused
    if is_refused:
        assert outcome.account.admission.n_ahead_at_arrival == 0
        assert outcome.account.fan_out.n_calls == 0
