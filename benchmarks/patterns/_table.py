"""Figures of a played load pattern, by class."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from benchmarks.patterns._play import Attempt

# Rejections compared with the drain of the queue that they met.
N_DRAINS_MAX = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassFigures:
    """Figures of one class.

    ``drain_ratio`` is the median ratio of the drain time that rejections stated to the
    time until the queue that they met had drained, or None without such rejections.
    The wait of a rejected caller is longer than the drain time by the returns that
    were booked before it.
    """

    n_callers: int
    served_ratio: float
    p50_ms: float
    p99_ms: float
    n_rejections: int
    retry_after_p50_ms: float
    n_returns: int
    returns_served_ratio: float
    drain_ratio: float | None
    extra_load_ratio: float


def figures_by_class(attempts: Sequence[Attempt]) -> dict[str, ClassFigures]:
    """Return the figures of each class, in order of the names."""
    names = sorted({item.class_name for item in attempts})
    return {
        name: _figures([item for item in attempts if item.class_name == name])
        for name in names
    }


def _figures(attempts: list[Attempt]) -> ClassFigures:
    answers = [item for item in attempts if item.is_answer]
    latencies_ms = np.array([item.latency_ms for item in answers] or [0.0])
    rejections = [item for item in attempts if item.was_rejected]
    waits_ms = [x.retry_after_ms for x in rejections if x.retry_after_ms is not None]
    returns = [item for item in attempts if item.is_return]
    n_callers = sum(item.number == 0 for item in attempts)
    n_calls = sum(item.n_calls for item in attempts)
    ratios = [
        item.drain_ms / measured_ms
        for item in rejections[:N_DRAINS_MAX]
        if item.drain_ms is not None
        and (measured_ms := _measured_drain_ms(item, attempts)) > 0.0
    ]
    return ClassFigures(
        n_callers=n_callers,
        served_ratio=len(answers) / max(1, n_callers),
        p50_ms=float(np.quantile(latencies_ms, 0.5)),
        p99_ms=float(np.quantile(latencies_ms, 0.99)),
        n_rejections=len(rejections),
        retry_after_p50_ms=float(np.quantile(np.array(waits_ms or [0.0]), 0.5)),
        n_returns=len(returns),
        returns_served_ratio=sum(x.is_answer for x in returns) / max(1, len(returns)),
        drain_ratio=float(np.median(ratios)) if ratios else None,
        extra_load_ratio=sum(x.n_extra_calls for x in attempts) / max(1, n_calls),
    )


def _measured_drain_ms(rejected: Attempt, attempts: Sequence[Attempt]) -> float:
    """Return when the last query started that was queued at a rejection."""
    now_ms = rejected.arrived_ms
    started_ms = [
        item.admitted_ms
        for item in attempts
        if item.instance == rejected.instance
        and item.admitted_ms is not None
        and item.arrived_ms <= now_ms < item.admitted_ms
    ]
    return max(started_ms, default=now_ms) - now_ms
