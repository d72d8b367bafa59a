"""Guards the detection of overload from timer lag.

The test fails if a persistent lag is not detected, if a single long iteration of the
event loop or occasional late timers count as overload, or if the overload ends too
early or not at all.
"""

import pytest

from chestnuthall.core.overload import LagSettings, OverloadDetector

# (case, lags in milliseconds, whether overloaded after them)
CASES = [
    ("no sample", [], False),
    ("no lag", [1.0] * 20, False),
    ("one long iteration of the loop", [1.0] * 8 + [900.0] + [1.0] * 3, False),
    ("every second sample is late", [1.0, 100.0] * 10, False),
    ("persistently late", [100.0] * 6, True),
    ("late, then mostly recovered", [100.0] * 8 + [1.0] * 3, True),
    ("late, then recovered", [100.0] * 8 + [1.0] * 7, False),
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
