"""Run the benchmark scenarios: ``python -m benchmarks --json``."""

import json
import time
from typing import Annotated

from cyclopts import Parameter, run

from benchmarks._deployments import DEPLOYMENTS
from benchmarks._peak import run_peaks
from benchmarks._scenarios import Figures, run_steady_load
from benchmarks._stragglers import run_stragglers


def main(
    *,
    seed: int = 1,
    as_json: Annotated[bool, Parameter(name="--json")] = False,
) -> None:
    """Run every scenario with one seed and print its figures."""
    started_s = time.perf_counter()
    results: dict[str, dict[str, Figures]] = {}
    for deployment in DEPLOYMENTS:
        results[deployment.name] = {
            "calm_50": run_steady_load(deployment, seed, 0.5, 10_000.0),
            **run_stragglers(deployment, seed),
        }
        results[deployment.name].update(run_peaks(deployment, seed))
    if as_json:
        print(json.dumps({"seed": seed, "results": results}, indent=2))
        return
    for name, scenarios in results.items():
        for scenario, figures in scenarios.items():
            row = "  ".join(f"{key} {value:.4g}" for key, value in figures.items())
            print(f"{name:12} {scenario:28} {row}")
    print(f"took {time.perf_counter() - started_s:.1f} s")


if __name__ == "__main__":
    run(main)
