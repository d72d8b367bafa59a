"""Scenarios with slow, killed and restarted replicas.

They report tail latency, extra load and coverage.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from benchmarks._baseline import use_baseline
from benchmarks._deployments import N_DOCUMENTS_PER_SHARD, Deployment
from benchmarks._fleet import VirtualFleet
from benchmarks._load import LoadGenerator, Stream, quantile_ms
from benchmarks._scenarios import Figures, search_capacity_per_s
from benchmarks._upstreams import ReplicaModel
from chestnuthall.core.model import Answer, Request
from chestnuthall.core.routing import RouterSettings
from chestnuthall.services import Outcome
from chestnuthall.standins.virtual_time import run_virtual

SLOW_FACTOR = 10.0
SLOWED_FRACTION = 0.1
COLD_FACTOR = 10.0
COLD_MS = 1_000.0
SLOW_PERIOD_RANGE_MS = (2_000.0, 5_000.0)
CLASS_FRACTIONS = (("urgent", 0.3), ("ordinary", 0.4), ("bulk", 0.3))


@dataclass(frozen=True, slots=True, kw_only=True)
class RunOptions:
    """Load, replica faults and routing settings of one scenario."""

    load_ratio: float = 0.5
    duration_ms: float = 8_000.0
    # Latencies of requests that arrive during the warm-up are left out, in the
    # baseline too: instances start without connections and latency estimates.
    warm_up_ms: float = 2_000.0
    slowed: bool = False
    # With two of a shard's three replicas slowed at once, the shard has too little
    # capacity for a load ratio of 0.5, whichever replicas the router chooses.
    one_per_shard: bool = True
    killed: bool = False
    restarted: bool = False
    is_baseline: bool = False
    settings: RouterSettings | None = None


@dataclass(slots=True)
class CoverageChecker:
    """Compares the coverage that answers report with the hits they contain."""

    n_documents: int
    floors: dict[str, float]
    n_answers: int = 0
    n_full: int = 0
    n_below_floor: int = 0
    n_misreported: int = 0

    def check(self, request: Request, outcome: Outcome) -> None:
        """Check one outcome; each simulated shard answer has exactly one hit."""
        if not isinstance(outcome, Answer):
            return
        n_covered = len(outcome.hits) * N_DOCUMENTS_PER_SHARD
        self.n_answers += 1
        self.n_full += outcome.coverage.is_full
        self.n_misreported += outcome.coverage.n_documents_covered != n_covered
        ratio = n_covered / self.n_documents
        self.n_below_floor += ratio < self.floors[request.class_name]


async def slow_down(
    replicas: list[ReplicaModel], random: Random, one_per_shard: bool
) -> None:
    """Keep one replica slow at a time, switching to another after each period."""
    while True:
        slowed = {_shard_name(item) for item in replicas if item.slow_factor > 1.0}
        replica = random.choice(
            [
                item
                for item in replicas
                if item.slow_factor == 1.0
                and not (one_per_shard and _shard_name(item) in slowed)
            ]
        )
        replica.slow_factor = SLOW_FACTOR
        await asyncio.sleep(random.uniform(*SLOW_PERIOD_RANGE_MS) / 1000.0)
        replica.slow_factor = 1.0


def _shard_name(replica: ReplicaModel) -> str:
    return replica.name.rpartition("-")[0]


async def kill_all_but_one(
    fleet: VirtualFleet, group: str, random: Random, duration_ms: float
) -> None:
    """Kill replicas one after another until each shard has one left."""
    victims = []
    for shard in fleet.upstreams.published_maps[group].shards:
        names = [replica.name for replica in shard.replicas]
        victims += random.sample(names, len(names) - 1)
    random.shuffle(victims)
    for name in victims:
        await asyncio.sleep(0.8 * duration_ms / len(victims) / 1000.0)
        fleet.upstreams.replicas[name].is_alive = False


async def restart(replicas: list[ReplicaModel], random: Random) -> None:
    """Restart random replicas one at a time; each is back after 1 s and starts cold.

    Half of them refuse connections while they are unavailable; the others are
    unresponsive, as after the loss of a rack.
    """
    while True:
        replica = random.choice(replicas)
        replica.is_alive = False
        replica.is_hanging = random.random() < 0.5
        await asyncio.sleep(1.0)
        replica.is_alive = True
        replica.slow_factor = COLD_FACTOR
        await asyncio.sleep(COLD_MS / 1000.0)
        replica.slow_factor = 1.0


async def count_warm_up_calls(
    fleet: VirtualFleet, warm_up_ms: float
) -> tuple[int, int]:
    """Return the numbers of calls sent and repeated by the end of the warm-up."""
    await asyncio.sleep(warm_up_ms / 1000.0)
    return fleet.upstreams.n_sent, fleet.upstreams.n_repeated


def check_outcomes(fleet: VirtualFleet, check: CoverageChecker) -> None:
    """Wrap the query service of each instance to check every outcome."""
    for instance in fleet.instances:
        serve = instance.query.serve

        async def serve_and_check(
            request: Request,
            serve: Callable[[Request], "asyncio.Future[Outcome]"] = serve,
        ) -> Outcome:
            outcome = await serve(request)
            check.check(request, outcome)
            return outcome

        instance.query.serve = serve_and_check


async def _run_scenario(deployment: Deployment, seed: int, run: RunOptions) -> Figures:
    fleet = VirtualFleet(deployment, seed, router_settings=run.settings)
    await fleet.start()
    if run.is_baseline:
        use_baseline(fleet)
    group = deployment.groups[0]
    floors = {item.name: item.coverage_floor_ratio for item in fleet.document.classes}
    check = CoverageChecker(group.n_shards * N_DOCUMENTS_PER_SHARD, floors)
    check_outcomes(fleet, check)
    random = Random(f"{seed}/trouble")
    replicas = [
        item for item in fleet.upstreams.replicas.values() if item.size is group
    ]
    tasks = []
    if run.slowed:
        for _ in range(round(SLOWED_FRACTION * len(replicas))):
            tasks.append(
                asyncio.ensure_future(slow_down(replicas, random, run.one_per_shard))
            )
    if run.killed:
        kill = kill_all_but_one(fleet, group.name, random, run.duration_ms)
        tasks.append(asyncio.ensure_future(kill))
    if run.restarted:
        tasks.append(asyncio.ensure_future(restart(replicas, random)))
    rate_per_s = search_capacity_per_s(deployment, group.name) * run.load_ratio
    streams = [
        Stream(
            class_name=name,
            group=group.name,
            rate_per_s=lambda elapsed_ms, class_fraction=class_fraction: (
                rate_per_s * class_fraction
            ),
        )
        for name, class_fraction in CLASS_FRACTIONS
    ]
    warm_up_counts = asyncio.ensure_future(count_warm_up_calls(fleet, run.warm_up_ms))
    samples = await LoadGenerator(fleet, seed).run(streams, run.duration_ms)
    for task in tasks:
        task.cancel()
    await fleet.stop()
    latencies_ms = [
        item.latency_ms
        for item in samples
        if item.is_answer and item.arrived_ms >= run.warm_up_ms
    ]
    upstreams = fleet.upstreams
    n_warm_up_sent, n_warm_up_repeated = await warm_up_counts
    n_sent_after_warm_up = max(1, upstreams.n_sent - n_warm_up_sent)
    return {
        "n_requests": len(samples),
        "answered_ratio": check.n_answers / len(samples),
        "p50_ms": quantile_ms(latencies_ms, 0.5),
        "p99_ms": quantile_ms(latencies_ms, 0.99),
        "extra_load_ratio": upstreams.n_repeated / max(1, upstreams.n_sent),
        "warm_extra_ratio": (upstreams.n_repeated - n_warm_up_repeated)
        / n_sent_after_warm_up,
        "full_coverage_ratio": check.n_full / max(1, check.n_answers),
        "n_below_floor": check.n_below_floor,
        "n_misreported": check.n_misreported,
    }


def run_scenario(deployment: Deployment, seed: int, run: RunOptions) -> Figures:
    """Run one scenario in virtual time."""
    return run_virtual(_run_scenario(deployment, seed, run))


def run_unslowed(deployment: Deployment, seed: int) -> Figures:
    """Run at half of the capacity, with every replica at normal speed."""
    return run_scenario(deployment, seed, RunOptions())


def run_slowed(deployment: Deployment, seed: int) -> Figures:
    """Run with a tenth of the replicas slow at any time, for seconds each."""
    return run_scenario(deployment, seed, RunOptions(slowed=True))


def run_light_unslowed(deployment: Deployment, seed: int) -> Figures:
    """Run at 0.3 of the capacity."""
    return run_scenario(
        deployment, seed, RunOptions(load_ratio=0.3, duration_ms=6_000.0)
    )


def run_light_slowed(deployment: Deployment, seed: int) -> Figures:
    """Run at 0.3 of the capacity, with slow replicas."""
    return run_scenario(
        deployment, seed, RunOptions(load_ratio=0.3, slowed=True, duration_ms=6_000.0)
    )


def run_slowed_baseline(deployment: Deployment, seed: int) -> Figures:
    """Run the baseline with the same slow replicas."""
    return run_scenario(deployment, seed, RunOptions(slowed=True, is_baseline=True))


def run_killed(deployment: Deployment, seed: int) -> Figures:
    """Kill all but one replica per shard, at a load that one replica can serve."""
    return run_scenario(deployment, seed, RunOptions(load_ratio=0.15, killed=True))


def run_killed_baseline(deployment: Deployment, seed: int) -> Figures:
    """Run the baseline with the same killed replicas."""
    return run_scenario(
        deployment, seed, RunOptions(load_ratio=0.15, killed=True, is_baseline=True)
    )


def run_saturated(deployment: Deployment, seed: int) -> Figures:
    """Offer more load than the capacity, with slow replicas."""
    return run_scenario(
        deployment,
        seed,
        RunOptions(
            load_ratio=1.3, slowed=True, duration_ms=3_000.0, warm_up_ms=1_000.0
        ),
    )


SCENARIOS: dict[str, Callable[[Deployment, int], Figures]] = {
    "unslowed": run_unslowed,
    "slowed": run_slowed,
    "slowed_baseline": run_slowed_baseline,
    "light_unslowed": run_light_unslowed,
    "light_slowed": run_light_slowed,
    "killed": run_killed,
    "killed_baseline": run_killed_baseline,
    "saturated": run_saturated,
}


def run_stragglers(deployment: Deployment, seed: int) -> dict[str, Figures]:
    """Run every scenario of this module."""
    return {name: run(deployment, seed) for name, run in SCENARIOS.items()}
