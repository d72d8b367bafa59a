"""An instance's part of the connections that an upstream accepts."""

# An instance that has left the view may only be paused or cut off and still
# hold its connections, so its part is taken over late.
RAISE_DELAY_MS = 10_000.0
# Room for one instance that a rolling restart starts before the others see it.
N_INSTANCES_SPARE = 1
# Part of an upstream's cap that idle connections may take up.
KEPT_RATIO_MAX = 0.8
# Part of an upstream's cap that instances in its own zone may take up where there
# are not two connections for each instance. They call it first, so that theirs
# serve most calls; the rest opens short-lived ones.
NEAR_RATIO = 0.6
# Connections of an instance to one upstream that count as enough.
N_CONNECTIONS_ENOUGH = 2
# Assumed by an instance that starts, until it has known its fleet for the delay.
N_INSTANCES_ASSUMED = 12


class ConnectionBudget:
    """Number of instances that the connections are divided over.

    It rises at once and falls only after the lower number has been seen for
    ``RAISE_DELAY_MS``, so that the sum over all instances stays within the cap.

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
        self._seen = [(now_ms, n_instances_assumed)]

    def observe(self, n_instances: int, now_ms: float) -> int:
        """Note the number of live and joining instances.

        Return the number that counts, the largest one seen within the delay.
        """
        oldest_ms = now_ms - RAISE_DELAY_MS
        self._seen = [item for item in self._seen if item[0] >= oldest_ms]
        self._seen.append((now_ms, n_instances))
        self.n_instances = max(n for _, n in self._seen)
        return self.n_instances

    def connected_ratio(self, n_connections_max: int) -> float:
        """Return the part of the instances that may keep a connection open.

        Examples
        --------
        >>> budget = ConnectionBudget(0.0, 80)
        >>> budget.connected_ratio(40), budget.connected_ratio(400)
        (0.4, 1.0)
        """
        return min(1.0, KEPT_RATIO_MAX * n_connections_max / self.n_instances)

    def n_connections(self, n_connections_max: int) -> int:
        """Return this instance's part of an upstream's cap; at least one."""
        return max(1, n_connections_max // (self.n_instances + N_INSTANCES_SPARE))

    def n_connections_in_zone(
        self, n_connections_max: int, n_instances_in_zone: int
    ) -> int | None:
        """Return the part for an upstream that the instances of this zone share.

        None where the equal part is enough, or where even those in its zone have
        less than one each.

        Examples
        --------
        >>> budget = ConnectionBudget(0.0, 65)
        >>> budget.n_connections_in_zone(64, 16), budget.n_connections_in_zone(400, 16)
        (2, None)
        """
        if self.n_connections(n_connections_max) >= N_CONNECTIONS_ENOUGH:
            return None
        cap = int(NEAR_RATIO * n_connections_max)
        n_each = cap // (n_instances_in_zone + N_INSTANCES_SPARE)
        return min(n_each, N_CONNECTIONS_ENOUGH) or None
