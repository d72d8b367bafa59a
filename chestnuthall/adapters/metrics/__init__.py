"""Metrics by statsd."""

from chestnuthall.adapters.metrics._statsd import NullMetrics, StatsdMetrics

__all__ = ["NullMetrics", "StatsdMetrics"]
