"""Tests of configuration updates under faults of the store and of peers.

A fault must neither revert an instance to an older revision nor delay a new one
beyond the limit, and must not make an instance call the store in a tight loop. The
real configuration managers run on the in-memory store in virtual time.
"""

import asyncio
from contextlib import suppress
from itertools import combinations

import pytest

from chestnuthall.core.configuration import RevisionDecision
from chestnuthall.core.results import CONFIGURATION_REJECTED
from chestnuthall.daemon.tests.shared_store_fleet import (
    DOCUMENT,
    SharedStoreFleet,
    configuration_text,
)
from chestnuthall.ports import WatchBatch
from chestnuthall.standins.objectapi import Outage, StoreFaults
from chestnuthall.standins.virtual_time import run_virtual

PROPAGATION_LIMIT_MS = 8_000.0
FAULTS = {
    "no-fault": {},
    "refused": {"outage": Outage.REFUSED, "outage_ms": 20_000.0},
    "hanging": {"outage": Outage.HANGING, "outage_ms": 20_000.0},
    "503": {"outage": Outage.ERROR_503, "outage_ms": 20_000.0},
    "slow": {"delay_ms": 900.0},
    "stale-reads": {"stale_read_ms": 3_000.0},
    "rate-limit": {"n_calls_per_s_max": 1},
}
STEPS = {"before-start": -1.0, "during-first-read": 0.001, "during-watch": 6.0}
# Faults under which every store call of every instance fails.
OUTAGES = {name for name, fault in FAULTS.items() if "outage" in fault}


async def run_managers(fleet, scenario):
    """Run a scenario while the managers run and exchange configurations."""
    logs = [[] for _ in fleet.managers]
    for manager, log in zip(fleet.managers, logs, strict=True):
        manager.add_listener(
            lambda item, log=log: log.append((item.revision, fleet.clock.now_ms()))
        )
    tasks = [asyncio.ensure_future(manager.run()) for manager in fleet.managers]
    tasks.append(asyncio.ensure_future(fleet.run_peer_exchange()))
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
    """Publish a revision under a fault or after an outage; check that it arrives."""

    async def scenario(fleet):
        await fleet.accept(1)
        if STEPS[step] < 0.0:
            fleet.service.set_faults(StoreFaults(**faults))

        async def publish_revision():
            await asyncio.sleep(max(0.0, STEPS[step]))
            fleet.service.set_faults(StoreFaults(**faults))
            await asyncio.sleep(21.0 if "outage" in faults else 0.5)
            accepted_ms = fleet.clock.now_ms()
            await fleet.accept(2)
            await asyncio.sleep(PROPAGATION_LIMIT_MS / 1000.0)
            return accepted_ms

        return await run_managers(fleet, publish_revision)

    logs, accepted_ms = run_virtual(scenario(SharedStoreFleet(watchers=watchers)))
    for log in logs:
        assert log[-1][0] == 2
        assert log[-1][1] - accepted_ms <= PROPAGATION_LIMIT_MS


@pytest.mark.parametrize("watchers", [(0, 1, 2), (1,)], ids=["all-watch", "one"])
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", STEPS)
def test_fault_at_step(step, fault, watchers):
    """A fault must not revert a revision, and a new one must arrive in time."""
    run_fault_case(step, FAULTS[fault], watchers)


@pytest.mark.parametrize(
    ("first", "second"),
    [
        pytest.param(a, b, id=f"{a}+{b}")
        for a, b in combinations(FAULTS, 2)
        if a != "no-fault" and b not in OUTAGES
    ],
)
def test_pair_of_faults(first, second):
    """The guarantees under a single fault must also hold under two at once."""
    run_fault_case("during-watch", {**FAULTS[first], **FAULTS[second]}, (0, 1))


@pytest.mark.parametrize("watchers", [(0,), ()], ids=["watcher", "not-a-watcher"])
@pytest.mark.parametrize("offset_s", [0.0, 0.7, 1.9, 3.3, 4.9])
def test_hung_call_does_not_delay_a_revision(offset_s, watchers):
    """A call that hangs while the store recovers must not delay a new revision."""

    async def scenario(fleet):
        await fleet.accept(1)

        async def publish_revision():
            await asyncio.sleep(10.0 + offset_s)
            fleet.service.set_faults(
                StoreFaults(outage=Outage.HANGING, outage_ms=100.0)
            )
            await asyncio.sleep(0.2)
            await fleet.accept(2)
            await asyncio.sleep(PROPAGATION_LIMIT_MS / 1000.0)

        return await run_managers(fleet, publish_revision)

    logs, _ = run_virtual(scenario(SharedStoreFleet(n_instances=1, watchers=watchers)))
    assert logs[0][-1][0] == 2


def test_watch_that_ends_early_is_not_repeated_in_a_loop():
    """A store that ends watches early must not be polled in a tight loop."""

    async def scenario(fleet):
        await fleet.accept(1)

        async def end_at_once(kind, after_version, timeout_ms):
            return WatchBatch(after_version, ())

        fleet.clients[0].watch = end_at_once
        task = asyncio.ensure_future(fleet.managers[0].run())
        await asyncio.sleep(60.0)
        task.cancel()
        return sum(fleet.stores[0].calls_in_last_minute().values())

    assert run_virtual(scenario(SharedStoreFleet(n_instances=1))) <= 65


def test_instance_without_store_receives_revisions_from_peers():
    """An instance that reaches its peers but not the store must follow its peers."""

    async def scenario(fleet):
        await fleet.accept(1)
        fleet.clients[2].is_disconnected = True

        async def publish_revision():
            await asyncio.sleep(5.0)
            await fleet.accept(2)
            await asyncio.sleep(PROPAGATION_LIMIT_MS / 1000.0)

        return await run_managers(fleet, publish_revision)

    logs, _ = run_virtual(scenario(SharedStoreFleet()))
    assert [log[-1][0] for log in logs] == [2, 2, 2]


