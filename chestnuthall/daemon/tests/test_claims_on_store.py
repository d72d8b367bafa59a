"""Guards claims against faults of the store, alone and in pairs.

The table crosses the step of the protocol at which a fault begins with the
fault. Each case runs the real services on the in-memory store in virtual time.
"""

import asyncio
from itertools import combinations

import pytest

from chestnuthall.core.claims import LedgerSettings
from chestnuthall.core.results import Failure, RunState
from chestnuthall.daemon.tests.store_world import StoreWorld
from chestnuthall.standins.objectapi import LostAnswer, Outage, StoreFaults
from chestnuthall.standins.virtual_time import run_virtual

FAULTS = {
    "refused": {"outage": Outage.REFUSED, "outage_ms": 3_000.0},
    "hanging": {"outage": Outage.HANGING, "outage_ms": 3_000.0},
    "503": {"outage": Outage.ERROR_503, "outage_ms": 3_000.0},
    "short-outage": {"outage": Outage.ERROR_503, "outage_ms": 30.0},
    "slow": {"delay_ms": 50.0},
    "too-slow": {"delay_ms": 700.0},
    "lost-withheld": {"n_lost_write_answers": 1},
    "lost-cut": {"n_lost_write_answers": 2, "lost_answer": LostAnswer.CUT},
    "lost-500": {"n_lost_write_answers": 3, "lost_answer": LostAnswer.ERROR_500},
    "late": {"n_late_writes": 1, "late_write_ms": 550.0},
    "later": {"n_late_writes": 2, "late_write_ms": 1_500.0},
    "stale-reads": {"stale_read_ms": 200.0},
    "rate-limit": {"n_calls_per_s_max": 3},
}
STEPS = {
    "before-first-claim": 0.0,
    "write-under-way": 0.002,
    "between-claims": 0.25,
    "before-resend": 0.8,
}


async def run_mutations(world, step_s, faults):
    """Send keys to three instances, and most of them again to another one."""
    world.service.set_faults(StoreFaults(delay_ms=3.0))
    tasks = []

    def send(*arguments, **options):
        work = world.mutate(*arguments, **options)
        tasks.append(asyncio.get_running_loop().create_task(work))

    async def inject():
        await asyncio.sleep(step_s)
        world.service.set_faults(StoreFaults(**{"delay_ms": 3.0, **faults}))

    injecting = asyncio.get_running_loop().create_task(inject())
    for burst in range(4):
        for index in range(3):
            send(index, f"shared-{burst}", f"shared-{burst}-{index}")
            send(index, f"own-{burst}-{index}", f"own-{burst}-{index}-first")
            name = f"refused-{burst}-{index}"
            send(index, name, f"{name}-first", is_refused=True)
        await asyncio.sleep(0.1)
    await asyncio.sleep(0.6)
    for burst in range(4):
        for index in range(3):
            send((index + 1) % 3, f"own-{burst}-{index}", f"own-{burst}-{index}-again")
            name = f"refused-{burst}-{index}"
            send((index + 1) % 3, name, f"{name}-again")
    results = await asyncio.gather(*tasks)
    await injecting
    await asyncio.sleep(4.0)
    return results


async def check_after(world):
    """The protocol recovers: a new key is claimed on each instance."""
    world.service.set_faults(StoreFaults())
    await asyncio.sleep(2.0)
    late = [await world.mutate(i, f"after-{i}", f"after-{i}") for i in range(3)]
    assert not any(isinstance(item, Failure) for item in late)


def run_matrix_case(step_s, faults):
    async def scenario():
        # One partition makes every claim of the three instances contend.
        world = StoreWorld(ledger_settings=LedgerSettings(n_partitions=1))
        await run_mutations(world, step_s, faults)
        await check_after(world)
        for ledger in world.ledgers:
            await ledger.close()
        return world

    world = run_virtual(scenario())
    assert all(len(names) == 1 for names in world.dispatched.values())
    dispatched = {name for names in world.dispatched.values() for name in names}
    not_run = {n for n, kind in world.refused.items() if kind.run is RunState.NO}
    assert not dispatched & not_run
    return world


PAIRS = [
    pytest.param(a, b, id=f"{a}+{b}")
    for a, b in combinations(FAULTS, 2)
    if not ("outage" in FAULTS[a] and "outage" in FAULTS[b])
]


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", STEPS)
def test_fault_at_step(step, fault):
    """A key must run at most once, and "not run" be true, under each fault."""
    run_matrix_case(STEPS[step], FAULTS[fault])


@pytest.mark.parametrize(("first", "second"), PAIRS)
def test_pair_of_faults(first, second):
    """Two faults together must not break what each alone keeps."""
    run_matrix_case(STEPS["write-under-way"], {**FAULTS[first], **FAULTS[second]})


def run_world(scenario, **options):
    async def run():
        world = StoreWorld(**options)
        try:
            return await scenario(world)
        finally:
            for ledger in world.ledgers:
                await ledger.close()

    return run_virtual(run())


def test_calm_run_dispatches_every_key_once():
    """Without a fault every key must be dispatched, resends refused."""
    world = run_matrix_case(0.0, {})
    n_own, n_shared, n_released, n_after = 12, 4, 12, 3
    assert len(world.dispatched) == n_own + n_shared + n_released + n_after
    assert {kind.name for kind in world.refused.values()} == {"KEY_ALREADY_CLAIMED"}


