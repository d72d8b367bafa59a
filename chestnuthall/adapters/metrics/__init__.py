"""Metrics ports: statsd over UDP and the Prometheus text format."""

from chestnuthall.adapters.metrics._exposition import CONTENT_TYPE, ExpositionMetrics
from chestnuthall.adapters.metrics._statsd import NullMetrics, StatsdMetrics

__all__ = ["CONTENT_TYPE", "ExpositionMetrics", "NullMetrics", "StatsdMetrics"]
