"""Plays replicas that fall silent under requests that are not the reason.

Guards against the refusal of harmless requests because replicas that they had been
sent to were lost in numbers, slow, or unreachable. To an instance such replicas look
like those that a request crashes as a loss of power would.
"""

import asyncio
from collections import Counter
from random import Random

import pytest

from chestnuthall.core.model import Answer
from chestnuthall.core.results import NO_REPLICA, QUARANTINED
from chestnuthall.services.tests._harness import DEADLINE_MS
from chestnuthall.services.tests.test_quarantine_over_time import (
    FINGERPRINT,
    N_INSTANCES,
    Fleet,
)
from chestnuthall.standins.virtual_time import run_virtual

KINDS = ("lookup", "mutation", "search")
# Requests for the popular record, at each instance.
SEND_INTERVAL_S = 0.15
TROUBLE_ENDS_S = 16.3
DURATION_S = 26.0
# A request that waits for the result of a probe or a check is served within this time.
RECOVERY_S = 2.0
ALL_REPLICAS = tuple(f"r{shard}{index}" for shard in range(3) for index in range(3))
REPLICAS_OF_S1 = ("r10", "r11", "r12")


class Network:
    """Connection of one instance to the replicas, on which calls may get lost.

    Calls on open connections stay unanswered, and no new connection is accepted.
    """

    def __init__(self, upstreams):
        self._upstreams = upstreams
        self.unreachable = set()

    def _is_lost(self, replica):
        return replica.name in self.unreachable | self._upstreams.dead

    async def call(self, call):
        if self._is_lost(call.replica):
            if call.is_probe:
                await asyncio.sleep(0.1)
                return NO_REPLICA.with_reason("no connection")
            call.trace.is_written = True
            await asyncio.sleep(float("inf"))
        answer = await self._upstreams.call(call)
        if self._is_lost(call.replica):
            await asyncio.sleep(float("inf"))
        return answer

    async def accepts_connections(self, replica, timeout_ms):
        if self._is_lost(replica):
            await asyncio.sleep(timeout_ms / 1000.0)
            return False
        return await self._upstreams.accepts_connections(replica, timeout_ms)

    def last_answer_ms(self, replica):
        return self._upstreams.last_answer_ms(replica)


class DarkFleet(Fleet):
    """A fleet whose instances are connected to the replicas by separate networks."""

    def __init__(self, seed):
        self.networks = []
        super().__init__(seed)
        self.upstreams.is_crash_silent = True

    def _make_node(self, number):
        node = super()._make_node(number)
        network = Network(self.upstreams)
        self.networks.append(network)
        node.harness.query._caller = network
        node.harness.query._silence_checks._reachability = network
        return node


async def lose(names, lost, duration_s):
    """Lose replicas for some time."""
    lost |= names
    try:
        await asyncio.sleep(duration_s)
    finally:
        lost -= names


async def lose_all_of_a_shard(fleet):
    while True:
        await lose(set(REPLICAS_OF_S1), fleet.upstreams.dead, 5.0)
        await asyncio.sleep(1.0)


async def lose_two_of_each_shard(fleet):
    while True:
        names = {name for name in ALL_REPLICAS if not name.endswith("2")}
        await lose(names, fleet.upstreams.dead, 4.5)
        await asyncio.sleep(0.5)


async def lose_all(fleet):
    while True:
        await lose(set(ALL_REPLICAS), fleet.upstreams.dead, 3.0)
        await asyncio.sleep(2.0)


async def lose_one_after_the_other(fleet):
    while True:
        for name in ALL_REPLICAS:
            await lose({name}, fleet.upstreams.dead, 0.8)


async def lose_at_random(fleet):
    loop = asyncio.get_running_loop()
    tasks = []
    while True:
        name = fleet.random.choice(ALL_REPLICAS)
        tasks.append(loop.create_task(lose({name}, fleet.upstreams.dead, 1.5)))
        await asyncio.sleep(fleet.random.uniform(0.1, 0.7))


async def separate_one_instance(fleet):
    while True:
        network = fleet.random.choice(fleet.networks)
        await lose(set(ALL_REPLICAS), network.unreachable, 4.0)
        await asyncio.sleep(1.0)


async def separate_all_from_a_zone(fleet):
    names = {name for name in ALL_REPLICAS if name.endswith("1")}
    while True:
        await asyncio.gather(*(lose(names, x.unreachable, 4.0) for x in fleet.networks))
        await asyncio.sleep(1.0)


async def slow_down(fleet):
    """Make calls of all shards take longer than their time."""
    while True:
        fleet.upstreams.slow_ms |= {f"s{i}": 2.0 * DEADLINE_MS for i in range(3)}
        await asyncio.sleep(0.01)


TROUBLES = (
    lose_all_of_a_shard,
    lose_two_of_each_shard,
    lose_all,
    lose_one_after_the_other,
    lose_at_random,
    separate_one_instance,
    separate_all_from_a_zone,
    slow_down,
)


async def send_popular(fleet, node, kind, outcomes):
    """Send the same harmless request to one instance again and again."""
    loop = asyncio.get_running_loop()
    random = Random(1)
    while loop.time() < DURATION_S:
        arrived_s = loop.time()
        outcome = await fleet.send(kind, "popular", node)
        outcomes.append((arrived_s, outcome))
        await asyncio.sleep(random.uniform(0.0, 2.0 * SEND_INTERVAL_S))


@pytest.mark.parametrize("trouble", TROUBLES, ids=lambda item: item.__name__)
@pytest.mark.parametrize("kind", KINDS)
def test_harmless_request_is_not_refused_for_silent_replicas(kind, trouble):
    """It must run as before as soon as its replicas are back."""

    async def scenario():
        fleet, outcomes = DarkFleet(1), []
        loop = asyncio.get_running_loop()
        task = loop.create_task(trouble(fleet))
        loop.call_at(TROUBLE_ENDS_S, task.cancel)
        await asyncio.gather(
            *(send_popular(fleet, node, kind, outcomes) for node in fleet.nodes)
        )
        await fleet.close()
        return outcomes

    outcomes = run_virtual(scenario())
    results = Counter(
        "OK" if isinstance(item, Answer) else item.failure.kind.name
        for _, item in outcomes
    )
    print(results)
    assert results[QUARANTINED.code.name] == 0
    late = [item for at_s, item in outcomes if at_s > TROUBLE_ENDS_S + RECOVERY_S]
    assert len(late) > 10 * N_INSTANCES
    assert all(isinstance(item, Answer) for item in late)


@pytest.mark.parametrize("kind", KINDS)
def test_harmless_requests_are_served_beside_a_crashing_one(kind):
    """Only the request that crashes replicas silently may be refused for it."""

    async def scenario():
        fleet, outcomes = DarkFleet(1), []
        fleet.upstreams.crashing.add(FINGERPRINT)
        loop = asyncio.get_running_loop()

        async def crash():
            while loop.time() < DURATION_S:
                await fleet.send(kind)
                await asyncio.sleep(0.5)

        await asyncio.gather(
            crash(),
            *(send_popular(fleet, node, kind, outcomes) for node in fleet.nodes),
        )
        await fleet.close()
        return fleet, outcomes

    fleet, outcomes = run_virtual(scenario())
    assert len(fleet.crashes_s) >= 2
    assert fleet.n_late_calls == 0
    assert not any(
        item.failure.kind is QUARANTINED
        for _, item in outcomes
        if not isinstance(item, Answer)
    )
    assert all(isinstance(item, Answer) for at_s, item in outcomes if at_s > 15.0)
