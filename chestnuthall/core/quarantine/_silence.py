"""Checks of replicas that leave requests unanswered."""

from collections import Counter, deque
from collections.abc import Callable

# Suspicions inferred from silence within the window, by all instances. Each one is
# shared, and the next run of a suspected request probes the shard in question.
N_SUSPICIONS_OF_FLEET_MAX = 72
N_SUSPICIONS_MIN = 2
N_SUSPICIONS_MAX = 8
SUSPICIONS_WINDOW_MS = 10_000.0


class SilenceTracker:
    """Checks in progress by request and shard, and a limit of suspicions.

    The end of many replicas at once leaves many requests unanswered, so only a few of
    them become suspected; one that crashes replicas comes again. ``n_instances``
    returns the number of instances over which the limit is divided.
    """

    def __init__(self, n_instances: Callable[[], int]) -> None:
        self._n_instances = n_instances
        self._n_checks: Counter[tuple[str, str]] = Counter()
        self._suspected_ms: deque[float] = deque(maxlen=N_SUSPICIONS_MAX)

    def begin_check(self, fingerprint: str, shard_id: str) -> None:
        """Note that a replica of a shard is being checked."""
        self._n_checks[fingerprint, shard_id] += 1

    def end_check(self, fingerprint: str, shard_id: str) -> None:
        """Note that a check has ended."""
        if self._n_checks[fingerprint, shard_id] <= 1:
            del self._n_checks[fingerprint, shard_id]
        else:
            self._n_checks[fingerprint, shard_id] -= 1

    def on_answered(self, fingerprint: str, shard_id: str) -> None:
        """Discard the checks that a replica of the shard has refuted."""
        self._n_checks.pop((fingerprint, shard_id), None)

    def is_checked(self, fingerprint: str, shard_id: str) -> bool:
        """Return whether a check is in progress and has not been refuted."""
        return (fingerprint, shard_id) in self._n_checks

    def try_suspect(self, now_ms: float) -> bool:
        """Count a suspicion; return whether the limit allows it."""
        n_max = N_SUSPICIONS_OF_FLEET_MAX // max(1, self._n_instances())
        n_max = min(max(n_max, N_SUSPICIONS_MIN), N_SUSPICIONS_MAX)
        since_ms = now_ms - SUSPICIONS_WINDOW_MS
        if sum(at_ms >= since_ms for at_ms in self._suspected_ms) >= n_max:
            return False
        self._suspected_ms.append(now_ms)
        return True
