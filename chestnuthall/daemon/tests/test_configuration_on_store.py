"""Guards configuration against faults of the store and of peers, over time.

Real keepers run on the in-memory store in virtual time.
"""

import asyncio
from contextlib import suppress
from itertools import combinations

import pytest

from chestnuthall.core.configuration import RevisionDecision
from chestnuthall.core.results import CONFIGURATION_REJECTED
from chestnuthall.daemon.tests.store_world import (
    DOCUMENT,
    StoreWorld,
    configuration_text,
)
from chestnuthall.ports import WatchBatch
from chestnuthall.standins.objectapi import Outage, StoreFaults
from chestnuthall.standins.virtual_time import run_virtual

BOUND_MS = 8_000.0
FAULTS = {
    "calm": {},
    "refused": {"outage": Outage.REFUSED, "outage_ms": 20_000.0},
    "hanging": {"outage": Outage.HANGING, "outage_ms": 20_000.0},
    "503": {"outage": Outage.ERROR_503, "outage_ms": 20_000.0},
    "slow": {"delay_ms": 900.0},
    "stale-reads": {"stale_read_ms": 3_000.0},
    "rate-limit": {"n_calls_per_s_max": 1},
}
STEPS = {"before-start": -1.0, "during-first-read": 0.001, "during-watch": 6.0}
# Faults in which every call fails, so that nobody can reach the store.
OUTAGES = {name for name, fault in FAULTS.items() if "outage" in fault}


async def run_keepers(world, scenario):
    """Run the keepers and the exchange between them around a scenario."""
    logs = [[] for _ in world.keepers]
    for keeper, log in zip(world.keepers, logs, strict=True):
        keeper.on_change(
            lambda item, log=log: log.append((item.revision, world.clock.now_ms()))
        )
    tasks = [asyncio.ensure_future(keeper.run()) for keeper in world.keepers]
    tasks.append(asyncio.ensure_future(world.tell_peers()))
    try:
        result = await scenario()
    finally:
        for task in tasks:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
    for log in logs:
        revisions = [revision for revision, _ in log]
        assert revisions == sorted(set(revisions)), "a revision reverted"
    return logs, result


def run_fault_case(step, faults, watchers):
    """Accept a revision under a fault, or after an outage, and check its way."""

    async def scenario(world):
        await world.accept(1)
        if STEPS[step] < 0.0:
            world.service.set_faults(StoreFaults(**faults))

        async def act():
            await asyncio.sleep(max(0.0, STEPS[step]))
            world.service.set_faults(StoreFaults(**faults))
            await asyncio.sleep(21.0 if "outage" in faults else 0.5)
            accepted_ms = world.clock.now_ms()
            await world.accept(2)
            await asyncio.sleep(BOUND_MS / 1000.0)
            return accepted_ms

        return await run_keepers(world, act)

    logs, accepted_ms = run_virtual(scenario(StoreWorld(watchers=watchers)))
    for log in logs:
        assert log[-1][0] == 2
        assert log[-1][1] - accepted_ms <= BOUND_MS


@pytest.mark.parametrize("watchers", [(0, 1, 2), (1,)], ids=["all-watch", "one"])
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", STEPS)
def test_fault_at_step(step, fault, watchers):
    """Revisions must not revert under a fault, and arrive in time after it."""
    run_fault_case(step, FAULTS[fault], watchers)


@pytest.mark.parametrize(
    ("first", "second"),
    [
        pytest.param(a, b, id=f"{a}+{b}")
        for a, b in combinations(FAULTS, 2)
        if a != "calm" and b not in OUTAGES
    ],
)
def test_pair_of_faults(first, second):
    """Two faults together must not break what each alone keeps."""
    run_fault_case("during-watch", {**FAULTS[first], **FAULTS[second]}, (0, 1))


