"""An instance's budget of the connections that an upstream accepts."""

# Delay before the budget of an instance that left the membership view is
# redistributed, since it may only be stalled or partitioned from its peers and still
# have its connections open.
RAISE_DELAY_MS = 10_000.0
# Allowance for an instance of a rolling restart that the others don't know of yet.
N_INSTANCES_SPARE = 1
# Fraction of an upstream's cap that idle connections may occupy.
IDLE_RATIO_MAX = 0.8
# Fraction of an upstream's cap that instances in its own zone may occupy if the cap
# is below two connections per instance. They prefer this upstream, so that their
# connections serve most calls; instances of other zones open short-lived ones.
SAME_ZONE_RATIO = 0.6
# Connections of an instance to one upstream that are considered sufficient.
N_CONNECTIONS_ENOUGH = 2
# Number of instances that a starting instance assumes during its first
# ``RAISE_DELAY_MS``.
N_INSTANCES_ASSUMED = 12


class ConnectionBudget:
    """Division of the connections to upstreams over the instances.

    The number of instances increases immediately and decreases only after the lower
    number has been observed for ``RAISE_DELAY_MS``, so that the connections of all
    instances together stay within the cap.

    Examples
    --------
    >>> budget = ConnectionBudget(0.0)
    >>> budget.observe(9, 0.0), budget.n_connections(30)
    (12, 2)
    >>> budget.observe(9, 10_001.0), budget.n_connections(30)
    (9, 3)
    """

    def __init__(
        self, now_ms: float, n_instances_assumed: int = N_INSTANCES_ASSUMED
    ) -> None:
        self.n_instances = n_instances_assumed
        self._observed = [(now_ms, n_instances_assumed)]

    def observe(self, n_instances: int, now_ms: float) -> int:
        """Record the number of live and joining instances.

        Return the number to divide by, the largest one observed within the delay.
        """
        oldest_ms = now_ms - RAISE_DELAY_MS
        self._observed = [item for item in self._observed if item[0] >= oldest_ms]
        self._observed.append((now_ms, n_instances))
        self.n_instances = max(n for _, n in self._observed)
        return self.n_instances

    def connected_ratio(self, n_connections_max: int) -> float:
        """Return the fraction of the instances that may keep an idle connection.

        Examples
        --------
        >>> budget = ConnectionBudget(0.0, 80)
        >>> budget.connected_ratio(40), budget.connected_ratio(400)
        (0.4, 1.0)
        """
        return min(1.0, IDLE_RATIO_MAX * n_connections_max / self.n_instances)

    def n_connections(self, n_connections_max: int) -> int:
        """Return this instance's budget of an upstream's cap; at least one."""
        return max(1, n_connections_max // (self.n_instances + N_INSTANCES_SPARE))

    def n_connections_in_zone(
        self, n_connections_max: int, n_instances_in_zone: int
    ) -> int | None:
        """Return this instance's budget for an upstream in its own zone.

        ``n_instances_in_zone`` is the number of instances in the zone. Return None if
        the equal budget is sufficient, or if even the instances of the zone would get
        less than one connection each.

        Examples
        --------
        >>> budget = ConnectionBudget(0.0, 65)
        >>> budget.n_connections_in_zone(64, 16), budget.n_connections_in_zone(400, 16)
        (2, None)
        """
        if self.n_connections(n_connections_max) >= N_CONNECTIONS_ENOUGH:
            return None
        cap = int(SAME_ZONE_RATIO * n_connections_max)
        n_each = cap // (n_instances_in_zone + N_INSTANCES_SPARE)
        return min(n_each, N_CONNECTIONS_ENOUGH) or None
