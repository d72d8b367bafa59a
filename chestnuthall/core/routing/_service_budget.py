"""Bound on the repeated calls to each service, over a sliding window.

A repeat is a retry or a hedge.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

# Fraction of the allowance that an instance uses. The rest covers calls that reach
# the service later than they are counted here, in a window with fewer requests.
USABLE_RATIO = 0.95
# Fraction of the usable allowance that is open to hedges. The rest is reserved for
# retries, since a retry saves an answer and a hedge only time.
HEDGE_RATIO = 0.9


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceExtraLoadLimits:
    """Allowance of the whole fleet for each service.

    In any window of ``window_ms`` a service may get ``n_floor`` repeats plus
    ``ratio`` times the number of its requests.
    """

    ratio: float
    window_ms: float
    n_floor: float


@dataclass(slots=True)
class _Window:
    """Times of the requests and repeats of one service."""

    requested_ms: deque[float] = field(default_factory=deque)
    repeated_ms: deque[float] = field(default_factory=deque)

    def discard_before(self, oldest_ms: float) -> None:
        for times in (self.requested_ms, self.repeated_ms):
            while times and times[0] < oldest_ms:
                times.popleft()


class ServiceExtraLoadBudget:
    """This instance's quota of the allowance for repeats of each service.

    The quota is the ratio of the instance's own requests and an equal fraction of
    the floor, so that the fleet keeps within the bound without coordination. The
    windows slide, and a repeat is counted when it is sent.

    Examples
    --------
    >>> limits = ServiceExtraLoadLimits(ratio=0.2, window_ms=10_000.0, n_floor=0.0)
    >>> budget = ServiceExtraLoadBudget(limits)
    >>> for now_ms in range(10):
    ...     budget.record_calls(["a"], 0.0, float(now_ms))
    >>> [budget.try_acquire_retry("a", 20.0) for _ in range(3)]
    [True, False, False]
    """

    def __init__(self, limits: ServiceExtraLoadLimits) -> None:
        self._limits = limits
        self._windows: dict[str, _Window] = {}
        self._n_instances: int | None = None

    def set_n_instances(self, n_instances: int | None) -> None:
        """Set an upper bound on the instances that share the floor.

        None means that it is unknown; the instance then uses nothing of the floor.
        """
        self._n_instances = n_instances

    def record_calls(
        self, shard_ids: Collection[str], utilisation_ratio: float, now_ms: float
    ) -> None:
        """Record the first calls of a query, one for each shard."""
        for shard_id in shard_ids:
            self._window(shard_id, now_ms).requested_ms.append(now_ms)

    def try_acquire_retry(
        self, shard_id: str, now_ms: float, may_overdraw: bool = False
    ) -> bool:
        """Count one retry if it is within the allowance; return whether it is."""
        return self._try_acquire(shard_id, now_ms, 1.0)

    def try_acquire_hedge(
        self, shard_id: str, now_ms: float, lateness_ratio: float
    ) -> bool:
        """Count one hedge if it is within the allowance for hedges.

        Return whether it is.
        """
        return self._try_acquire(shard_id, now_ms, HEDGE_RATIO)

    def _try_acquire(self, shard_id: str, now_ms: float, usable_ratio: float) -> bool:
        window = self._window(shard_id, now_ms)
        allowed = USABLE_RATIO * usable_ratio * self._allowance(window)
        if len(window.repeated_ms) + 1 > allowed:
            return False
        window.repeated_ms.append(now_ms)
        return True

    def _allowance(self, window: _Window) -> float:
        floor = 0.0
        if self._n_instances is not None:
            floor = self._limits.n_floor / self._n_instances
        return self._limits.ratio * len(window.requested_ms) + floor

    def _window(self, shard_id: str, now_ms: float) -> _Window:
        window = self._windows.get(shard_id)
        if window is None:
            window = self._windows[shard_id] = _Window()
        window.discard_before(now_ms - self._limits.window_ms)
        return window

    def remove_idle(self, now_ms: float) -> None:
        """Remove the windows of services without recent requests or repeats."""
        for shard_id in tuple(self._windows):
            window = self._window(shard_id, now_ms)
            if not window.requested_ms and not window.repeated_ms:
                del self._windows[shard_id]
