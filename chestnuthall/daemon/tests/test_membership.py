"""Fault matrix of membership: step of an instance's life x fault."""

import asyncio

import pytest

from chestnuthall.daemon.tests.virtual_fleet import VirtualFleet
from chestnuthall.standins.virtual_time import run_virtual

N = 9
LAST = "entry-8"


def _names(n=N):
    return {f"entry-{index}" for index in range(n)}


async def _join(fleet):
    """The last instance has just started."""
    fleet.start(LAST)


async def _serve(fleet):
    """The last instance is a member of long standing."""
    fleet.start(LAST)
    await fleet.settle()


async def _leave(fleet):
    """The last instance leaves and still runs."""
    await _serve(fleet)
    await fleet.instances[LAST].membership.announce_leave()


STEPS = {"joining": _join, "serving": _serve, "leaving": _leave}


async def _is_killed(fleet):
    fleet.kill(LAST)
    return _names() - {LAST}


async def _is_killed_and_unlisted(fleet):
    fleet.kill(LAST, is_listed=False)
    return _names() - {LAST}


async def _is_replaced(fleet):
    """Killed and started again at once, under its name at a new address."""
    fleet.kill(LAST)
    fleet.start(LAST, "10.0.1.8:1")
    return _names()


async def _is_replaced_by_slow_clock(fleet):
    """The new process reads an earlier wall clock than its predecessor did."""
    fleet.kill(LAST)
    fleet.start(LAST, wall_offset_ms=0.0)
    return _names()


async def _is_paused(fleet):
    """Stopped for longer than any timeout, then resumed."""
    host = fleet.instances[LAST].host
    host.pause()
    await asyncio.sleep(30.0)
    host.resume()
    return None


async def _is_cut_off(fleet):
    """Reaches nobody for 30 s; then the network heals."""
    others = fleet.addresses(_names() - {LAST})
    fleet.network.cut_both([fleet.instances[LAST].address], others)
    await asyncio.sleep(30.0)
    fleet.network.heal()
    return None


async def _hears_but_is_not_heard(fleet):
    others = fleet.addresses(_names() - {LAST})
    fleet.network.cut([fleet.instances[LAST].address], others)
    await asyncio.sleep(30.0)
    fleet.network.heal()
    return None


async def _address_is_reused(fleet):
    """Another instance starts at the address of one that was killed."""
    address = fleet.kill(LAST).address
    fleet.start("entry-77", address)
    return (_names() - {LAST}) | {"entry-77"}


async def _is_killed_in_store_outage(fleet):
    fleet.is_store_down = True
    fleet.kill(LAST)
    return _names() - {LAST}


async def _returns_while_listed_as_leaving(fleet):
    """The list still shows how the predecessor left."""
    fleet.put_on_list(LAST, fleet.instances[LAST].address, "leaving")
    await asyncio.sleep(1.0)
    fleet.kill(LAST)
    await asyncio.sleep(1.0)
    fleet.start(LAST, is_listed=False)
    return _names()


async def _falls_off_the_list(fleet):
    fleet.drop_from_list(LAST)
    await asyncio.sleep(5.0)
    return None


async def _store_lists_a_stranger(fleet):
    """An entry without a process must be dropped from the counts."""
    fleet.put_on_list("entry-77", "10.0.9.9:1")
    await asyncio.sleep(30.0)
    return None


FAULTS = {
    "killed": _is_killed,
    "killed-and-unlisted": _is_killed_and_unlisted,
    "replaced": _is_replaced,
    "replaced-by-slow-clock": _is_replaced_by_slow_clock,
    "paused": _is_paused,
    "cut-off": _is_cut_off,
    "not-heard": _hears_but_is_not_heard,
    "address-reused": _address_is_reused,
    "killed-in-store-outage": _is_killed_in_store_outage,
    "returns-listed-leaving": _returns_while_listed_as_leaving,
    "unlisted": _falls_off_the_list,
    "stranger-listed": _store_lists_a_stranger,
}


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("fault", FAULTS)
def test_all_views_agree_after_a_fault(step, fault):
    """Every running instance must end with the same, right view of the fleet."""

    async def scenario():
        fleet = VirtualFleet(N - 1)
        await fleet.settle()
        await STEPS[step](fleet)
        expected = await FAULTS[fault](fleet)
        if expected is None:
            expected = _names() - ({LAST} if step == "leaving" else set())
        await fleet.wait(
            lambda: fleet.all_see(expected) and not fleet.n_joining(), 40.0
        )
        n_live = {
            item.membership.counts.n_live
            for name, item in fleet.instances.items()
            if name in expected
        }
        return n_live, {len(expected)}

    n_live, n_expected = run_virtual(scenario())
    assert n_live == n_expected


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("pause_s", "n_paused"), [(0.7, 1), (3.0, 1), (30.0, 1), (30.0, 3)]
)
def test_pause_condemns_no_peer(pause_s, n_paused, seed):
    """A resumed process must not take its own pause for the failure of peers."""

    async def scenario():
        fleet = VirtualFleet(N, seed)
        await fleet.settle()
        paused = [fleet.instances[f"entry-{index}"] for index in range(n_paused)]
        for instance in paused:
            instance.host.pause()
        await asyncio.sleep(pause_s)
        others = _names() - {item.name for item in paused}
        for instance in paused:
            instance.host.resume()
        n_missing = 0
        for _ in range(200):
            await asyncio.sleep(0.1)
            for instance in paused:
                n_missing += len(others - instance.live_names)
        await fleet.settle()
        return n_missing

    assert run_virtual(scenario()) == 0


