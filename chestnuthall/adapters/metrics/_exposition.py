"""Metrics port in the Prometheus text exposition format."""

from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
PREFIX = "chestnuthall"
# Bounds of the latency histograms, in milliseconds: fine around the objectives of
# tens to hundreds, coarse up to the longest deadlines.
BUCKETS_MS = (2, 5, 10, 20, 30, 50, 75, 100, 150, 200, 300, 500, 1000, 2000, 5000)
# Names come from the code and from result codes. The maximum keeps a defect that
# composes names at run time from exhausting the memory.
N_NAMES_MAX = 1024


class PrometheusMetrics:
    """Keeps counters, gauges and histograms for scraping.

    A name up to its first dot is the metric; the rest is the value of its label
    ``of``, as in ``chestnuthall_requests_total{of="scatter.ok"}``.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}
        self._children: dict[str, Counter | Gauge | Histogram] = {}

    def count(self, name: str, n: int = 1) -> None:
        """Add to a counter."""
        child = self._children.get(name) or self._add_child(
            name, Counter, self._counters
        )
        if isinstance(child, Counter):
            child.inc(n)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        child = self._children.get(name) or self._add_child(name, Gauge, self._gauges)
        if isinstance(child, Gauge):
            child.set(value)

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration."""
        child = self._children.get(name) or self._add_child(
            name, Histogram, self._histograms
        )
        if isinstance(child, Histogram):
            child.observe(duration_ms)

    def _add_child(
        self, name: str, kind: type[Any], families: dict[str, Any]
    ) -> Counter | Gauge | Histogram | None:
        if len(self._children) >= N_NAMES_MAX:
            return None
        metric, _, detail = name.partition(".")
        family = families.get(metric)
        if family is None:
            options = {"buckets": BUCKETS_MS} if kind is Histogram else {}
            family = families[metric] = kind(
                f"{PREFIX}_{metric}",
                f"{metric} by part; see docs/metrics.md",
                ["of"],
                registry=self._registry,
                **options,
            )
        child = self._children[name] = family.labels(detail)
        return child

    def render(self) -> bytes:
        """Return all metrics in the text exposition format."""
        data: bytes = generate_latest(self._registry)
        return data
