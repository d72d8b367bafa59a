"""Room for running queries: a limit that holds on average, and reserved parts."""

from dataclasses import dataclass, field
from math import exp

# Unused room that may be saved up, as time at the full limit. It lets a burst
# of a few queries through at low load and is used up within about a tenth of a
# second when the load steps up.
CREDIT_MAX_MS = 100.0
DEBT_MAX_MS = 200.0
# Room that the most urgent class may overdraw within its share, as time at the
# full limit, and the running cost that it may reach as a multiple of it. Less
# urgent classes repay it, so that the urgent one does not wait for an end.
URGENT_DEBT_MAX_MS = 50.0
URGENT_RUNNING_FACTOR = 2.0
# Time over which saved room is spent and overdrawn room is repaid, about the
# time of one query. A shorter one makes the running cost swing between nothing
# and several times the limit.
SPEND_MS = 25.0
# Time over which the use of the limit is averaged. The momentary use of an
# instance with room for one search is either nothing or everything.
USE_WINDOW_MS = 250.0


@dataclass(slots=True)
class Capacity:
    """Room for shard calls that run at once; costs are in shard calls.

    The running cost may pass the limit for a moment as long as its average
    does not. A limit that is no multiple of the cost of a query, or smaller
    than one query, is thereby used in full without being rounded up.
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
        """Account for the room used since the last event; return the time since."""
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        self.updated_ms = now_ms
        weight = 1.0 - exp(-elapsed_ms / USE_WINDOW_MS)
        self.mean_running_cost += weight * (self.running_cost - self.mean_running_cost)
        credit = self.credit_cost_ms + elapsed_ms * (
            self.limit_cost - self.running_cost
        )
        most = CREDIT_MAX_MS * self.limit_cost
        least = -max(DEBT_MAX_MS * self.limit_cost, SPEND_MS * self.largest_cost)
        self.credit_cost_ms = min(most, max(least, credit))
        return elapsed_ms

    @property
    def utilisation_ratio(self) -> float:
        """Average use of the limit lately."""
        return self.mean_running_cost / self.limit_cost if self.limit_cost else 1.0

    def has_capacity(self, cost: float) -> bool:
        """Return whether a query may start now.

        Half of its cost has to fit, so that the running cost is centred on the
        limit. A query larger than the whole limit starts when nothing else
        runs, and its excess is then repaid as idle time.
        """
        return self._missing_cost_ms(cost) <= 0.0

    def has_urgent_capacity(self, cost: float) -> bool:
        """Return whether the most urgent class may start a query on credit."""
        is_in_debt = self.credit_cost_ms < -URGENT_DEBT_MAX_MS * self.limit_cost
        running_max = URGENT_RUNNING_FACTOR * self.limit_cost
        return not is_in_debt and self.running_cost + cost <= running_max

    def _missing_cost_ms(self, cost: float) -> float:
        """Return the credit that a query lacks for its start."""
        if self.running_cost <= 0.0:
            return -self.credit_cost_ms
        excess_cost = self.running_cost + cost / 2.0 - self.limit_cost
        return excess_cost * SPEND_MS - self.credit_cost_ms

    def has_reserved_capacity(self, kind: str, cost: float) -> bool:
        """Return whether a query fits into the part reserved for its kind.

        Other kinds may have borrowed the part while it was idle; they repay
        it by waiting until the average is within the limit again.
        """
        reserved_cost = self.reserved_ratios.get(kind, 0.0) * self.limit_cost
        return self.running_cost_by_kind.get(kind, 0.0) + cost <= reserved_cost

    def acquire(self, kind: str, cost: float) -> None:
        """Note calls that start."""
        self.running_cost += cost
        self.largest_cost = max(self.largest_cost, cost)
        by_kind = self.running_cost_by_kind
        by_kind[kind] = by_kind.get(kind, 0.0) + cost

    def release(self, kind: str, cost: float) -> None:
        """Note calls that ended."""
        self.running_cost -= cost
        self.running_cost_by_kind[kind] -= cost

    def wake_at_ms(self, cost: float) -> float | None:
        """Return when a query has room if nothing ends; None for never."""
        spare_cost = self.limit_cost - self.running_cost
        if spare_cost <= 0.0:
            return None
        return self.updated_ms + max(0.0, self._missing_cost_ms(cost)) / spare_cost
