"""Tests of idempotency-key claims under faults of the store.

A lost, late or ambiguous store write must not lead to a key that is dispatched
twice, or to a refusal that wrongly says that the request did not run. The matrix
combines the step of the protocol at which a fault begins with each fault, and with
pairs of faults. Each case runs the real services on the in-memory store in virtual
time.
"""

import asyncio
from itertools import combinations

import pytest

from chestnuthall.core.claims import LedgerSettings
from chestnuthall.core.results import Failure, RunState
from chestnuthall.daemon.tests.shared_store_fleet import SharedStoreFleet
from chestnuthall.standins.objectapi import LostAnswer, Outage, StoreFaults
from chestnuthall.standins.virtual_time import run_virtual

FAULTS = {
    "refused": {"outage": Outage.REFUSED, "outage_ms": 3_000.0},
    "hanging": {"outage": Outage.HANGING, "outage_ms": 3_000.0},
    "503": {"outage": Outage.ERROR_503, "outage_ms": 3_000.0},
    "short-outage": {"outage": Outage.ERROR_503, "outage_ms": 30.0},
    "slow": {"delay_ms": 50.0},
    "too-slow": {"delay_ms": 700.0},
    "answer-withheld": {"n_lost_write_answers": 1},
    "answer-truncated": {
        "n_lost_write_answers": 2,
        "lost_answer": LostAnswer.CONNECTION_CLOSED,
    },
    "answer-500": {"n_lost_write_answers": 3, "lost_answer": LostAnswer.ERROR_500},
    "late-write": {"n_late_writes": 1, "late_write_ms": 550.0},
    "later-writes": {"n_late_writes": 2, "late_write_ms": 1_500.0},
    "stale-reads": {"stale_read_ms": 200.0},
    "rate-limit": {"n_calls_per_s_max": 3},
}
STEPS = {
    "before-first-claim": 0.0,
    "during-write": 0.002,
    "between-claims": 0.25,
    "before-resend": 0.8,
}


async def run_mutations(fleet, step_s, faults):
    """Send keys to three instances, then resend most of them to another instance."""
    fleet.service.set_faults(StoreFaults(delay_ms=3.0))
    tasks = []

    def send(*args, **kwargs):
        work = fleet.mutate(*args, **kwargs)
        tasks.append(asyncio.get_running_loop().create_task(work))

    async def inject():
        await asyncio.sleep(step_s)
        fleet.service.set_faults(StoreFaults(**{"delay_ms": 3.0, **faults}))

    injection = asyncio.get_running_loop().create_task(inject())
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
    await injection
    await asyncio.sleep(4.0)
    return results


async def check_recovery(fleet):
    """Check that each instance can claim a new key after the fault has ended."""
    fleet.service.set_faults(StoreFaults())
    await asyncio.sleep(2.0)
    claims = [await fleet.mutate(i, f"after-{i}", f"after-{i}") for i in range(3)]
    assert not any(isinstance(item, Failure) for item in claims)


def run_matrix_case(step_s, faults):
    async def scenario():
        # With a single partition all claims of the three instances contend.
        fleet = SharedStoreFleet(ledger_settings=LedgerSettings(n_partitions=1))
        await run_mutations(fleet, step_s, faults)
        await check_recovery(fleet)
        for ledger in fleet.ledgers:
            await ledger.close()
        return fleet

    fleet = run_virtual(scenario())
    assert all(len(names) == 1 for names in fleet.dispatched.values())
    dispatched = {name for names in fleet.dispatched.values() for name in names}
    not_run = {n for n, kind in fleet.refused.items() if kind.run is RunState.NO}
    assert not dispatched & not_run
    return fleet


PAIRS = [
    pytest.param(a, b, id=f"{a}+{b}")
    for a, b in combinations(FAULTS, 2)
    if not ("outage" in FAULTS[a] and "outage" in FAULTS[b])
]


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", STEPS)
def test_fault_at_step(step, fault):
    """A key must run at most once, and a reported "not run" must be true."""
    run_matrix_case(STEPS[step], FAULTS[fault])


@pytest.mark.parametrize(("first", "second"), PAIRS)
def test_pair_of_faults(first, second):
    """The guarantees under a single fault must also hold under two at once."""
    run_matrix_case(STEPS["during-write"], {**FAULTS[first], **FAULTS[second]})


def run_with_fleet(scenario, **kwargs):
    async def run():
        fleet = SharedStoreFleet(**kwargs)
        try:
            return await scenario(fleet)
        finally:
            for ledger in fleet.ledgers:
                await ledger.close()

    return run_virtual(run())


def test_every_key_is_dispatched_once_without_faults():
    """Without a fault every key must be dispatched and its resends refused."""
    fleet = run_matrix_case(0.0, {})
    n_own, n_shared, n_released, n_after = 12, 4, 12, 3
    assert len(fleet.dispatched) == n_own + n_shared + n_released + n_after
    assert {kind.name for kind in fleet.refused.values()} == {"KEY_ALREADY_CLAIMED"}


