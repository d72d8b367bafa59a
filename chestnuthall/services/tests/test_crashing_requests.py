"""Guards the number of replicas that one crashing request costs the fleet."""

import asyncio
from random import Random

import pytest

from chestnuthall.core.model import Answer
from chestnuthall.core.results import QUARANTINED
from chestnuthall.services.tests._world import FakeUpstreams, LoopTimeClock, World
from chestnuthall.standins.virtual_time import run_virtual

N_INSTANCES = 3


class Fleet:
    """Instances that tell each other their register's notices."""

    def __init__(self, can_talk=True):
        self.upstreams = FakeUpstreams(LoopTimeClock(), Random(1))
        self.can_talk = can_talk
        self.worlds = [
            World(i, self.upstreams, lambda i=i: self.disseminate(i))
            for i in range(N_INSTANCES)
        ]
        for world in self.worlds:
            # Credit for hedges, as after a calm stretch.
            world.query._budgets["c"].record_calls(range(1_000), 0.0, 0.0)

    async def disseminate(self, sender):
        if not self.can_talk:
            await asyncio.sleep(1.0)
            return
        await asyncio.sleep(0.002)
        now_ms = self.upstreams.clock.now_ms()
        for notice in self.worlds[sender].register.notices(now_ms):
            for world in self.worlds:
                if world is not self.worlds[sender]:
                    world.register.merge(
                        notice.fingerprint,
                        notice.replica_names,
                        notice.expires_ms,
                        now_ms,
                    )
        await asyncio.sleep(0.002)

    async def send(self, instance, kind, number):
        world = self.worlds[instance]
        request = world.request(kind, number, "poison", key=f"key-{number}")
        return await world.query.serve(request)


async def resend_everywhere(fleet, kind, gap_ms):
    """Send one request to each instance in turn, twice; return the outcomes."""
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
        # The calls of the first wave run at once; one probe follows.
        pytest.param("search", "s0 s1 s2", 1.0, None, 4, 9.0, id="search-crashes-all"),
        pytest.param(
            "search", "s0 s1 s2", 1.0, 8.0, 4, 9.0, id="search-resent-at-once"
        ),
        # Without credit the first query ends before its probe.
        pytest.param("search", "s0 s1 s2", 1.0, None, 4, -20.0, id="search-no-credit"),
    ],
)
def test_crashing_request_costs_few_replicas(
    kind, crash_shards, crash_ms, gap_ms, n_lost_max, credit
):
    """A request that its caller resends must not take down replica after replica."""

    async def scenario():
        fleet = Fleet()
        fleet.upstreams.crashing.add("poison")
        fleet.upstreams.crash_shards = set(crash_shards.split())
        fleet.upstreams.crash_ms = crash_ms
        for world in fleet.worlds:
            world.query._budgets["c"]._credit = credit
        outcomes = await resend_everywhere(fleet, kind, gap_ms)
        assert len(fleet.upstreams.dead) <= n_lost_max
        assert outcomes[-1].failure.kind is QUARANTINED
        assert outcomes[-1].run_state.value == "no"
        other = await fleet.worlds[2].query.serve(fleet.worlds[2].request("lookup", 9))
        assert isinstance(other, Answer)

    run_virtual(scenario())


@pytest.mark.parametrize(
    ("kind", "lost_names"),
    [
        pytest.param("search", ["r00", "r10", "r20"], id="zone"),
        pytest.param("search", ["r01", "r11"], id="rack-of-two-shards"),
        pytest.param("search", ["r00"], id="one-replica"),
        pytest.param("lookup", ["r10", "r11"], id="two-replicas-of-a-shard"),
    ],
)
@pytest.mark.parametrize("apart_ms", [0.0, 4.0], ids=["at-once", "one-by-one"])
@pytest.mark.parametrize("can_talk", [True, False], ids=["peers", "no-peers"])
def test_losses_of_a_zone_quarantine_no_request(kind, lost_names, can_talk, apart_ms):
    """A query in flight when a rack fails must not be blamed for it."""

    async def scenario():
        fleet = Fleet(can_talk)
        upstreams = fleet.upstreams

        def lose(event):
            if event == "written" and len(upstreams.runs) == 3:
                loop = asyncio.get_running_loop()
                for index, name in enumerate(lost_names):
                    delay_s = index * apart_ms / 1000.0
                    loop.call_later(delay_s, upstreams.dead.add, name)

        upstreams.on_event = lose
        outcomes = await asyncio.gather(
            *(fleet.send(i % N_INSTANCES, kind, i) for i in range(6))
        )
        outcomes.append(await fleet.send(1, kind, 7))
        assert [item.account.coverage_ratio for item in outcomes] == [1.0] * 7

    run_virtual(scenario())


def test_peers_know_before_the_second_replica_runs():
    """A resend at another instance must meet the suspicion, not a third replica."""

    async def scenario():
        fleet = Fleet()
        fleet.upstreams.crashing.add("poison")
        known = []

        def note(event):
            now_ms = fleet.upstreams.clock.now_ms()
            peer = fleet.worlds[1].register
            known.append(peer.is_suspected("poison", now_ms))

        fleet.upstreams.on_event = note
        await fleet.send(0, "lookup", 1)
        assert known == [False, True]

    run_virtual(scenario())


def test_loss_explained_by_a_suspect_is_no_evidence():
    """A replica that a bad request crashed must get calls as soon as it is back."""

    async def scenario():
        fleet = Fleet()
        fleet.upstreams.crashing.add("poison")
        await fleet.send(0, "lookup", 1)
        router = fleet.worlds[0].directory.router("g")
        lost = [run[2] for run in fleet.upstreams.runs]
        assert [router.state_of(name).n_failures_in_row for name in lost] == [1, 0]

    run_virtual(scenario())
