"""Guards against a request that crashes replicas and is sent to more of them.

Retries, hedges and resends at other instances could each crash another replica. The
tests also guard against the quarantine of requests that did not cause a loss.
"""

import asyncio
from random import Random

import pytest

from chestnuthall.core.model import Answer
from chestnuthall.core.results import QUARANTINED
from chestnuthall.services.tests._harness import (
    FakeUpstreams,
    LoopTimeClock,
    QueryHarness,
)
from chestnuthall.standins.virtual_time import run_virtual

N_INSTANCES = 3


class Fleet:
    """Instances that exchange the notices of their quarantine registries."""

    def __init__(self, can_exchange=True):
        self.upstreams = FakeUpstreams(LoopTimeClock(), Random(1))
        self.can_exchange = can_exchange
        self.harnesses = [
            QueryHarness(i, self.upstreams, lambda i=i: self.disseminate(i))
            for i in range(N_INSTANCES)
        ]
        for harness in self.harnesses:
            # Accumulated credit for hedges, as after a period of low load.
            harness.query._budgets["c"].record_calls(range(1_000), 0.0, 0.0)

    async def disseminate(self, sender):
        if not self.can_exchange:
            await asyncio.sleep(1.0)
            return
        await asyncio.sleep(0.002)
        now_ms = self.upstreams.clock.now_ms()
        for notice in self.harnesses[sender].registry.notices(now_ms):
            for harness in self.harnesses:
                if harness is not self.harnesses[sender]:
                    harness.registry.merge(
                        notice.fingerprint,
                        notice.replica_names,
                        notice.expires_ms,
                        now_ms,
                    )
        await asyncio.sleep(0.002)

    async def send(self, instance, kind, number):
        harness = self.harnesses[instance]
        request = harness.request(kind, number, "poison", key=f"key-{number}")
        return await harness.query.serve(request)


async def resend_everywhere(fleet, kind, gap_ms):
    """Send a request to each instance in turn, twice; return the outcomes."""
    tasks = []
    for number in range(2 * N_INSTANCES):
        instance = number % N_INSTANCES
        tasks.append(asyncio.ensure_future(fleet.send(instance, kind, number)))
        if gap_ms is None:
            await asyncio.wait(tasks)
        else:
            await asyncio.sleep(gap_ms / 1000.0)
    return await asyncio.gather(*tasks)


@pytest.mark.parametrize(
    ("kind", "crash_shards", "crash_ms", "gap_ms", "n_lost_max", "credit"),
    [
        pytest.param("lookup", "s1", 1.0, None, 2, 9.0, id="lookup"),
        pytest.param("lookup", "s1", 1.0, 4.0, 2, 9.0, id="lookup-resent-during-probe"),
        pytest.param("lookup", "s1", 60.0, None, 2, 9.0, id="lookup-crash-after-hedge"),
        pytest.param("mutation", "s1", 1.0, None, 2, 9.0, id="mutation-with-new-keys"),
        pytest.param("search", "s1", 1.0, None, 2, 9.0, id="search-crashes-one-shard"),
        # The first calls of all shards run concurrently; one probe follows.
        pytest.param(
            "search", "s0 s1 s2", 1.0, None, 4, 9.0, id="search-crashes-all-shards"
        ),
        pytest.param(
            "search", "s0 s1 s2", 1.0, 8.0, 4, 9.0, id="search-resent-concurrently"
        ),
        # Without credit, the first query ends before its probe is sent.
        pytest.param("search", "s0 s1 s2", 1.0, None, 4, -20.0, id="search-no-credit"),
    ],
)
def test_crashing_request_loses_few_replicas(
    kind, crash_shards, crash_ms, gap_ms, n_lost_max, credit
):
    """Guards against one more crashed replica for each resend of a request."""

    async def scenario():
        fleet = Fleet()
        fleet.upstreams.crashing.add("poison")
        fleet.upstreams.crash_shards = set(crash_shards.split())
        fleet.upstreams.crash_ms = crash_ms
        for harness in fleet.harnesses:
            harness.query._budgets["c"]._credit = credit
        outcomes = await resend_everywhere(fleet, kind, gap_ms)
        assert len(fleet.upstreams.dead) <= n_lost_max
        assert outcomes[-1].failure.kind is QUARANTINED
        assert outcomes[-1].run_state.value == "no"
        other = await fleet.harnesses[2].query.serve(
            fleet.harnesses[2].request("lookup", 9)
        )
        assert isinstance(other, Answer)

    run_virtual(scenario())


@pytest.mark.parametrize(
    ("kind", "failed_names"),
    [
        pytest.param("search", ["r00", "r10", "r20"], id="zone"),
        pytest.param("search", ["r01", "r11"], id="rack-of-two-shards"),
        pytest.param("search", ["r00"], id="one-replica"),
        pytest.param("lookup", ["r10", "r11"], id="two-replicas-of-a-shard"),
    ],
)
@pytest.mark.parametrize("interval_ms", [0.0, 4.0], ids=["simultaneous", "one-by-one"])
@pytest.mark.parametrize(
    "can_exchange", [True, False], ids=["peers-reachable", "peers-unreachable"]
)
def test_zone_outage_quarantines_no_request(
    kind, failed_names, can_exchange, interval_ms
):
    """Guards against the quarantine of queries in flight when a zone or rack fails."""

    async def scenario():
        fleet = Fleet(can_exchange)
        upstreams = fleet.upstreams

        def fail_replicas(event):
            if event == "written" and len(upstreams.runs) == 3:
                loop = asyncio.get_running_loop()
                for index, name in enumerate(failed_names):
                    delay_s = index * interval_ms / 1000.0
                    loop.call_later(delay_s, upstreams.dead.add, name)

        upstreams.on_event = fail_replicas
        outcomes = await asyncio.gather(
            *(fleet.send(i % N_INSTANCES, kind, i) for i in range(6))
        )
        outcomes.append(await fleet.send(1, kind, 7))
        assert [item.account.coverage_ratio for item in outcomes] == [1.0] * 7

    run_virtual(scenario())


def test_peers_are_warned_before_the_probe():
    """Guards against a resend at another instance that crashes a third replica.

    Peers have to receive the suspicion before the probe is sent to a second replica.
    """

    async def scenario():
        fleet = Fleet()
        fleet.upstreams.crashing.add("poison")
        is_suspected_at_peer = []

        def record_suspicion(event):
            now_ms = fleet.upstreams.clock.now_ms()
            peer = fleet.harnesses[1].registry
            is_suspected_at_peer.append(peer.is_suspected("poison", now_ms))

        fleet.upstreams.on_event = record_suspicion
        await fleet.send(0, "lookup", 1)
        assert is_suspected_at_peer == [False, True]

    run_virtual(scenario())


def test_crash_by_a_suspected_request_is_no_replica_failure():
    """Guards against counting a crash as a failure of the replica.

    Otherwise a replica that a request crashed would not receive calls after its
    restart.
    """

    async def scenario():
        fleet = Fleet()
        fleet.upstreams.crashing.add("poison")
        await fleet.send(0, "lookup", 1)
        router = fleet.harnesses[0].directory.router("g")
        lost = [run[2] for run in fleet.upstreams.runs]
        assert [router.state_of(name).n_failures_in_row for name in lost] == [1, 0]

    run_virtual(scenario())
