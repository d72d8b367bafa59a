"""How many requests each group of upstreams may have in flight."""

from collections import Counter


class RequestSlots:
    """Divides the requests that may be in flight among the groups that they are for.

    A group may have as many as are still free. So one whose requests do not end takes
    half of them at most, two take two thirds, and there is always room for another.

    Examples
    --------
    >>> slots = RequestSlots(4)
    >>> [slots.try_start("slow") for _ in range(4)]
    [True, True, False, False]
    >>> slots.try_start("other"), slots.try_start("other")
    (True, False)
    >>> slots.end("slow")
    >>> slots.try_start("other")
    True
    """

    def __init__(self, n_max: int) -> None:
        self._n_max = n_max
        self._n_total = 0
        self._n_by_group: Counter[str] = Counter()

    def try_start(self, group: str) -> bool:
        """Count a request if its group may have another one."""
        if self._n_by_group[group] >= self._n_max - self._n_total:
            return False
        self._n_total += 1
        self._n_by_group[group] += 1
        return True

    def end(self, group: str) -> None:
        """Note the end of a request that was counted."""
        self._n_total -= 1
        self._n_by_group[group] -= 1
        if not self._n_by_group[group]:
            del self._n_by_group[group]