@pytest.mark.parametrize("side", [1, 3, 4])
def test_partition_heals_and_budgets_stay_divided(side):
    """Two parts must find each other again, and never share a budget twice."""

    async def scenario():
        fleet = VirtualFleet(N)
        await fleet.settle()
        one = [f"entry-{index}" for index in range(side)]
        other = sorted(_names() - set(one))
        fleet.network.cut_both(fleet.addresses(one), fleet.addresses(other))
        least = N
        for _ in range(1200):
            await asyncio.sleep(0.1)
            for instance in fleet.instances.values():
                counts = instance.membership.counts
                least = min(least, counts.n_connection_holders)
        fleet.network.heal()
        await fleet.wait(lambda: fleet.all_see(_names()), 60.0)
        return least

    assert run_virtual(scenario()) == N


def test_removal_needs_a_time_to_answer():
    """A slow instance that answers its suspicion must not be removed."""

    async def scenario():
        fleet = VirtualFleet(N)
        await fleet.settle()
        fleet.network.set_delay(fleet.instances[LAST].address, 600.0)
        await asyncio.sleep(2.5)
        fleet.network.set_delay(fleet.instances[LAST].address, 0.0)
        n_gone = 0
        for _ in range(200):
            await asyncio.sleep(0.1)
            n_gone += not fleet.all_see(_names())
        return n_gone

    assert run_virtual(scenario()) == 0


def test_superseded_process_is_told():
    """A paused process whose name was given to another must learn to leave."""

    async def scenario():
        fleet = VirtualFleet(N)
        await fleet.settle()
        await asyncio.sleep(60.0)
        old = fleet.instances[LAST]
        told = []
        old.membership.on_superseded(lambda: told.append("old"))
        old.host.pause()
        await asyncio.sleep(20.0)
        new = fleet.start(LAST, "10.0.1.8:1")
        new.membership.on_superseded(lambda: told.append("new"))
        await fleet.settle()
        old.host.resume()
        await asyncio.sleep(20.0)
        return told

    assert run_virtual(scenario()) == ["old"]


def test_cut_off_instance_keeps_its_view():
    """One that hears nobody must not take the whole fleet for lost."""

    async def scenario():
        fleet = VirtualFleet(N)
        await fleet.settle()
        alone = fleet.instances[LAST]
        others = fleet.addresses(_names() - {LAST})
        fleet.network.cut_both([alone.address], others)
        await asyncio.sleep(60.0)
        states = [item.state for item in alone.membership.members()]
        return alone.membership.n_instances, states.count("suspect")

    n_instances, n_suspected = run_virtual(scenario())
    assert n_instances == N
    # Only the first probes, before nobody had answered for 4 s, raise any.
    assert n_suspected <= 4


def test_one_broken_path_raises_no_suspicion():
    """Helpers must vouch for an instance that one other cannot reach."""

    async def scenario():
        fleet = VirtualFleet(N)
        await fleet.settle()
        one, other = fleet.addresses(["entry-0", LAST])
        fleet.network.cut_both([one], [other])
        n_suspected = 0
        for _ in range(600):
            await asyncio.sleep(0.1)
            states = fleet.instances["entry-1"].membership.members()
            n_suspected += any(item.state != "alive" for item in states)
        return n_suspected

    assert run_virtual(scenario()) == 0


def test_listed_as_leaving_is_counted_as_leaving():
    """The platform's word counts before the instance has said anything."""

    async def scenario():
        fleet = VirtualFleet(N)
        await fleet.settle()
        fleet.put_on_list(LAST, fleet.instances[LAST].address, "leaving")
        await asyncio.sleep(0.5)
        counts = fleet.instances["entry-0"].membership.counts
        return counts.n_live, counts.n_leaving

    assert run_virtual(scenario()) == (N - 1, 1)