@pytest.mark.parametrize("watchers", [(0,), ()], ids=["watcher", "not-a-watcher"])
@pytest.mark.parametrize("offset_s", [0.0, 0.7, 1.9, 3.3, 4.9])
def test_hung_call_does_not_delay(offset_s, watchers):
    """A call that hangs when a store recovers must not hold news back."""

    async def scenario(world):
        await world.accept(1)

        async def act():
            await asyncio.sleep(10.0 + offset_s)
            world.service.set_faults(
                StoreFaults(outage=Outage.HANGING, outage_ms=100.0)
            )
            await asyncio.sleep(0.2)
            await world.accept(2)
            await asyncio.sleep(BOUND_MS / 1000.0)

        return await run_keepers(world, act)

    logs, _ = run_virtual(scenario(StoreWorld(n=1, watchers=watchers)))
    assert logs[0][-1][0] == 2


def test_watch_that_ends_at_once_is_not_repeated_at_once():
    """A store that ends watches early must not be asked in a tight loop."""

    async def scenario(world):
        await world.accept(1)

        async def end_at_once(kind, after_version, timeout_ms):
            return WatchBatch(after_version, ())

        world.clients[0].watch = end_at_once
        task = asyncio.ensure_future(world.keepers[0].run())
        await asyncio.sleep(60.0)
        task.cancel()
        return sum(world.stores[0].calls_in_last_minute().values())

    assert run_virtual(scenario(StoreWorld(n=1))) <= 65


def test_cut_off_instance_learns_from_peers():
    """An instance that reaches peers but not the store must follow them."""

    async def scenario(world):
        await world.accept(1)
        world.clients[2].is_cut_off = True

        async def act():
            await asyncio.sleep(5.0)
            await world.accept(2)
            await asyncio.sleep(BOUND_MS / 1000.0)

        return await run_keepers(world, act)

    logs, _ = run_virtual(scenario(StoreWorld()))
    assert [log[-1][0] for log in logs] == [2, 2, 2]


@pytest.mark.parametrize(
    ("stale_ms", "is_cut_off", "peer_revision", "expected"),
    [
        pytest.param(0.0, False, None, 2, id="store-only"),
        pytest.param(0.0, True, 2, 2, id="peers-only"),
        pytest.param(5_000.0, False, 2, 2, id="stale-store-newer-peer"),
        pytest.param(0.0, False, 1, 2, id="older-peer"),
        pytest.param(0.0, True, None, 0, id="neither"),
    ],
)
def test_start_takes_the_highest(stale_ms, is_cut_off, peer_revision, expected):
    """A starting instance must not serve an older revision than it can learn."""

    async def scenario(world):
        await world.accept(1)
        await asyncio.sleep(6.0)
        await world.accept(2)
        await asyncio.sleep(1.0)
        if peer_revision is not None:
            world.keepers[1].offer_text(configuration_text(peer_revision), "test")
        world.service.set_faults(StoreFaults(delay_ms=50.0, stale_read_ms=stale_ms))
        world.clients[0].is_cut_off = is_cut_off
        task = asyncio.ensure_future(world.keepers[0].run())
        await asyncio.sleep(0.04)
        assert not world.keepers[0].is_ready or is_cut_off
        await asyncio.sleep(0.011)
        ready = world.keepers[0].is_ready
        task.cancel()
        return ready, world.keepers[0].revision

    ready, revision = run_virtual(scenario(StoreWorld()))
    assert (ready, revision) == (expected > 0, expected)


def test_trimmed_history_is_read_again():
    """A watch that falls behind the kept history must not miss a revision."""

    async def scenario(world):
        await world.accept(1)

        async def act():
            await asyncio.sleep(1.0)
            world.clients[0].is_cut_off = True
            await asyncio.sleep(5.0)
            await world.accept(2)
            world.service.table.trim_history()
            world.clients[0].is_cut_off = False
            await asyncio.sleep(BOUND_MS / 1000.0)

        return await run_keepers(world, act)

    logs, _ = run_virtual(scenario(StoreWorld(n=1, watchers=(0,))))
    assert [revision for revision, _ in logs[0]] == [1, 2]


