"""Tests of membership under faults of instances, the network and the store.

After a fault some instances may keep a wrong view of the fleet, for example a failed
member that is never removed or a live one that is. The matrix combines each state of
an instance's life with each fault.
"""

import asyncio

import pytest

from chestnuthall.daemon.tests.virtual_fleet import VirtualFleet
from chestnuthall.standins.virtual_time import run_virtual

N_INSTANCES = 9
LAST_NAME = "entry-8"


def _instance_names(n=N_INSTANCES):
    return {f"entry-{index}" for index in range(n)}


async def _join(fleet):
    """Start the last instance; it is still joining."""
    fleet.start(LAST_NAME)


async def _serve(fleet):
    """Start the last instance and wait until every instance knows it."""
    fleet.start(LAST_NAME)
    await fleet.wait_until_converged()


async def _leave(fleet):
    """Let the last instance announce its leave; its process keeps running."""
    await _serve(fleet)
    await fleet.instances[LAST_NAME].membership.announce_leave()


STEPS = {"joining": _join, "serving": _serve, "leaving": _leave}


async def _kill(fleet):
    fleet.kill(LAST_NAME)
    return _instance_names() - {LAST_NAME}


async def _kill_and_unlist(fleet):
    fleet.kill(LAST_NAME, is_listed=False)
    return _instance_names() - {LAST_NAME}


async def _replace(fleet):
    """Kill the instance and restart it at once under its name at a new address."""
    fleet.kill(LAST_NAME)
    fleet.start(LAST_NAME, "10.0.1.8:1")
    return _instance_names()


async def _replace_with_slow_clock(fleet):
    """Restart the instance with a wall clock earlier than its predecessor's."""
    fleet.kill(LAST_NAME)
    fleet.start(LAST_NAME, wall_offset_ms=0.0)
    return _instance_names()


async def _pause(fleet):
    """Pause the process for longer than any timeout, then resume it."""
    host = fleet.instances[LAST_NAME].host
    host.pause()
    await asyncio.sleep(30.0)
    host.resume()
    return None


async def _isolate(fleet):
    """Drop all messages to and from the instance for 30 s."""
    others = fleet.addresses(_instance_names() - {LAST_NAME})
    fleet.network.drop_messages_both_ways([fleet.instances[LAST_NAME].address], others)
    await asyncio.sleep(30.0)
    fleet.network.restore_messages()
    return None


async def _drop_outgoing_messages(fleet):
    others = fleet.addresses(_instance_names() - {LAST_NAME})
    fleet.network.drop_messages([fleet.instances[LAST_NAME].address], others)
    await asyncio.sleep(30.0)
    fleet.network.restore_messages()
    return None


async def _reuse_address(fleet):
    """Start another instance at the address of one that was killed."""
    address = fleet.kill(LAST_NAME).address
    fleet.start("entry-77", address)
    return (_instance_names() - {LAST_NAME}) | {"entry-77"}


async def _kill_in_store_outage(fleet):
    fleet.is_store_unavailable = True
    fleet.kill(LAST_NAME)
    return _instance_names() - {LAST_NAME}


async def _restart_while_listed_as_leaving(fleet):
    """Restart the instance while its list entry is the predecessor's, leaving."""
    fleet.add_to_instance_list(LAST_NAME, fleet.instances[LAST_NAME].address, "leaving")
    await asyncio.sleep(1.0)
    fleet.kill(LAST_NAME)
    await asyncio.sleep(1.0)
    fleet.start(LAST_NAME, is_listed=False)
    return _instance_names()


async def _unlist(fleet):
    fleet.remove_from_instance_list(LAST_NAME)
    await asyncio.sleep(5.0)
    return None


async def _list_unknown_instance(fleet):
    """List an instance without a process; it must be dropped from the counts."""
    fleet.add_to_instance_list("entry-77", "10.0.9.9:1")
    await asyncio.sleep(30.0)
    return None


