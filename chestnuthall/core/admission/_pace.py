"""Measured pace of a group, and whether a deadline can be met at it."""

# Weight of the newest duration in the moving averages.
CALL_WEIGHT = 0.02
QUERY_WEIGHT = 0.05
# Time that is set aside for running a query, as a multiple of the mean time of
# its kind. With the mean alone about one in three would end after its deadline.
RUN_FACTOR = 1.5


class Pace:
    """Moving averages of how long shard calls and whole queries take.

    Examples
    --------
    >>> pace = Pace()
    >>> pace.observe_call(20.0)
    >>> pace.wait_ms(ahead_cost=30.0, limit_cost=10.0, share_ratio=0.5)
    120.0
    """

    def __init__(self) -> None:
        self.call_ms: float | None = None
        self._query_ms: dict[str, float] = {}

    def observe_call(self, service_ms: float) -> None:
        """Fold in the duration of one shard call."""
        self.call_ms = _average(self.call_ms, service_ms, CALL_WEIGHT)

    def observe_query(self, kind: str, service_ms: float) -> None:
        """Fold in the time from admission of a query to its end."""
        average = self._query_ms.get(kind)
        self._query_ms[kind] = _average(average, service_ms, QUERY_WEIGHT)

    def needed_ms(self, kind: str) -> float:
        """Return the time that an admitted query needs; 0 if unknown."""
        return RUN_FACTOR * self._query_ms.get(kind, 0.0)

    def wait_ms(
        self, *, ahead_cost: float, limit_cost: float, share_ratio: float
    ) -> float:
        """Return how long the calls ahead take in a part of the limit.

        The result is 0 until a duration was measured.
        """
        if self.call_ms is None or limit_cost <= 0.0:
            return 0.0
        return ahead_cost * self.call_ms / (limit_cost * share_ratio)


def _average(average: float | None, value: float, weight: float) -> float:
    return value if average is None else average + weight * (value - average)
