"""Metrics ports: statsd over UDP and the Prometheus text format."""

from typing import TYPE_CHECKING

from chestnuthall.lazy_exports import lazy_exports

if TYPE_CHECKING:
    from chestnuthall.adapters.metrics._exposition import (
        CONTENT_TYPE,
        PrometheusMetrics,
    )
    from chestnuthall.adapters.metrics._statsd import NullMetrics, StatsdMetrics

__getattr__ = lazy_exports(
    __name__,
    {
        "_exposition": ("CONTENT_TYPE", "PrometheusMetrics"),
        "_statsd": ("NullMetrics", "StatsdMetrics"),
    },
)

__all__ = ["CONTENT_TYPE", "NullMetrics", "PrometheusMetrics", "StatsdMetrics"]
