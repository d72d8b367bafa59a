"""Metrics sink."""

from typing import Protocol


class Metrics(Protocol):
    """Sink for counters, gauges and durations; never blocks and never raises."""

    def count(self, name: str, n: int = 1) -> None:
        """Add to a counter."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        ...

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration."""
        ...
