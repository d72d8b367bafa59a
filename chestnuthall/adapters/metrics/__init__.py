"""Metrics by statsd, and as text for whoever asks."""

from chestnuthall.adapters.metrics._exposition import CONTENT_TYPE, ExpositionMetrics
from chestnuthall.adapters.metrics._statsd import NullMetrics, StatsdMetrics

__all__ = ["CONTENT_TYPE", "ExpositionMetrics", "NullMetrics", "StatsdMetrics"]
