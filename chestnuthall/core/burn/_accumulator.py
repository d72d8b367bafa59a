"""Counts of one instance's requests that are not in the ledger yet."""

from typing import Final

from chestnuthall.core.burn._causes import BurnCause
from chestnuthall.core.burn._counts import (
    CAUSES,
    RESOLUTIONS,
    BurnCounts,
    SlotKey,
    Tally,
)

_MINUTE_MS: Final = RESOLUTIONS[0].slot_ms
# Bounds the memory while the store is unavailable: 17 hours with 8 classes.
N_PENDING_SLOTS_MAX: Final = 8_192


class BurnAccumulator:
    """Counts requests per class and minute; adding one takes constant time.

    As requests are added at the full request rate, the immutable counts, which
    are copied with each change, are created only once per flush.
    """

    def __init__(self) -> None:
        self._pending: dict[tuple[str, int], list[int]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing was added since the last call of ``pop_counts``."""
        return not self._pending

    def add(self, class_name: str, cause: BurnCause | None, wall_ms: float) -> None:
        """Count one request."""
        key = (class_name, int(wall_ms // _MINUTE_MS))
        counters = self._pending.get(key)
        if counters is None:
            while len(self._pending) >= N_PENDING_SLOTS_MAX:
                del self._pending[next(iter(self._pending))]
            counters = self._pending[key] = [0] * (1 + len(CAUSES))
        counters[0] += 1
        if cause is not None:
            counters[1 + CAUSES.index(cause)] += 1

    def pop_counts(self) -> BurnCounts:
        """Return the accumulated counts and reset them."""
        tallies: dict[SlotKey, Tally] = {}
        for (class_name, minute), counters in self._pending.items():
            tally = Tally(counters[0], tuple(counters[1:]))
            for resolution in RESOLUTIONS:
                index = minute * _MINUTE_MS // resolution.slot_ms
                key = SlotKey(class_name, resolution.slot_ms, index)
                tallies[key] = tallies.get(key, Tally()).plus(tally)
        self._pending = {}
        return BurnCounts(tallies)
