"""Guards the measurements against a change of the services that breaks them."""

import pytest

from benchmarks._deployments import DEPLOYMENTS
from benchmarks._memory import measure_memory
from benchmarks._scenarios import run_calm


@pytest.mark.parametrize("deployment", DEPLOYMENTS, ids=lambda item: item.name)
def test_calm_load_is_answered_whole_and_repeats(deployment):
    first, second = (run_calm(deployment, 1, 0.3, 400.0) for _ in range(2))
    assert first == second
    assert first["answered_ratio"] == 1.0
    assert first["full_coverage_ratio"] == 1.0


def test_memory_of_every_item_is_measured():
    assert all(value > 0.0 for value in measure_memory().values())
