"""What each routing policy is worth: ``python -m benchmarks.policies``.

Plays the slowed and the killed run with each policy switched off in turn, with
the same seed.
"""

from dataclasses import replace

from cyclopts import run

from benchmarks._deployments import DEPLOYMENTS
from benchmarks._stragglers import Run, play
from chestnuthall.core.routing import RouterSettings

BASE = RouterSettings()
VARIANTS = {
    "all policies": BASE,
    "no hedges": replace(BASE, hedge_delay_min_ms=1e9),
    "fixed hedge delay": replace(BASE, hedge_delay_min_ms=50.0, hedge_quantile=0.0),
    "random replica": replace(BASE, n_candidates=1),
    "two candidates": replace(BASE, n_candidates=2),
    "no zone preference": replace(BASE, other_zone_cost_ms=0.0),
    "no ejection": replace(BASE, ejected_ratio_max=0.0, failure_cost_ms=0.0),
    "no ramp": replace(BASE, ramp_factor=1.0),
}


def main(
    *, seed: int = 1, duration_ms: float = 6_000.0, deployment_name: str = ""
) -> None:
    """Print one line for each deployment, run and policy switched off."""
    runs = {
        "slowed": Run(slowed=True, duration_ms=duration_ms),
        "restarted": Run(load_ratio=0.3, restarted=True, duration_ms=duration_ms),
    }
    for deployment in DEPLOYMENTS:
        if deployment_name not in ("", deployment.name):
            continue
        for name, base in runs.items():
            for variant, settings in VARIANTS.items():
                figures = play(deployment, seed, replace(base, settings=settings))
                row = "  ".join(f"{key} {value:.4g}" for key, value in figures.items())
                print(f"{deployment.name:10} {name:9} {variant:18} {row}", flush=True)


if __name__ == "__main__":
    run(main)
