"""Outages of upstream groups whose coverage floor is out of reach."""

from dataclasses import dataclass

# Interval at which one request is tried although the floor seems out of reach. Without
# it an instance would not notice that the replicas are back.
TRIAL_INTERVAL_MS = 100.0


@dataclass(slots=True)
class _Outage:
    since_ms: float
    tried_ms: float


class OutageGate:
    """Decides which requests are tried while too few shards can be called.

    Answers shards that become unavailable: the other shards would do work for a
    search that can only fail, and its caller would be told that it may have run. All
    requests of a class but one in each interval are rejected as not run.

    Examples
    --------
    >>> gate = OutageGate()
    >>> [gate.may_try("g", "c", False, now_ms) for now_ms in (0.0, 50.0, 100.0)]
    [True, False, True]
    >>> gate.outage_ms("g", "c", 150.0)
    150.0
    >>> gate.may_try("g", "c", True, 200.0), gate.outage_ms("g", "c", 200.0)
    (True, 0.0)
    """

    def __init__(self) -> None:
        self._outages: dict[tuple[str, str], _Outage] = {}

    def may_try(
        self, group: str, class_name: str, is_floor_reachable: bool, now_ms: float
    ) -> bool:
        """Return whether to run a request; record the begin and end of an outage."""
        if is_floor_reachable:
            self._outages.pop((group, class_name), None)
            return True
        outage = self._outages.get((group, class_name))
        if outage is None:
            self._outages[group, class_name] = _Outage(now_ms, now_ms)
            return True
        if now_ms < outage.tried_ms + TRIAL_INTERVAL_MS:
            return False
        outage.tried_ms = now_ms
        return True

    def outage_ms(self, group: str, class_name: str, now_ms: float) -> float:
        """Return for how long too few shards could be called, or 0."""
        outage = self._outages.get((group, class_name))
        return 0.0 if outage is None else now_ms - outage.since_ms
