"""Utilisation of a group's slots as one instance sees it."""

# Weight of a sample. The average covers several queries of a small instance, whose
# number of calls in flight changes by all calls of a query at once.
SAMPLE_WEIGHT = 0.05


class UtilisationAverage:
    """Moving average of samples that are taken when queries arrive.

    Each sample has the same weight, independent of the time since the last one.
    Weighting by time would favour samples after a pause, when nothing is in flight.

    Examples
    --------
    >>> average = UtilisationAverage()
    >>> average.add(0.5), average.add(1.0)
    (0.5, 0.525)
    """

    def __init__(self) -> None:
        self._ratio: float | None = None

    def add(self, ratio: float) -> float:
        """Add one sample and return the average."""
        if self._ratio is None:
            self._ratio = ratio
        else:
            self._ratio += SAMPLE_WEIGHT * (ratio - self._ratio)
        return self._ratio
