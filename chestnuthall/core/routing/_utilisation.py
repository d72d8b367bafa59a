"""Utilisation of a group's slots as one instance sees it."""

from math import exp

# Long enough to cover several queries of a small instance, whose number of
# calls in flight jumps by a whole query at a time.
AVERAGE_OVER_MS = 500.0


class UtilisationAverage:
    """Moving average of samples that come at irregular times.

    Examples
    --------
    >>> average = UtilisationAverage()
    >>> average.add(0.5, 0.0)
    0.5
    >>> round(average.add(1.0, 1000.0), 2)
    0.93
    """

    def __init__(self) -> None:
        self._ratio: float | None = None
        self._added_ms = 0.0

    def add(self, ratio: float, now_ms: float) -> float:
        """Fold in one sample and return the average."""
        if self._ratio is None:
            self._ratio = ratio
        else:
            weight = 1.0 - exp(-(now_ms - self._added_ms) / AVERAGE_OVER_MS)
            self._ratio += weight * (ratio - self._ratio)
        self._added_ms = now_ms
        return self._ratio
