"""Budgets for the extra load of hedges and retries."""

from collections.abc import Collection
from typing import Protocol

from chestnuthall.core.model import ExtraLoadPolicy

# Credit that a class may accumulate, in calls. It bounds a burst of extra calls
# after a period with few of them.
N_CREDIT_CALLS_MAX = 10.0
# Amount by which retries of lost calls may overdraw the credit, in calls. A retry saves
# coverage and a hedge only time, and the loss of a zone loses one call to each of
# many shards at once.
N_RETRIES_OVERDRAWN_MAX = 10.0
# Amount by which hedges may overdraw the credit, in calls.
N_HEDGES_OVERDRAWN_MAX = 5.0
# Minimum age of a call whose hedge may overdraw the credit, as a multiple of the hedge
# delay.
OVERDRAW_LATENESS_RATIO = 1.2
# Initial credit, before any call has added to it.
N_CREDIT_CALLS_INITIAL = 1.0


class ExtraLoad(Protocol):
    """Decides whether a shard may be sent another call after the first one."""

    def record_calls(
        self, shard_ids: Collection[str], utilisation_ratio: float, now_ms: float
    ) -> None:
        """Record the first calls of a query, made at a utilisation."""
        ...

    def try_acquire_retry(
        self, shard_id: str, now_ms: float, may_overdraw: bool = False
    ) -> bool:
        """Acquire the credit of one retry; return whether there was enough."""
        ...

    def try_acquire_hedge(
        self, shard_id: str, now_ms: float, lateness_ratio: float
    ) -> bool:
        """Acquire the credit of one hedge; return whether there was enough."""
        ...


class ExtraLoadBudget:
    """Credit for extra shard calls of one class of callers.

    Each ordinary call adds a fraction of a call to the credit, so that extra calls
    stay a fixed fraction of all calls over any long period. Retries have priority
    over hedges, in that they may overdraw the credit further.
    """

    def __init__(self, policy: ExtraLoadPolicy) -> None:
        self.policy = policy
        self._credit = N_CREDIT_CALLS_INITIAL
        self._utilisation_ratio = 0.0

    def allowed_ratio(self, utilisation_ratio: float) -> float:
        """Return the fraction of calls that may be extra at a utilisation.

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
        self._credit = min(N_CREDIT_CALLS_MAX, self._credit + earned)

    def try_acquire_retry(
        self, shard_id: str, now_ms: float, may_overdraw: bool = False
    ) -> bool:
        """Acquire the credit of one retry; return whether there was enough.

        ``may_overdraw`` lets the credit fall below zero by a bounded amount,
        which later calls have to restore before any hedge is made.
        """
        least = 1.0 - N_RETRIES_OVERDRAWN_MAX if may_overdraw else 1.0
        if self._credit < least:
            return False
        self._credit -= 1.0
        return True

    def try_acquire_hedge(
        self, shard_id: str, now_ms: float, lateness_ratio: float
    ) -> bool:
        """Acquire the credit of one hedge; return whether there was enough.

        ``lateness_ratio`` is the ratio of the age of the call to the hedge delay.
        Only the hedge of a call far beyond the delay may overdraw the credit, since
        such a call probably waits for a slowed replica, and those calls come in
        bursts. No hedge is made while the group is saturated, whatever the
        accumulated credit, since its load would delay the calls of every class.
        """
        if self._utilisation_ratio >= self.policy.none_above_ratio:
            return False
        may_overdraw = lateness_ratio >= OVERDRAW_LATENESS_RATIO
        if self._credit < (1.0 - N_HEDGES_OVERDRAWN_MAX if may_overdraw else 1.0):
            return False
        self._credit -= 1.0
        return True
