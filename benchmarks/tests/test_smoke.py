"""Smoke tests of the benchmarks.

They guard against changes of the services that break the scenarios or make their
results differ between runs with the same seed.
"""

import pytest

from benchmarks._deployments import DEPLOYMENTS
from benchmarks._memory import measure_memory
from benchmarks._scenarios import run_steady_load


@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=lambda item: item.name)
def test_steady_load_is_answered_in_full_and_is_deterministic(deployment):
    first, second = (run_steady_load(deployment, 1, 0.3, 400.0) for _ in range(2))
    assert first == second
    assert first["answered_ratio"] == 1.0
    assert first["full_coverage_ratio"] == 1.0


def test_memory_per_item_is_positive():
    assert all(value > 0.0 for value in measure_memory().values())
