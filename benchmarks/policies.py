"""Ablation of the routing policies: ``python -m benchmarks.policies``.

Runs the slowed and the restarted scenario with each policy disabled in turn, all
with the same seed.
"""

from dataclasses import replace

from cyclopts import run

from benchmarks._deployments import DEPLOYMENTS
from benchmarks._stragglers import RunOptions, run_scenario
from chestnuthall.core.routing import RouterSettings

DEFAULT_SETTINGS = RouterSettings()
VARIANTS = {
    "all policies": DEFAULT_SETTINGS,
    "no hedges": replace(DEFAULT_SETTINGS, hedge_delay_min_ms=1e9),
    "fixed hedge delay": replace(
        DEFAULT_SETTINGS, hedge_delay_min_ms=50.0, hedge_quantile=0.0
    ),
    "random replica": replace(DEFAULT_SETTINGS, n_candidates=1),
    "two candidates": replace(DEFAULT_SETTINGS, n_candidates=2),
    "no zone preference": replace(DEFAULT_SETTINGS, other_zone_cost_ms=0.0),
    "no ejection": replace(
        DEFAULT_SETTINGS, ejected_ratio_max=0.0, failure_cost_ms=0.0
    ),
    "no ramp": replace(DEFAULT_SETTINGS, ramp_factor=1.0),
}


def main(
    *, seed: int = 1, duration_ms: float = 6_000.0, deployment_name: str = ""
) -> None:
    """Print one line per deployment, scenario and disabled policy."""
    scenarios = {
        "slowed": RunOptions(slowed=True, duration_ms=duration_ms),
        "restarted": RunOptions(
            load_ratio=0.3, restarted=True, duration_ms=duration_ms
        ),
    }
    for deployment in DEPLOYMENTS:
        if deployment_name not in ("", deployment.name):
            continue
        for name, options in scenarios.items():
            for variant, settings in VARIANTS.items():
                figures = run_scenario(
                    deployment, seed, replace(options, settings=settings)
                )
                row = "  ".join(f"{key} {value:.4g}" for key, value in figures.items())
                print(f"{deployment.name:10} {name:9} {variant:18} {row}", flush=True)


if __name__ == "__main__":
    run(main)
