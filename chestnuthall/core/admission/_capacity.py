"""Capacity for running queries: a limit on the average, and reserved capacity."""

from dataclasses import dataclass, field
from math import exp

# Bounds of the credit for unused capacity and of the debt for overdrawn capacity, as
# time at the full limit. The credit admits a burst of a few queries at low load; after
# a step in load it is used up within about 100 ms.
CREDIT_MAX_MS = 100.0
DEBT_MAX_MS = 200.0
# Capacity that the most urgent class may overdraw within its share, as time at the
# full limit, and the running cost that it may reach, as a multiple of the limit.
# The most urgent class then does not have to wait until a running query ends;
# repaying the debt delays the less urgent classes instead.
URGENT_DEBT_MAX_MS = 50.0
URGENT_RUNNING_FACTOR = 2.0
# Time over which accumulated credit is spent and debt is repaid, about the duration
# of one query. With a shorter time the running cost oscillates between zero and
# several times the limit.
CREDIT_SPEND_MS = 25.0
# Time constant of the average utilisation. The momentary utilisation of an instance
# with capacity for a single search is either zero or one.
UTILISATION_WINDOW_MS = 250.0


@dataclass(slots=True)
class Capacity:
    """Capacity for concurrent shard calls; costs are in shard calls.

    The running cost may exceed the limit for a moment as long as its average does
    not. A limit that is smaller than the cost of a query, or not a multiple of it,
    is thereby used in full without being rounded up.
    """

    limit_cost: float
    reserved_ratios: dict[str, float] = field(default_factory=dict)
    running_cost: float = 0.0
    running_cost_by_kind: dict[str, float] = field(default_factory=dict)
    credit_cost_ms: float = 0.0
    updated_ms: float = 0.0
    largest_cost: float = 0.0
    mean_running_cost: float = 0.0

    def advance(self, now_ms: float) -> float:
        """Update credit and averages; return the time since the last update."""
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        self.updated_ms = now_ms
        weight = 1.0 - exp(-elapsed_ms / UTILISATION_WINDOW_MS)
        self.mean_running_cost += weight * (self.running_cost - self.mean_running_cost)
        credit = self.credit_cost_ms + elapsed_ms * (
            self.limit_cost - self.running_cost
        )
        most = CREDIT_MAX_MS * self.limit_cost
        least = -max(DEBT_MAX_MS * self.limit_cost, CREDIT_SPEND_MS * self.largest_cost)
        self.credit_cost_ms = min(most, max(least, credit))
        return elapsed_ms

    @property
    def utilisation_ratio(self) -> float:
        """Average recent running cost as a fraction of the limit."""
        return self.mean_running_cost / self.limit_cost if self.limit_cost else 1.0

    def has_capacity(self, cost: float) -> bool:
        """Return whether a query may start now.

        Half of its cost has to fit, so that the running cost is centred on the
        limit. A query larger than the whole limit starts when nothing else runs,
        and its excess is then repaid as idle time.
        """
        return self._credit_shortfall_ms(cost) <= 0.0

    def has_urgent_capacity(self, cost: float) -> bool:
        """Return whether the most urgent class may start a query on credit."""
        is_in_debt = self.credit_cost_ms < -URGENT_DEBT_MAX_MS * self.limit_cost
        running_max = URGENT_RUNNING_FACTOR * self.limit_cost
        return not is_in_debt and self.running_cost + cost <= running_max

    def _credit_shortfall_ms(self, cost: float) -> float:
        """Return the credit that is missing for a query to start."""
        if self.running_cost <= 0.0:
            return -self.credit_cost_ms
        excess_cost = self.running_cost + cost / 2.0 - self.limit_cost
        return excess_cost * CREDIT_SPEND_MS - self.credit_cost_ms

    def has_reserved_capacity(self, kind: str, cost: float) -> bool:
        """Return whether a query fits into the capacity reserved for its kind.

        Other kinds may have borrowed that capacity while it was idle. They repay it
        by waiting until the average running cost is within the limit again.
        """
        reserved_cost = self.reserved_ratios.get(kind, 0.0) * self.limit_cost
        return self.running_cost_by_kind.get(kind, 0.0) + cost <= reserved_cost

    def acquire(self, kind: str, cost: float) -> None:
        """Acquire capacity for calls that start."""
        self.running_cost += cost
        self.largest_cost = max(self.largest_cost, cost)
        by_kind = self.running_cost_by_kind
        by_kind[kind] = by_kind.get(kind, 0.0) + cost

    def release(self, kind: str, cost: float) -> None:
        """Release the capacity of calls that ended."""
        self.running_cost -= cost
        self.running_cost_by_kind[kind] -= cost

    def wake_at_ms(self, cost: float) -> float | None:
        """Return when a query could start if no other ends first; None for never."""
        spare_cost = self.limit_cost - self.running_cost
        if spare_cost <= 0.0:
            return None
        return self.updated_ms + max(0.0, self._credit_shortfall_ms(cost)) / spare_cost
