"""Guards against an overloaded instance that keeps its callers, or a calm one
that sends them away."""

import pytest

from chestnuthall.core.overload import LagSettings, OverloadDetector

# (case, lags in milliseconds, whether overloaded after them)
CASES = [
    ("no sample", [], False),
    ("calm", [1.0] * 20, False),
    ("one long turn of the loop", [1.0] * 8 + [900.0] + [1.0] * 3, False),
    ("every second sample is late", [1.0, 100.0] * 10, False),
    ("steadily late", [100.0] * 6, True),
    ("late, then better", [100.0] * 8 + [1.0] * 3, True),
    ("late, then calm", [100.0] * 8 + [1.0] * 7, False),
]


@pytest.mark.parametrize(
    ("lags_ms", "is_overloaded"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_overload(lags_ms, is_overloaded):
    detector = OverloadDetector(LagSettings())
    for lag_ms in lags_ms:
        detector.observe(lag_ms)
    assert detector.is_overloaded == is_overloaded
