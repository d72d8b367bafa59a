"""Measured service times of a group, and the waiting times that follow from them."""

# Weight of the newest duration in the moving averages.
CALL_WEIGHT = 0.02
QUERY_WEIGHT = 0.05
# Time reserved for running a query, as a multiple of the mean time of its kind.
# With the mean alone about one query in three would miss its deadline.
RUN_FACTOR = 1.5


class ServiceTimes:
    """Moving averages of how long shard calls and whole queries take.

    Examples
    --------
    >>> times = ServiceTimes()
    >>> times.observe_call(20.0)
    >>> times.wait_ms(ahead_cost=30.0, limit_cost=10.0, share_ratio=0.5)
    120.0
    """

    def __init__(self) -> None:
        self.call_ms: float | None = None
        self.lag_ms = 0.0
        self._query_ms: dict[str, float] = {}

    def observe_call(self, service_ms: float) -> None:
        """Add the duration of one shard call to the average."""
        self.call_ms = _average(self.call_ms, service_ms, CALL_WEIGHT)

    def observe_query(self, kind: str, service_ms: float) -> None:
        """Add the time from admission of a query to its end to the average."""
        average = self._query_ms.get(kind)
        self._query_ms[kind] = _average(average, service_ms, QUERY_WEIGHT)

    def needed_ms(self, kind: str) -> float:
        """Return the time that an admitted query needs; 0 if unknown.

        The lag of the event loop delays each query, including those measured before
        the loop became busy.
        """
        query_ms = self._query_ms.get(kind)
        return 0.0 if query_ms is None else RUN_FACTOR * query_ms + self.lag_ms

    def wait_ms(
        self, *, ahead_cost: float, limit_cost: float, share_ratio: float
    ) -> float:
        """Return how long the calls ahead take within a share of the limit.

        The result is 0 until the duration of a call has been measured.
        """
        if self.call_ms is None or limit_cost <= 0.0:
            return 0.0
        return ahead_cost * self.call_ms / (limit_cost * share_ratio)


def _average(average: float | None, value: float, weight: float) -> float:
    return value if average is None else average + weight * (value - average)
