"""Limits on the calls that claims make to the object store."""


class WriteRateLimiter:
    """Rate budget for writes, shared by all partitions of an instance.

    Turns are spaced evenly once the burst is used up.

    Examples
    --------
    >>> budget = WriteRateLimiter(n_burst=1)
    >>> [budget.reserve(0.0, 10.0) for _ in range(3)]
    [0.0, 100.0, 200.0]
    """

    def __init__(self, n_burst: int) -> None:
        self._n_burst = n_burst
        self._empty_at_ms = 0.0

    def reserve(self, now_ms: float, rate_per_s: float) -> float:
        """Take the next turn; return the milliseconds until it comes."""
        interval_ms = 1000.0 / rate_per_s
        earliest_ms = now_ms - (self._n_burst - 1) * interval_ms
        turn_ms = max(self._empty_at_ms, earliest_ms)
        self._empty_at_ms = turn_ms + interval_ms
        return max(0.0, turn_ms - now_ms)


class StoreCircuitBreaker:
    """Fails claims at once while the store is known to be down.

    After a failure calls are held back for a delay that doubles; then a single
    call probes the store, and the others go on failing until it succeeds.
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
        """Return whether a call may be made; the first one probes."""
        if not self.is_open:
            return True
        if now_ms < self._blocked_until_ms:
            return False
        self._is_probing = True
        self._blocked_until_ms = now_ms + self._delay_ms
        return True

    def record_failure(self, now_ms: float) -> None:
        """Note that the store did not answer.

        Calls that were under way together count as one failure.
        """
        if self.is_open and not self._is_probing:
            return
        self._is_probing = False
        doubled_ms = max(self._first_ms, self._delay_ms * 2.0)
        self._delay_ms = min(doubled_ms, self._longest_ms)
        self._blocked_until_ms = now_ms + self._delay_ms

    def record_success(self) -> None:
        """Note that the store answered."""
        self._is_probing = False
        self._delay_ms = 0.0
