"""The budget that hedges and retries draw on."""

from chestnuthall.core.model import ExtraLoadPolicy

# Credit that a class may save up, in calls. It allows a retry early in the
# life of an instance and bounds a burst of hedges after a calm stretch.
N_CALLS_SAVED_MAX = 10.0


class ExtraLoadBudget:
    """Credit for extra shard calls of one class of callers.

    Each ordinary call adds a fraction of a call to the credit, so that extra
    calls stay a fixed part of all calls over any long stretch.
    """

    def __init__(self, policy: ExtraLoadPolicy) -> None:
        self._policy = policy
        self._credit = 1.0

    def allowed_ratio(self, utilisation_ratio: float) -> float:
        """Return the part of calls that may be extra at a utilisation.

        Examples
        --------
        >>> budget = ExtraLoadBudget(ExtraLoadPolicy())
        >>> budget.allowed_ratio(0.5), budget.allowed_ratio(1.0)
        (0.03, 0.0)
        """
        policy = self._policy
        span = policy.none_above_ratio - policy.full_below_ratio
        headroom = (policy.none_above_ratio - utilisation_ratio) / span
        return policy.max_ratio * min(1.0, max(0.0, headroom))

    def earn(self, n_calls: int, utilisation_ratio: float) -> None:
        """Add the credit for ordinary calls made at a utilisation."""
        earned = n_calls * self.allowed_ratio(utilisation_ratio)
        self._credit = min(N_CALLS_SAVED_MAX, self._credit + earned)

    def try_take(self) -> bool:
        """Take the credit of one extra call; return whether there was enough."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
