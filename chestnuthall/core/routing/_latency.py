"""Latency quantiles over a sliding window."""

from bisect import bisect_left, insort
from collections import deque

N_SAMPLES_KEPT = 256


class LatencyWindow:
    """The most recent latencies of one kind of call, in milliseconds.

    Examples
    --------
    >>> window = LatencyWindow()
    >>> for latency_ms in (10.0, 20.0, 30.0, 40.0):
    ...     window.add(latency_ms)
    >>> window.quantile_ms(0.5)
    20.0
    """

    def __init__(self, n_kept: int = N_SAMPLES_KEPT) -> None:
        self._n_kept = n_kept
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def __len__(self) -> int:
        return len(self._recent)

    def add(self, latency_ms: float) -> None:
        """Add a latency and discard the oldest one beyond the window."""
        self._recent.append(latency_ms)
        insort(self._sorted, latency_ms)
        if len(self._recent) > self._n_kept:
            oldest = self._recent.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]

    def quantile_ms(self, quantile: float) -> float | None:
        """Return a quantile between 0 and 1, or None without samples."""
        if not self._sorted:
            return None
        index = max(0, int(quantile * len(self._sorted) + 0.999999) - 1)
        return self._sorted[min(index, len(self._sorted) - 1)]
