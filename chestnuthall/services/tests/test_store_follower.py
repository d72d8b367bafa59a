"""Guards against a watch that outlasts a store outage and delays a change.

During such an outage the store does not answer, so the watch ends only by its time-out.
"""

import pytest

from chestnuthall.core.configuration import (
    Delay,
    DelayEnded,
    ObjectFollower,
    ObjectRead,
    ReadObject,
    StoreCallFailed,
    Watch,
    safe_watch_timeout_ms,
)
from chestnuthall.services._configuration import STORE_TIMEOUT_MS

# Time that the store client adds to the time-out of a watch.
WATCH_MARGIN_MS = 1_000.0
CALL_MS = 10.0


def end_of_read_after_outage_ms(start_ms, outage_ms, recovery_ms):
    """Return when the object is read again after the store stopped answering."""
    follower = ObjectFollower(safe_watch_timeout_ms(recovery_ms))
    now_ms = start_ms
    action = follower.handle(ObjectRead(now_ms, 10))
    while True:
        if isinstance(action, Delay):
            now_ms += action.duration_ms
            event = DelayEnded(now_ms, True, now_ms)
        elif isinstance(action, Watch):
            # A watch in progress when the outage starts gets no answer.
            now_ms += follower.watch_timeout_ms + WATCH_MARGIN_MS
            event = StoreCallFailed(now_ms)
        elif now_ms < outage_ms:
            now_ms += STORE_TIMEOUT_MS
            event = StoreCallFailed(now_ms)
        else:
            assert action == ReadObject()
            return now_ms + CALL_MS
        action = follower.handle(event)


@pytest.mark.parametrize("recovery_ms", [4_000.0, 5_000.0])
@pytest.mark.parametrize("outage_ms", [2_500.0, 3_000.0, 4_500.0, 9_000.0])
@pytest.mark.parametrize("before_ms", [0.0, 700.0, 1_900.0, 3_500.0])
def test_object_is_read_again_before_the_store_counts_as_stable(
    before_ms, outage_ms, recovery_ms
):
    """A change missed its deadline after outages without answers.

    Seen in silent-outage with dps-rail seed 432750903039, and in hunt-70a3-3, -27, -31
    and -39 of dps-rail.
    """
    read_ms = end_of_read_after_outage_ms(-before_ms, outage_ms, recovery_ms)
    assert read_ms <= outage_ms + recovery_ms
