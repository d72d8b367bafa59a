"""Metrics ports: statsd over UDP and the Prometheus text format."""

from chestnuthall.adapters.metrics._exposition import CONTENT_TYPE, PrometheusMetrics
from chestnuthall.adapters.metrics._statsd import NullMetrics, StatsdMetrics

__all__ = ["CONTENT_TYPE", "PrometheusMetrics", "NullMetrics", "StatsdMetrics"]
