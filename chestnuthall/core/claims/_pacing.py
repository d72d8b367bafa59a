"""Rate limiter and circuit breaker for the store calls of claims."""


class WriteRateLimiter:
    """Rate budget for writes, shared by all partitions of an instance.

    It allows a burst of ``n_burst`` writes and spaces further writes evenly, by
    the generic cell rate algorithm.

    Examples
    --------
    >>> limiter = WriteRateLimiter(n_burst=1)
    >>> [limiter.reserve(0.0, 10.0) for _ in range(3)]
    [0.0, 100.0, 200.0]
    """

    def __init__(self, n_burst: int) -> None:
        self._n_burst = n_burst
        self._theoretical_arrival_ms = 0.0

    def reserve(self, now_ms: float, rate_per_s: float) -> float:
        """Reserve the next write and return the wait before it in milliseconds."""
        interval_ms = 1000.0 / rate_per_s
        earliest_ms = now_ms - (self._n_burst - 1) * interval_ms
        write_ms = max(self._theoretical_arrival_ms, earliest_ms)
        self._theoretical_arrival_ms = write_ms + interval_ms
        return max(0.0, write_ms - now_ms)


class StoreCircuitBreaker:
    """Circuit breaker that fails claims at once while the store is unavailable.

    After a failure, calls are blocked for a delay that doubles with each further
    failure. Then one call probes the store, and the others keep failing until a
    call succeeds.
    """

    def __init__(self, first_ms: float = 100.0, longest_ms: float = 1_000.0) -> None:
        self._first_ms = first_ms
        self._longest_ms = longest_ms
        self._delay_ms = 0.0
        self._blocked_until_ms = 0.0
        self._is_probing = False

    @property
    def is_open(self) -> bool:
        """Whether the last call failed."""
        return self._delay_ms > 0.0

    def try_acquire(self, now_ms: float) -> bool:
        """Return whether a call may be made.

        While the breaker is open, one call per delay is allowed as a probe.
        """
        if not self.is_open:
            return True
        if now_ms < self._blocked_until_ms:
            return False
        self._is_probing = True
        self._blocked_until_ms = now_ms + self._delay_ms
        return True

    def record_failure(self, now_ms: float) -> None:
        """Record a failed call.

        Calls that were in progress together count as one failure.
        """
        if self.is_open and not self._is_probing:
            return
        self._is_probing = False
        doubled_ms = max(self._first_ms, self._delay_ms * 2.0)
        self._delay_ms = min(doubled_ms, self._longest_ms)
        self._blocked_until_ms = now_ms + self._delay_ms

    def record_success(self) -> None:
        """Record that the store answered, which closes the breaker."""
        self._is_probing = False
        self._delay_ms = 0.0
