"""Tests the settings of a process on the platform.

Guards against limits that are not those of the machine.
"""

import json

import pytest

from chestnuthall.core.results import Failure
from chestnuthall.platform._settings import read_settings

TEXT = json.dumps(
    {
        "name": "entry-1",
        "zone": "a",
        **{
            f"{name}_address": "127.0.0.1:1"
            for name in ("caller", "ready", "metrics", "peer", "store")
        },
        "store_settle_ms": 4_000,
        "configuration_deadline_ms": 3_000,
        "drain_ms": 3_000,
        "grace_s": 6,
        "repeat_ratio": 0.2,
        "repeat_window_s": 10,
        "n_repeats_floor": 58,
    }
)
# (case, variables, memory in MB and number of descriptors, or None if invalid)
MACHINES = [
    ("defaults", {}, (300.0, 4_100)),
    (
        "variables",
        {"CHESTNUTHALL_MEMORY_MB": "160", "CHESTNUTHALL_DESCRIPTORS": "8192"},
        (160.0, 8_192),
    ),
    ("no value", {"CHESTNUTHALL_MEMORY_MB": ""}, (300.0, 4_100)),
    ("not a number", {"CHESTNUTHALL_MEMORY_MB": "much"}, None),
    ("negative", {"CHESTNUTHALL_DESCRIPTORS": "-1"}, None),
]


@pytest.mark.parametrize(
    ("variables", "machine"), [x[1:] for x in MACHINES], ids=[x[0] for x in MACHINES]
)
def test_machine_is_described_by_variables(variables, machine):
    settings = read_settings(TEXT, "settings", variables)
    if machine is None:
        assert isinstance(settings, Failure)
        assert next(iter(variables)) in settings.reason
    else:
        assert (settings.memory_mb, settings.n_descriptors) == machine
