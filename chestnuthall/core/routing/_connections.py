"""An instance's part of the connections that an upstream accepts."""

# An instance that has left the view may only be paused or cut off and still
# hold its connections, so its part is taken over late.
RAISE_DELAY_MS = 10_000.0
# Room for one instance that a rolling restart starts before the others see it.
N_INSTANCES_SPARE = 1


class ConnectionShare:
    """Number of instances that the connections are divided over.

    It rises at once and falls only after the lower number has been seen for
    ``RAISE_DELAY_MS``, so that the sum over all instances stays within the cap.

    Examples
    --------
    >>> share = ConnectionShare()
    >>> share.observe(9, 0.0), share.budget(30)
    (True, 3)
    """

    def __init__(self) -> None:
        self.n_instances = 1
        self._seen: list[tuple[float, int]] = []

    def observe(self, n_instances: int, now_ms: float) -> bool:
        """Note the number of live and joining instances; return if it changed.

        The largest number seen within the delay is the one that counts.
        """
        self._seen.append((now_ms, n_instances))
        oldest_ms = now_ms - RAISE_DELAY_MS
        self._seen = [item for item in self._seen if item[0] >= oldest_ms]
        largest = max(n for _, n in self._seen)
        changed = largest != self.n_instances
        self.n_instances = largest
        return changed

    def budget(self, n_connections_max: int) -> int:
        """Return this instance's part of an upstream's cap; at least one."""
        return max(1, n_connections_max // (self.n_instances + N_INSTANCES_SPARE))