@pytest.mark.parametrize(
    ("faults", "duration_max_ms", "expected_codes"),
    [
        ({"outage": Outage.REFUSED}, 1.0, {"STORE_UNAVAILABLE"}),
        ({"outage": Outage.ERROR_503}, 1.0, {"STORE_UNAVAILABLE"}),
        ({"outage": Outage.HANGING}, 501.0, {"STORE_UNAVAILABLE"}),
    ],
    ids=["refused", "503", "hanging"],
)
def test_unavailable_store_fails_fast(faults, duration_max_ms, expected_codes):
    """A mutation must not wait for an outage to end; later ones fail immediately."""

    async def scenario(fleet):
        fleet.service.set_faults(StoreFaults(**faults))
        durations_ms, kinds = [], set()
        for n in range(20):
            started_ms = fleet.clock.now_ms()
            result = await fleet.mutate(0, f"key-{n}", f"r{n}", 5_000.0)
            durations_ms.append(fleet.clock.now_ms() - started_ms)
            kinds.add(result.kind.name)
            assert result.kind.run is RunState.NO
        return durations_ms, kinds, sum(fleet.stores[0].calls_in_last_minute().values())

    durations_ms, kinds, n_calls = run_with_fleet(scenario)
    assert kinds == expected_codes
    assert durations_ms[0] <= duration_max_ms
    assert max(durations_ms[1:]) <= 1.0
    assert n_calls <= 2


def test_claims_of_a_partition_are_batched():
    """A burst of claims in one partition must not cost one write per key."""

    async def scenario(fleet):
        fleet.service.set_faults(StoreFaults(delay_ms=5.0))
        work = [fleet.mutate(0, f"key-{n}", f"r{n}") for n in range(200)]
        await asyncio.gather(*work)
        return fleet.service.n_calls, len(fleet.dispatched)

    n_calls, n_dispatched = run_with_fleet(
        scenario, ledger_settings=LedgerSettings(n_partitions=1)
    )
    assert n_dispatched == 200
    assert n_calls == {"get claims": 1, "put claims": 1}


def test_cache_saves_reads():
    """The only instance that writes a partition must read it only once."""

    async def scenario(fleet):
        for n in range(10):
            await fleet.mutate(0, f"key-{n}", f"r{n}")
        return fleet.service.n_calls

    n_calls = run_with_fleet(scenario, ledger_settings=LedgerSettings(n_partitions=1))
    assert n_calls == {"get claims": 1, "put claims": 10}


def test_writes_stay_within_rate_limit():
    """Claims in many partitions must not exceed the fleet-wide write rate."""

    async def scenario(fleet):
        async def send(n):
            await asyncio.sleep(n / 400.0)
            await fleet.mutate(n % 3, f"key-{n}", f"r{n}")

        await asyncio.gather(*(send(n) for n in range(2_000)))
        assert {kind.name for kind in fleet.refused.values()} == {"RATE_LIMITED"}
        return fleet.service.n_calls["put claims"], fleet.clock.now_ms() / 1000.0

    n_writes, duration_s = run_with_fleet(
        scenario, ledger_settings=LedgerSettings(n_partitions=1_000)
    )
    assert n_writes <= 250.0 * duration_s + 3 * 8
    assert n_writes >= 225.0 * duration_s


@pytest.mark.parametrize(
    "resent_after_s", [1.0, 700.0], ids=["before-expiry", "expired"]
)
def test_resent_key_is_not_claimed_twice(resent_after_s):
    """A resend of a claimed key must be refused, even after the claim has expired."""

    async def scenario(fleet):
        issued_at_ms = fleet.clock.wall_ms()
        first_claim = await fleet.mutate(0, "key-1", "first")
        await asyncio.sleep(resent_after_s)
        await fleet.mutate(1, "other", "other")
        fleet.clock = fixed_wall_clock(fleet, issued_at_ms)
        second_claim = await fleet.mutate(1, "key-1", "again")
        return first_claim, second_claim

    first_claim, second_claim = run_with_fleet(
        scenario, ledger_settings=LedgerSettings(n_partitions=1)
    )
    assert not isinstance(first_claim, Failure)
    expired = resent_after_s > 600.0
    assert second_claim.kind.name == (
        "KEY_EXPIRED" if expired else "KEY_ALREADY_CLAIMED"
    )
    assert second_claim.kind.run is RunState.UNKNOWN


def fixed_wall_clock(fleet, wall_ms):
    """Return the fleet's clock with its wall time fixed, to resend with an old time."""

    class FixedWallClock:
        now_ms = staticmethod(fleet.clock.now_ms)

        @staticmethod
        def wall_ms():
            return wall_ms

    return FixedWallClock()


def test_cancelled_caller_releases_its_key():
    """A caller that disconnects during the claim must not leave its key claimed."""

    async def scenario(fleet):
        fleet.service.set_faults(StoreFaults(delay_ms=20.0))
        work = fleet.mutate(0, "key-1", "first")
        task = asyncio.get_running_loop().create_task(work)
        await asyncio.sleep(0.03)
        task.cancel()
        await asyncio.sleep(0.5)
        return await fleet.mutate(1, "key-1", "again")

    result = run_with_fleet(scenario, ledger_settings=LedgerSettings(n_partitions=1))
    assert not isinstance(result, Failure)


def test_claim_completed_after_its_deadline_is_not_dispatched():
    """A process that pauses past the deadline must not dispatch on its late claim."""

    async def scenario(fleet):
        fleet.service.set_faults(StoreFaults(delay_ms=20.0))
        work = fleet.mutate(0, "key-1", "paused")
        task = asyncio.get_running_loop().create_task(work)
        await asyncio.sleep(0.03)
        fleet.clock.now_ms = lambda: 5_000.0
        paused = await task
        del fleet.clock.now_ms
        await asyncio.sleep(0.5)
        return paused, await fleet.mutate(1, "key-1", "again")

    paused, second_claim = run_with_fleet(
        scenario, ledger_settings=LedgerSettings(n_partitions=1)
    )
    assert paused.kind.run is RunState.NO
    assert not isinstance(second_claim, Failure)
