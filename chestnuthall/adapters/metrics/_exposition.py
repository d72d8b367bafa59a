"""Metrics port in the Prometheus text exposition format."""

import sys
from bisect import bisect_left
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from prometheus_client.core import Metric

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
PREFIX = "chestnuthall"
# Bounds of the latency histograms, in milliseconds: fine around the objectives of
# tens to hundreds, coarse up to the longest deadlines.
BUCKETS_MS = (2, 5, 10, 20, 30, 50, 75, 100, 150, 200, 300, 500, 1000, 2000, 5000)
# Names come from the code and from result codes. The maximum keeps a defect that
# composes names at run time from exhausting the memory.
N_NAMES_MAX = 1024


@dataclass(slots=True)
class _Durations:
    """Number of durations by bucket, the last one without a bound, and their sum."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS_MS) + 1))
    total_ms: float = 0.0


class PrometheusMetrics:
    """Keeps counters, gauges and histograms for scraping.

    A name up to its first dot is the metric; the rest is the value of its label
    ``of``, as in ``chestnuthall_requests_total{of="scatter.ok"}``.

    The library that formats them takes 5 MB, so it is imported at the first scrape.
    """

    def __init__(self) -> None:
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, _Durations] = {}

    def _may_add(self) -> bool:
        n_names = len(self._counters) + len(self._gauges) + len(self._histograms)
        return n_names < N_NAMES_MAX

    def count(self, name: str, n: int = 1) -> None:
        """Add to a counter."""
        if name in self._counters or self._may_add():
            self._counters[name] = self._counters.get(name, 0) + n

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if name in self._gauges or self._may_add():
            self._gauges[name] = value

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration."""
        durations = self._histograms.get(name)
        if durations is None:
            if not self._may_add():
                return
            durations = self._histograms[name] = _Durations()
        durations.counts[bisect_left(BUCKETS_MS, duration_ms)] += 1
        durations.total_ms += duration_ms

    def collect(self) -> "Iterator[Metric]":
        """Yield all metrics in the types of the library; called by its registry."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for metric, names in _by_metric(self._counters).items():
            counter = CounterMetricFamily(*_description(metric), labels=["of"])
            for label, name in names:
                counter.add_metric([label], self._counters[name])
            yield counter
        for metric, names in _by_metric(self._gauges).items():
            gauge = GaugeMetricFamily(*_description(metric), labels=["of"])
            for label, name in names:
                gauge.add_metric([label], self._gauges[name])
            yield gauge
        for metric, names in _by_metric(self._histograms).items():
            histogram = HistogramMetricFamily(*_description(metric), labels=["of"])
            for label, name in names:
                durations = self._histograms[name]
                histogram.add_metric(
                    [label], _cumulative_buckets(durations), durations.total_ms
                )
            yield histogram

    def render(self) -> bytes:
        """Return all metrics in the text exposition format."""
        # The library imports ssl, which a program may have blocked to start with less
        # memory.
        if sys.modules.get("ssl", sys) is None:
            del sys.modules["ssl"]
        from prometheus_client import CollectorRegistry
        from prometheus_client.exposition import generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        data: bytes = generate_latest(registry)
        return data


def _by_metric(names: Iterable[str]) -> dict[str, list[tuple[str, str]]]:
    """Return the label and the full name of each series, by metric."""
    by_metric: dict[str, list[tuple[str, str]]] = {}
    for name in names:
        metric, _, label = name.partition(".")
        by_metric.setdefault(metric, []).append((label, name))
    return by_metric


def _description(metric: str) -> tuple[str, str]:
    return f"{PREFIX}_{metric}", f"{metric} by part; see docs/metrics.md"


def _cumulative_buckets(durations: _Durations) -> list[tuple[str, float]]:
    """Return the upper bound of each bucket and the number of durations up to it."""
    bounds = [*(str(float(bound)) for bound in BUCKETS_MS), "+Inf"]
    n_total = 0
    buckets: list[tuple[str, float]] = []
    for bound, n_durations in zip(bounds, durations.counts, strict=True):
        n_total += n_durations
        buckets.append((bound, float(n_total)))
    return buckets