@pytest.mark.parametrize(
    ("faults", "is_written", "watchers", "n_max"),
    [
        pytest.param({}, True, (0,), 16, id="watcher"),
        pytest.param({}, True, (), 15, id="not-a-watcher"),
        pytest.param({}, False, (0,), 20, id="no-object"),
        pytest.param({}, False, (), 62, id="no-object-no-watcher"),
        pytest.param({"outage": Outage.REFUSED}, True, (0,), 65, id="refused"),
        pytest.param({"outage": Outage.ERROR_503}, True, (), 65, id="503"),
        pytest.param({"stale_read_ms": 9e9}, True, (), 65, id="stale"),
    ],
)
def test_calls_per_minute(faults, is_written, watchers, n_max):
    """Nothing may poll the store in a tight loop, whatever it answers."""

    async def scenario(world):
        if is_written:
            await world.accept(1)
        await asyncio.sleep(1.0)
        world.service.set_faults(StoreFaults(**faults))
        task = asyncio.ensure_future(world.keepers[0].run())
        await asyncio.sleep(60.0)
        task.cancel()
        return sum(world.stores[0].calls_in_last_minute().values())

    n_calls = run_virtual(scenario(StoreWorld(n=1, watchers=watchers)))
    print(f"{n_calls} calls in a minute")
    assert 0 < n_calls <= n_max


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (configuration_text(3), RevisionDecision.KEEP),
        (configuration_text(2), RevisionDecision.KEEP),
        (
            configuration_text(3, DOCUMENT + "\n"),
            RevisionDecision.REJECT_SAME_REVISION_OTHER_DIGEST,
        ),
        (
            configuration_text(4, environment="production"),
            RevisionDecision.REJECT_OTHER_ENVIRONMENT,
        ),
        (configuration_text(4), RevisionDecision.APPLY),
        ("{}", CONFIGURATION_REJECTED),
    ],
    ids=["repeated", "older", "other-digest", "other-environment", "newer", "bad"],
)
def test_offers(text, expected):
    """An offer from any source may only move the revision forward."""

    async def scenario(world):
        keeper = world.keepers[0]
        keeper.offer_text(configuration_text(3), "test")
        decision = keeper.offer_text(text, "test")
        return getattr(decision, "kind", decision), keeper.revision

    decision, revision = run_virtual(scenario(StoreWorld()))
    assert decision is expected
    assert revision == (4 if expected is RevisionDecision.APPLY else 3)


@pytest.mark.parametrize(
    ("in_force", "confirmed", "is_confirmed"),
    [(2, 2, True), (2, 1, True), (1, 2, False), (None, 1, False)],
    ids=["same", "older", "behind", "none-in-force"],
)
def test_confirmation_by_a_peer(in_force, confirmed, is_confirmed):
    """An instance that is behind must not count as up to date."""

    async def scenario(world):
        keeper = world.keepers[0]
        if in_force is not None:
            keeper.offer_text(configuration_text(in_force), "test")
        keeper.confirm(confirmed, 300.0)
        return keeper.confirmation_age_ms

    age_ms = run_virtual(scenario(StoreWorld()))
    assert age_ms == (300.0 if is_confirmed else float("inf"))


def test_stale_read_confirms_nothing():
    """A read that is provably from the past must not count as up to date."""

    async def scenario(world):
        await world.accept(1)
        keeper = world.keepers[0]
        keeper.offer_text(configuration_text(2), "peer")
        task = asyncio.ensure_future(keeper.run())
        await asyncio.sleep(0.6)
        task.cancel()
        return keeper.confirmation_age_ms, keeper.revision

    age_ms, revision = run_virtual(scenario(StoreWorld(watchers=())))
    assert (age_ms, revision) == (float("inf"), 2)


def test_failing_listener_does_not_stop_the_others():
    """A defect in one listener must not keep others on an old revision."""

    async def scenario(world):
        keeper, seen = world.keepers[0], []
        keeper.on_change(lambda item: 1 / 0)
        keeper.on_change(lambda item: seen.append(item.revision))
        keeper.offer_text(configuration_text(1), "test")
        return seen

    assert run_virtual(scenario(StoreWorld())) == [1]
