"""Tests the rate limit and the format of log lines.

Guards against a flood of one error that fills the disk or suppresses the lines of
other events.
"""

import json
import logging

import pytest

from chestnuthall.adapters.logs import EventFormatter, LogLimits, RateLimitFilter
from chestnuthall.adapters.logs._limit import N_CHARACTERS_MAX, N_EVENTS_MAX


def make_record(message, **extra):
    record = logging.makeLogRecord({"name": "log", "msg": message, "levelname": "INFO"})
    record.__dict__.update(extra)
    return record


class Clock:
    at_ms = 0.0

    def now_ms(self):
        return self.at_ms


# (case, milliseconds before each line, lines written, lines dropped)
FLOODS = [
    ("fewer lines than the burst", [0.0] * 3, 3, 0),
    ("more lines than the burst", [0.0] * 10, 4, 6),
    ("one line per second", [1000.0] * 10, 10, 0),
    ("ten lines per second", [100.0] * 50, 4 + 9, 50 - 13),
    ("a pause between bursts", [0.0] * 5 + [10_000.0] + [0.0] * 4, 4 + 4, 2),
]


@pytest.mark.parametrize(
    ("gaps_ms", "n_written", "n_dropped"),
    [case[1:] for case in FLOODS],
    ids=[case[0] for case in FLOODS],
)
def test_volume_is_bounded_and_drops_are_counted(gaps_ms, n_written, n_dropped):
    clock = Clock()
    limit = RateLimitFilter(LogLimits(n_burst=4, n_per_s=2.0), clock.now_ms)
    written = 0
    for gap_ms in gaps_ms:
        clock.at_ms += gap_ms
        written += limit.filter(make_record("flood"))
    assert written == n_written
    assert limit.pop_dropped_counts() == (
        {"log: flood": n_dropped} if n_dropped else {}
    )
    assert limit.pop_dropped_counts() == {}
    assert limit.filter(make_record("another event"))


def test_events_beyond_the_maximum_share_a_budget():
    limit = RateLimitFilter(LogLimits(n_burst=1), lambda: 0.0)
    n_written = sum(limit.filter(make_record(f"event {n}")) for n in range(1000))
    assert n_written == N_EVENTS_MAX + 1
    assert limit.pop_dropped_counts() == {"(other)": 1000 - n_written}


def test_line_has_the_event_first_and_truncated_texts():
    limit = RateLimitFilter(LogLimits(), lambda: 0.0)
    record = make_record("request refused", request_id="r1", reason="x" * 9999)
    assert limit.filter(record)
    fields = json.loads(EventFormatter("entry-0").format(record))
    assert next(iter(fields)) == "event"
    assert fields["event"] == "request_refused"
    assert (fields["instance"], fields["level"]) == ("entry-0", "INFO")
    assert fields["request_id"] == "r1"
    assert len(fields["reason"]) == N_CHARACTERS_MAX + 3
    assert "message" not in fields
