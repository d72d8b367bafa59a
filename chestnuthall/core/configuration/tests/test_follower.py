"""Guards against a watch that hangs through a silent outage past a change."""

import pytest

from chestnuthall.core.configuration import safe_watch_timeout_ms
from chestnuthall.core.configuration._follower import PAUSE_FIRST_MS

# Time that the store client adds to a watch, and a call after it.
WATCH_MARGIN_MS = 1_000.0
CALL_MS = 300.0


@pytest.mark.parametrize("outage_ms", [0.0, 500.0, 4_500.0])
@pytest.mark.parametrize(
    ("settle_ms", "deadline_ms"), [(4_000.0, 3_000.0), (5_000.0, 5_000.0)]
)
def test_hung_watch_is_over_before_a_change_is_due(settle_ms, deadline_ms, outage_ms):
    """Watches of 20 s broke the deadline after silent outages: hunts on
    silent-outage, dps-rail seed 432750903039 and hmv-suche seed 804441762404."""
    watch_ms = safe_watch_timeout_ms(settle_ms, deadline_ms)
    known_ms = watch_ms + WATCH_MARGIN_MS + PAUSE_FIRST_MS + CALL_MS
    assert known_ms <= outage_ms + settle_ms + deadline_ms
