"""The budget that hedges and retries draw on."""

from chestnuthall.core.model import ExtraLoadPolicy

# Credit that a class may save up, in calls. It bounds a burst of extra calls
# after a calm stretch.
N_CALLS_SAVED_MAX = 10.0
# Credit that hedges leave to retries: a retry saves coverage, a hedge only time.
N_CALLS_FOR_RETRIES = 5.0
# By how much the retries of lost calls may overdraw the credit. The loss of a
# zone takes one call of many shards at once, and each one costs coverage.
N_CALLS_OVERDRAWN_MAX = 10.0
# Credit at the start, which only a retry can use.
N_CALLS_AT_START = 2.0


class ExtraLoadBudget:
    """Credit for extra shard calls of one class of callers.

    Each ordinary call adds a fraction of a call to the credit, so that extra
    calls stay a fixed part of all calls over any long stretch. The last part of
    the credit is kept for retries.
    """

    def __init__(self, policy: ExtraLoadPolicy) -> None:
        self.policy = policy
        self._credit = N_CALLS_AT_START
        self._utilisation_ratio = 0.0

    def allowed_ratio(self, utilisation_ratio: float) -> float:
        """Return the part of calls that may be extra at a utilisation.

        Examples
        --------
        >>> budget = ExtraLoadBudget(ExtraLoadPolicy())
        >>> budget.allowed_ratio(0.5), budget.allowed_ratio(1.0)
        (0.03, 0.0)
        """
        policy = self.policy
        span = policy.none_above_ratio - policy.full_below_ratio
        headroom = (policy.none_above_ratio - utilisation_ratio) / span
        return policy.max_ratio * min(1.0, max(0.0, headroom))

    def earn(self, n_calls: int, utilisation_ratio: float) -> None:
        """Add the credit for ordinary calls made at a utilisation."""
        self._utilisation_ratio = utilisation_ratio
        earned = n_calls * self.allowed_ratio(utilisation_ratio)
        self._credit = min(N_CALLS_SAVED_MAX, self._credit + earned)

    def try_take_retry(self, may_overdraw: bool = False) -> bool:
        """Take the credit of one retry; return whether there was enough.

        ``may_overdraw`` lets the credit fall below zero by a bounded amount,
        which later calls have to earn back before any hedge.
        """
        least = 1.0 - N_CALLS_OVERDRAWN_MAX if may_overdraw else 1.0
        if self._credit < least:
            return False
        self._credit -= 1.0
        return True

    def try_take_hedge(self) -> bool:
        """Take the credit of one hedge; return whether there was enough.

        Saved credit buys no hedges while the group is saturated, since their
        load would delay the calls of every class.
        """
        if self._utilisation_ratio >= self.policy.none_above_ratio:
            return False
        if self._credit < N_CALLS_FOR_RETRIES + 1.0:
            return False
        self._credit -= 1.0
        return True