FAULTS = {
    "killed": _kill,
    "killed-and-unlisted": _kill_and_unlist,
    "replaced": _replace,
    "replaced-by-slow-clock": _replace_with_slow_clock,
    "paused": _pause,
    "isolated": _isolate,
    "outgoing-messages-lost": _drop_outgoing_messages,
    "address-reused": _reuse_address,
    "killed-in-store-outage": _kill_in_store_outage,
    "restarted-while-listed-as-leaving": _restart_while_listed_as_leaving,
    "unlisted": _unlist,
    "unknown-instance-listed": _list_unknown_instance,
}


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("fault", FAULTS)
def test_all_views_agree_after_a_fault(step, fault):
    """All running instances must converge to the same, correct view of the fleet."""

    async def scenario():
        fleet = VirtualFleet(N_INSTANCES - 1)
        await fleet.wait_until_converged()
        await STEPS[step](fleet)
        expected = await FAULTS[fault](fleet)
        if expected is None:
            expected = _instance_names() - ({LAST_NAME} if step == "leaving" else set())
        await fleet.wait(
            lambda: fleet.have_equal_views(expected) and not fleet.n_joining(), 40.0
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
def test_paused_instance_keeps_its_peers_live(pause_s, n_paused, seed):
    """A resumed process must not attribute its own pause to failures of its peers."""

    async def scenario():
        fleet = VirtualFleet(N_INSTANCES, seed)
        await fleet.wait_until_converged()
        paused = [fleet.instances[f"entry-{index}"] for index in range(n_paused)]
        for instance in paused:
            instance.host.pause()
        await asyncio.sleep(pause_s)
        others = _instance_names() - {item.name for item in paused}
        for instance in paused:
            instance.host.resume()
        n_missing = 0
        for _ in range(200):
            await asyncio.sleep(0.1)
            for instance in paused:
                n_missing += len(others - instance.live_names)
        await fleet.wait_until_converged()
        return n_missing

    assert run_virtual(scenario()) == 0


@pytest.mark.parametrize("n_on_one_side", [1, 3, 4])
def test_network_partition_heals_and_budgets_stay_divided(n_on_one_side):
    """Both sides must rejoin, and divide budgets by the whole fleet meanwhile."""

    async def scenario():
        fleet = VirtualFleet(N_INSTANCES)
        await fleet.wait_until_converged()
        one_side = [f"entry-{index}" for index in range(n_on_one_side)]
        other_side = sorted(_instance_names() - set(one_side))
        fleet.network.drop_messages_both_ways(
            fleet.addresses(one_side), fleet.addresses(other_side)
        )
        n_holders_min = N_INSTANCES
        for _ in range(1200):
            await asyncio.sleep(0.1)
            for instance in fleet.instances.values():
                counts = instance.membership.counts
                n_holders_min = min(n_holders_min, counts.n_connection_holders)
        fleet.network.restore_messages()
        await fleet.wait(lambda: fleet.have_equal_views(_instance_names()), 60.0)
        return n_holders_min

    assert run_virtual(scenario()) == N_INSTANCES


def test_slow_instance_can_refute_its_suspicion():
    """An instance must not be removed if it refutes its suspicion, even slowly."""

    async def scenario():
        fleet = VirtualFleet(N_INSTANCES)
        await fleet.wait_until_converged()
        fleet.network.set_extra_delay(fleet.instances[LAST_NAME].address, 600.0)
        await asyncio.sleep(2.5)
        fleet.network.set_extra_delay(fleet.instances[LAST_NAME].address, 0.0)
        n_incomplete_views = 0
        for _ in range(200):
            await asyncio.sleep(0.1)
            n_incomplete_views += not fleet.have_equal_views(_instance_names())
        return n_incomplete_views

    assert run_virtual(scenario()) == 0


def test_superseded_process_is_notified():
    """A paused process whose name was reused must be notified that it must leave."""

    async def scenario():
        fleet = VirtualFleet(N_INSTANCES)
        await fleet.wait_until_converged()
        await asyncio.sleep(60.0)
        predecessor = fleet.instances[LAST_NAME]
        notified = []
        predecessor.membership.on_superseded(lambda: notified.append("old"))
        predecessor.host.pause()
        await asyncio.sleep(20.0)
        successor = fleet.start(LAST_NAME, "10.0.1.8:1")
        successor.membership.on_superseded(lambda: notified.append("new"))
        await fleet.wait_until_converged()
        predecessor.host.resume()
        await asyncio.sleep(20.0)
        return notified

    assert run_virtual(scenario()) == ["old"]


def test_isolated_instance_keeps_its_view():
    """An instance that receives no message must not declare its peers failed."""

    async def scenario():
        fleet = VirtualFleet(N_INSTANCES)
        await fleet.wait_until_converged()
        isolated = fleet.instances[LAST_NAME]
        others = fleet.addresses(_instance_names() - {LAST_NAME})
        fleet.network.drop_messages_both_ways([isolated.address], others)
        await asyncio.sleep(60.0)
        states = [item.state for item in isolated.membership.members()]
        return isolated.membership.n_instances, states.count("suspect")

    n_instances, n_suspected = run_virtual(scenario())
    assert n_instances == N_INSTANCES
    # Only the first probes, sent before 4 s had passed without any answer, raise
    # suspicions.
    assert n_suspected <= 4


def test_one_unreachable_peer_raises_no_suspicion():
    """Indirect probes must reach an instance that a single peer cannot reach."""

    async def scenario():
        fleet = VirtualFleet(N_INSTANCES)
        await fleet.wait_until_converged()
        one_side, other_side = fleet.addresses(["entry-0", LAST_NAME])
        fleet.network.drop_messages_both_ways([one_side], [other_side])
        n_suspected = 0
        for _ in range(600):
            await asyncio.sleep(0.1)
            states = fleet.instances["entry-1"].membership.members()
            n_suspected += any(item.state != "alive" for item in states)
        return n_suspected

    assert run_virtual(scenario()) == 0


def test_instance_listed_as_leaving_is_counted_as_leaving():
    """The platform's list must be applied before the instance announces its leave."""

    async def scenario():
        fleet = VirtualFleet(N_INSTANCES)
        await fleet.wait_until_converged()
        fleet.add_to_instance_list(
            LAST_NAME, fleet.instances[LAST_NAME].address, "leaving"
        )
        await asyncio.sleep(0.5)
        counts = fleet.instances["entry-0"].membership.counts
        return counts.n_live, counts.n_leaving

    assert run_virtual(scenario()) == (N_INSTANCES - 1, 1)