@pytest.mark.parametrize(
    ("faults", "longest_ms", "names"),
    [
        ({"outage": Outage.REFUSED}, 1.0, {"STORE_UNAVAILABLE"}),
        ({"outage": Outage.ERROR_503}, 1.0, {"STORE_UNAVAILABLE"}),
        ({"outage": Outage.HANGING}, 501.0, {"STORE_UNAVAILABLE"}),
    ],
    ids=["refused", "503", "hanging"],
)
def test_store_down_refuses_quickly(faults, longest_ms, names):
    """A mutation must not wait out an outage; later ones fail at once."""

    async def scenario(world):
        world.service.set_faults(StoreFaults(**faults))
        durations_ms, kinds = [], set()
        for n in range(20):
            started_ms = world.clock.now_ms()
            result = await world.mutate(0, f"key-{n}", f"r{n}", 5_000.0)
            durations_ms.append(world.clock.now_ms() - started_ms)
            kinds.add(result.kind.name)
            assert result.kind.run is RunState.NO
        return durations_ms, kinds, sum(world.stores[0].calls_in_last_minute().values())

    durations_ms, kinds, n_calls = run_world(scenario)
    assert kinds == names
    assert durations_ms[0] <= longest_ms
    assert max(durations_ms[1:]) <= 1.0
    assert n_calls <= 2


def test_claims_of_a_partition_share_writes():
    """A burst must not cost one write per key."""

    async def scenario(world):
        world.service.set_faults(StoreFaults(delay_ms=5.0))
        work = [world.mutate(0, f"key-{n}", f"r{n}") for n in range(200)]
        await asyncio.gather(*work)
        return world.service.n_calls, len(world.dispatched)

    n_calls, n_dispatched = run_world(
        scenario, ledger_settings=LedgerSettings(n_partitions=1)
    )
    assert n_dispatched == 200
    assert n_calls == {"get claims": 1, "put claims": 1}


def test_cache_saves_reads():
    """An instance that is alone in a partition must read it once only."""

    async def scenario(world):
        for n in range(10):
            await world.mutate(0, f"key-{n}", f"r{n}")
        return world.service.n_calls

    n_calls = run_world(scenario, ledger_settings=LedgerSettings(n_partitions=1))
    assert n_calls == {"get claims": 1, "put claims": 10}


def test_writes_stay_within_budget():
    """Claims in many partitions must not exceed the fleet's rate of writes."""

    async def scenario(world):
        async def send(n):
            await asyncio.sleep(n / 400.0)
            await world.mutate(n % 3, f"key-{n}", f"r{n}")

        await asyncio.gather(*(send(n) for n in range(2_000)))
        assert {kind.name for kind in world.refused.values()} == {"RATE_LIMITED"}
        return world.service.n_calls["put claims"], world.clock.now_ms() / 1000.0

    n_writes, duration_s = run_world(
        scenario, ledger_settings=LedgerSettings(n_partitions=1_000)
    )
    assert n_writes <= 250.0 * duration_s + 3 * 8
    assert n_writes >= 225.0 * duration_s


@pytest.mark.parametrize("resumes_after_s", [1.0, 700.0], ids=["soon", "expired"])
def test_paused_holder(resumes_after_s):
    """A holder that resumes late must still be the only one for its key."""

    async def scenario(world):
        issued_ms = world.clock.wall_ms()
        held = await world.mutate(0, "key-1", "first")
        await asyncio.sleep(resumes_after_s)
        await world.mutate(1, "other", "other")
        world.clock = replace_wall(world, issued_ms)
        again = await world.mutate(1, "key-1", "again")
        return held, again

    held, again = run_world(scenario, ledger_settings=LedgerSettings(n_partitions=1))
    assert not isinstance(held, Failure)
    expired = resumes_after_s > 600.0
    assert again.kind.name == ("KEY_EXPIRED" if expired else "KEY_ALREADY_CLAIMED")
    assert again.kind.run is RunState.UNKNOWN


def replace_wall(world, wall_ms):
    """Return a clock that issues keys at a fixed wall time."""

    class FixedWall:
        now_ms = staticmethod(world.clock.now_ms)

        @staticmethod
        def wall_ms():
            return wall_ms

    return FixedWall()


def test_cancelled_caller_releases_its_key():
    """A caller that leaves during the claim must not lock its key."""

    async def scenario(world):
        world.service.set_faults(StoreFaults(delay_ms=20.0))
        work = world.mutate(0, "key-1", "first")
        task = asyncio.get_running_loop().create_task(work)
        await asyncio.sleep(0.03)
        task.cancel()
        await asyncio.sleep(0.5)
        return await world.mutate(1, "key-1", "again")

    result = run_world(scenario, ledger_settings=LedgerSettings(n_partitions=1))
    assert not isinstance(result, Failure)


def test_claim_that_settles_after_a_pause_is_not_dispatched():
    """A process paused past the deadline must not use the claim it then finds."""

    async def scenario(world):
        world.service.set_faults(StoreFaults(delay_ms=20.0))
        work = world.mutate(0, "key-1", "paused")
        task = asyncio.get_running_loop().create_task(work)
        await asyncio.sleep(0.03)
        world.clock.now_ms = lambda: 5_000.0
        paused = await task
        del world.clock.now_ms
        await asyncio.sleep(0.5)
        return paused, await world.mutate(1, "key-1", "again")

    paused, again = run_world(scenario, ledger_settings=LedgerSettings(n_partitions=1))
    assert paused.kind.run is RunState.NO
    assert not isinstance(again, Failure)
