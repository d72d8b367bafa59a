"""Tests the decoding of the operator's document."""

import json

import pytest

from chestnuthall.platform._configuration import read_configuration
from chestnuthall.platform.tests.standins import document, scatter_route

# (objective ms, shards, soft deadline ms)
SOFT_DEADLINES = [
    (400, 10, 400 - 32),
    (71, 10, 71 - 16),
    (73, 36, 73 - 16),
    (30, 36, 15),
]


@pytest.mark.parametrize(("objective_ms", "n_shards", "soft_ms"), SOFT_DEADLINES)
def test_soft_deadline_leaves_time_for_the_network(objective_ms, n_shards, soft_ms):
    """An answer decided at the objective itself would reach its caller too late.

    The time to complete an answer is measured; see ``AnswerOverrun``.
    """
    shards = [f"s{i}" for i in range(n_shards)]
    route = scatter_route(shards, TargetLatencyMs=objective_ms)
    configuration = read_configuration(json.dumps(document(1, [route], shards)))
    (caller_class,) = configuration.document.classes
    assert caller_class.soft_deadline_ms == pytest.approx(soft_ms)
