"""How long after its decision an answer leaves the instance."""

from collections import deque
from math import ceil

N_SAMPLES_MAX = 64
N_SAMPLES_MIN = 8
# Fraction of the answers for which the reserve suffices. The others still have the
# reserve for the way to the caller.
QUANTILE = 0.9
# Reserve per shard until enough answers have been measured.
RESERVE_PER_SHARD_UNKNOWN_MS = 0.1
# Fraction of the time until the soft deadline that the reserve takes at most.
RESERVE_RATIO_MAX = 0.5


class AnswerOverrun:
    """Measures by how much answers that end at the soft deadline exceed it.

    The timer fires late while the event loop is busy, and the answer has to be
    merged and written. Answers a load that takes more processor time for each answer
    than the reserve of a fixed size allows, and avoids leaving out
    shards for a reserve that is not needed.

    Examples
    --------
    >>> overrun = AnswerOverrun()
    >>> overrun.reserve_ms(soft_deadline_ms=40.0, n_shards=50)
    5.0
    >>> for overrun_ms in (1.0, 2.0, 3.0, 3.0, 3.0, 3.0, 3.0, 3.0, 30.0):
    ...     overrun.observe(overrun_ms)
    >>> overrun.reserve_ms(soft_deadline_ms=40.0, n_shards=50)
    20.0
    >>> overrun.reserve_ms(soft_deadline_ms=400.0, n_shards=50)
    30.0
    """

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=N_SAMPLES_MAX)
        self._measured_ms: float | None = None

    def observe(self, overrun_ms: float) -> None:
        """Add the time from the soft deadline to the complete answer."""
        self._samples.append(max(0.0, overrun_ms))
        if len(self._samples) >= N_SAMPLES_MIN:
            ordered = sorted(self._samples)
            self._measured_ms = ordered[ceil(QUANTILE * len(ordered)) - 1]

    def reserve_ms(self, soft_deadline_ms: float, n_shards: int) -> float:
        """Return by how much earlier than the soft deadline to decide."""
        reserve_ms = self._measured_ms
        if reserve_ms is None:
            reserve_ms = RESERVE_PER_SHARD_UNKNOWN_MS * n_shards
        return min(reserve_ms, RESERVE_RATIO_MAX * soft_deadline_ms)
