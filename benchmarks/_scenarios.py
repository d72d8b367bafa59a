"""Steady load scenario, and the figures that scenarios report."""

from benchmarks._deployments import Deployment
from benchmarks._fleet import VirtualFleet
from benchmarks._load import LoadGenerator, Sample, Stream, quantile_ms
from benchmarks._upstreams import SERVICE_MEDIAN_MS, SERVICE_SIGMA
from chestnuthall.standins.virtual_time import run_virtual

Figures = dict[str, float]

SERVICE_MEAN_MS = SERVICE_MEDIAN_MS * 2.718281828 ** (SERVICE_SIGMA**2 / 2)


def search_capacity_per_s(deployment: Deployment, group_name: str) -> float:
    """Return the rate of searches that the slots of a group can sustain."""
    size = deployment.group(group_name)
    return size.n_replicas * size.n_slots * 1000.0 / SERVICE_MEAN_MS


def summarise(samples: list[Sample]) -> Figures:
    """Return request counts, latency quantiles, extra load and coverage."""
    answered = [item for item in samples if item.is_answer]
    latencies_ms = [item.latency_ms for item in answered]
    n_calls = sum(item.n_calls for item in samples)
    n_extra_calls = sum(item.n_extra_calls for item in samples)
    n_full = sum(item.coverage_ratio >= 1.0 for item in answered)
    return {
        "n_requests": len(samples),
        "answered_ratio": len(answered) / max(1, len(samples)),
        "p50_ms": quantile_ms(latencies_ms, 0.50),
        "p99_ms": quantile_ms(latencies_ms, 0.99),
        "extra_load_ratio": n_extra_calls / max(1, n_calls),
        "full_coverage_ratio": n_full / max(1, len(answered)),
    }


def run_steady_load(
    deployment: Deployment, seed: int, load_ratio: float, duration_ms: float
) -> Figures:
    """Run searches at a fixed fraction of the capacity of the first group."""

    async def scenario() -> list[Sample]:
        fleet = VirtualFleet(deployment, seed)
        await fleet.start()
        group_name = deployment.groups[0].name
        capacity_per_s = search_capacity_per_s(deployment, group_name)
        streams = [
            Stream(
                class_name=name,
                group=group_name,
                rate_per_s=lambda elapsed_ms, class_fraction=class_fraction: (
                    capacity_per_s * load_ratio * class_fraction
                ),
            )
            for name, class_fraction in (
                ("urgent", 0.3),
                ("ordinary", 0.4),
                ("bulk", 0.3),
            )
        ]
        samples = await LoadGenerator(fleet, seed).run(streams, duration_ms)
        await fleet.stop()
        return samples

    return summarise(run_virtual(scenario()))