@pytest.mark.parametrize(
    ("stale_ms", "is_disconnected", "peer_revision", "expected"),
    [
        pytest.param(0.0, False, None, 2, id="store-only"),
        pytest.param(0.0, True, 2, 2, id="peers-only"),
        pytest.param(5_000.0, False, 2, 2, id="stale-store-newer-peer"),
        pytest.param(0.0, False, 1, 2, id="older-peer"),
        pytest.param(0.0, True, None, 0, id="neither"),
    ],
)
def test_start_applies_the_highest_known_revision(
    stale_ms, is_disconnected, peer_revision, expected
):
    """A starting instance must not serve an older revision than it can obtain."""

    async def scenario(fleet):
        await fleet.accept(1)
        await asyncio.sleep(6.0)
        await fleet.accept(2)
        await asyncio.sleep(1.0)
        if peer_revision is not None:
            fleet.managers[1].offer_text(configuration_text(peer_revision), "test")
        fleet.service.set_faults(StoreFaults(delay_ms=50.0, stale_read_ms=stale_ms))
        fleet.clients[0].is_disconnected = is_disconnected
        task = asyncio.ensure_future(fleet.managers[0].run())
        await asyncio.sleep(0.04)
        assert not fleet.managers[0].is_ready or is_disconnected
        await asyncio.sleep(0.011)
        ready = fleet.managers[0].is_ready
        task.cancel()
        return ready, fleet.managers[0].revision

    ready, revision = run_virtual(scenario(SharedStoreFleet()))
    assert (ready, revision) == (expected > 0, expected)


def test_trimmed_watch_history_causes_a_new_read():
    """A watch that falls behind the retained history must not miss a revision."""

    async def scenario(fleet):
        await fleet.accept(1)

        async def publish_revision():
            await asyncio.sleep(1.0)
            fleet.clients[0].is_disconnected = True
            await asyncio.sleep(5.0)
            await fleet.accept(2)
            fleet.service.table.trim_history()
            fleet.clients[0].is_disconnected = False
            await asyncio.sleep(PROPAGATION_LIMIT_MS / 1000.0)

        return await run_managers(fleet, publish_revision)

    logs, _ = run_virtual(scenario(SharedStoreFleet(n_instances=1, watchers=(0,))))
    assert [revision for revision, _ in logs[0]] == [1, 2]


@pytest.mark.parametrize(
    ("faults", "is_written", "watchers", "n_calls_max"),
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
def test_calls_per_minute(faults, is_written, watchers, n_calls_max):
    """The store must not be polled in a tight loop, whatever it answers."""

    async def scenario(fleet):
        if is_written:
            await fleet.accept(1)
        await asyncio.sleep(1.0)
        fleet.service.set_faults(StoreFaults(**faults))
        task = asyncio.ensure_future(fleet.managers[0].run())
        await asyncio.sleep(60.0)
        task.cancel()
        return sum(fleet.stores[0].calls_in_last_minute().values())

    n_calls = run_virtual(scenario(SharedStoreFleet(n_instances=1, watchers=watchers)))
    print(f"{n_calls} calls in a minute")
    assert 0 < n_calls <= n_calls_max


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
    ids=["repeated", "older", "other-digest", "other-environment", "newer", "invalid"],
)
def test_offered_revision(text, expected):
    """A text offered by any source may only advance the revision."""

    async def scenario(fleet):
        manager = fleet.managers[0]
        manager.offer_text(configuration_text(3), "test")
        decision = manager.offer_text(text, "test")
        return getattr(decision, "kind", decision), manager.revision

    decision, revision = run_virtual(scenario(SharedStoreFleet()))
    assert decision is expected
    assert revision == (4 if expected is RevisionDecision.APPLY else 3)


@pytest.mark.parametrize(
    ("in_force", "confirmed", "is_confirmed"),
    [(2, 2, True), (2, 1, True), (1, 2, False), (None, 1, False)],
    ids=["same", "older", "behind", "none-in-force"],
)
def test_confirmation_by_a_peer(in_force, confirmed, is_confirmed):
    """A confirmation of a revision newer than the one in force must not count."""

    async def scenario(fleet):
        manager = fleet.managers[0]
        if in_force is not None:
            manager.offer_text(configuration_text(in_force), "test")
        manager.confirm(confirmed, 300.0)
        return manager.confirmation_age_ms

    age_ms = run_virtual(scenario(SharedStoreFleet()))
    assert age_ms == (300.0 if is_confirmed else float("inf"))


def test_stale_read_confirms_nothing():
    """A read older than the revision in force must not count as a confirmation."""

    async def scenario(fleet):
        await fleet.accept(1)
        manager = fleet.managers[0]
        manager.offer_text(configuration_text(2), "peer")
        task = asyncio.ensure_future(manager.run())
        await asyncio.sleep(0.6)
        task.cancel()
        return manager.confirmation_age_ms, manager.revision

    age_ms, revision = run_virtual(scenario(SharedStoreFleet(watchers=())))
    assert (age_ms, revision) == (float("inf"), 2)


def test_failing_listener_does_not_stop_the_others():
    """An exception in one listener must not keep the others on an old revision."""

    async def scenario(fleet):
        manager, revisions = fleet.managers[0], []
        manager.add_listener(lambda item: 1 / 0)
        manager.add_listener(lambda item: revisions.append(item.revision))
        manager.offer_text(configuration_text(1), "test")
        return revisions

    assert run_virtual(scenario(SharedStoreFleet())) == [1]
