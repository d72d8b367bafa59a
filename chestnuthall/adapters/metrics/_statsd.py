"""Metrics port on statsd over UDP."""

from statsd import StatsClient


class StatsdMetrics:
    """Sends each metric as one datagram; losses are not noticed."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        self._client = StatsClient(host, port, prefix=prefix)

    def count(self, name: str, n: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, n)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, value)

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration."""
        self._client.timing(name, duration_ms)


class NullMetrics:
    """Drops every metric; used where no statsd address is set."""

    def count(self, name: str, n: int = 1) -> None:
        """Drop a count."""

    def gauge(self, name: str, value: float) -> None:
        """Drop a gauge."""

    def timing(self, name: str, duration_ms: float) -> None:
        """Drop a duration."""
