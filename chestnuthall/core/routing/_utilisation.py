"""Utilisation of a group's slots as one instance sees it."""

# Covers several queries of a small instance, whose number of calls in flight
# jumps by a whole query at a time.
SAMPLE_WEIGHT = 0.05


class UtilisationAverage:
    """Moving average of samples that are taken as queries arrive.

    Each sample has the same weight, whatever the time since the last one. A
    weight by time would favour samples after a pause, which find nothing in
    flight.

    Examples
    --------
    >>> average = UtilisationAverage()
    >>> average.add(0.5), average.add(1.0)
    (0.5, 0.525)
    """

    def __init__(self) -> None:
        self._ratio: float | None = None

    def add(self, ratio: float) -> float:
        """Fold in one sample and return the average."""
        if self._ratio is None:
            self._ratio = ratio
        else:
            self._ratio += SAMPLE_WEIGHT * (ratio - self._ratio)
        return self._ratio
