"""Metrics port on statsd over UDP."""

import asyncio
from collections.abc import Collection
from random import Random

from statsd import StatsClient

# Metrics are sent at most once per interval, so that the number of datagrams does
# not grow with the rate of requests or of errors.
SEND_INTERVAL_S = 1.0
N_TIMINGS_MAX = 20
N_NAMES_MAX = 512


class StatsdMetrics:
    """Aggregates metrics and sends them once a second.

    For each timing, a random sample of at most ``N_TIMINGS_MAX`` durations is sent.
    Values of names beyond the first ``N_NAMES_MAX`` are dropped and counted. Lost
    datagrams are not detected.
    """

    def __init__(self, host: str, port: int, prefix: str) -> None:
        self._client = StatsClient(host, port, prefix=prefix)
        self._random = Random(0)
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._timings: dict[str, list[float]] = {}
        self._n_timings: dict[str, int] = {}
        self._n_dropped = 0
        self._timer: asyncio.TimerHandle | None = None

    def count(self, name: str, n: int = 1) -> None:
        """Add to a counter."""
        if self._can_record(name, self._counts):
            self._counts[name] = self._counts.get(name, 0) + n

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._can_record(name, self._gauges):
            self._gauges[name] = value

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration."""
        if not self._can_record(name, self._timings):
            return
        sample = self._timings.setdefault(name, [])
        n_seen = self._n_timings.get(name, 0) + 1
        self._n_timings[name] = n_seen
        if len(sample) < N_TIMINGS_MAX:
            sample.append(duration_ms)
            return
        # Reservoir sampling: each duration is equally likely to stay in the sample.
        index = self._random.randrange(n_seen)
        if index < N_TIMINGS_MAX:
            sample[index] = duration_ms

    def _can_record(self, name: str, table: Collection[str]) -> bool:
        """Schedule the next send and return whether the table accepts the name."""
        self._schedule_send()
        if name in table or len(table) < N_NAMES_MAX:
            return True
        self._n_dropped += 1
        return False

    def _schedule_send(self) -> None:
        if self._timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SEND_INTERVAL_S, self.send)

    def send(self) -> None:
        """Send the metrics recorded since the last call."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._n_dropped:
            self._counts["metrics.dropped"] = self._n_dropped
        with self._client.pipeline() as pipe:
            for name, n in self._counts.items():
                pipe.incr(name, n)
            for name, value in self._gauges.items():
                pipe.gauge(name, value)
            for name, sample in self._timings.items():
                for duration_ms in sample:
                    pipe.timing(name, duration_ms)
        for table in (self._counts, self._gauges, self._timings, self._n_timings):
            table.clear()
        self._n_dropped = 0


class NullMetrics:
    """Drops every metric; used where no statsd address is set."""

    def count(self, name: str, n: int = 1) -> None:
        """Drop a count."""

    def gauge(self, name: str, value: float) -> None:
        """Drop a gauge."""

    def timing(self, name: str, duration_ms: float) -> None:
        """Drop a duration."""
