"""The budgets that hedges and retries draw on."""

from collections.abc import Collection
from typing import Protocol

from chestnuthall.core.model import ExtraLoadPolicy

# Credit that a class may save up, in calls. It bounds a burst of extra calls
# after a calm stretch.
N_CALLS_SAVED_MAX = 10.0
# By how much the retries of lost calls may overdraw the credit. A retry saves
# coverage, a hedge only time, and the loss of a zone takes one call of many
# shards at once.
N_CALLS_OVERDRAWN_MAX = 10.0
# By how much hedges of calls far beyond the hedge delay may overdraw it.
N_HEDGES_OVERDRAWN_MAX = 5.0
FAR_BEYOND_RATIO = 1.2
# Credit at the start, before any call has earned some.
N_CALLS_AT_START = 1.0


class ExtraLoad(Protocol):
    """Decides whether a call beyond the first one of a shard may be made."""

    def record_calls(
        self, shard_ids: Collection[str], utilisation_ratio: float, now_ms: float
    ) -> None:
        """Note the first calls of a query, made at a utilisation."""
        ...

    def try_acquire_retry(
        self, shard_id: str, now_ms: float, may_overdraw: bool = False
    ) -> bool:
        """Take the credit of one retry; return whether there was enough."""
        ...

    def try_acquire_hedge(
        self, shard_id: str, now_ms: float, lateness_ratio: float
    ) -> bool:
        """Take the credit of one hedge; return whether there was enough."""
        ...


class ExtraLoadBudget:
    """Credit for extra shard calls of one class of callers.

    Each ordinary call adds a fraction of a call to the credit, so that extra
    calls stay a fixed part of all calls over any long stretch. Retries go before
    hedges, in that they may overdraw the credit further.
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

    def record_calls(
        self, shard_ids: Collection[str], utilisation_ratio: float, now_ms: float
    ) -> None:
        """Add the credit for ordinary calls made at a utilisation."""
        self._utilisation_ratio = utilisation_ratio
        earned = len(shard_ids) * self.allowed_ratio(utilisation_ratio)
        self._credit = min(N_CALLS_SAVED_MAX, self._credit + earned)

    def try_acquire_retry(
        self, shard_id: str, now_ms: float, may_overdraw: bool = False
    ) -> bool:
        """Take the credit of one retry; return whether there was enough.

        ``may_overdraw`` lets the credit fall below zero by a bounded amount,
        which later calls have to earn back before any hedge.
        """
        least = 1.0 - N_CALLS_OVERDRAWN_MAX if may_overdraw else 1.0
        if self._credit < least:
            return False
        self._credit -= 1.0
        return True

    def try_acquire_hedge(
        self, shard_id: str, now_ms: float, lateness_ratio: float
    ) -> bool:
        """Take the credit of one hedge; return whether there was enough.

        ``lateness_ratio`` is the age of the call over the hedge delay. Only a
        call far beyond the delay may overdraw the credit, since it is likely to
        be held by a slowed replica, and those come in bursts.
        Saved credit buys no hedges while the group is saturated, since their
        load would delay the calls of every class.
        """
        if self._utilisation_ratio >= self.policy.none_above_ratio:
            return False
        is_far_beyond = lateness_ratio >= FAR_BEYOND_RATIO
        if self._credit < (1.0 - N_HEDGES_OVERDRAWN_MAX if is_far_beyond else 1.0):
            return False
        self._credit -= 1.0
        return True
