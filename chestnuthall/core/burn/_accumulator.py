"""Requests of one instance that are not in the stored counts yet."""

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
# Bounds the memory while the store is down: with 8 classes this is 17 hours.
N_PENDING_MAX: Final = 8_192


class BurnAccumulator:
    """Counts requests per class and minute; adding one takes constant time.

    Requests are added at the full request rate, so that the immutable counts,
    which are copied with each change, are made only once per flush.
    """

    def __init__(self) -> None:
        self._pending: dict[tuple[str, int], list[int]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing was added since the last take."""
        return not self._pending

    def add(self, class_name: str, cause: BurnCause | None, wall_ms: float) -> None:
        """Count one request."""
        key = (class_name, int(wall_ms // _MINUTE_MS))
        numbers = self._pending.get(key)
        if numbers is None:
            while len(self._pending) >= N_PENDING_MAX:
                del self._pending[next(iter(self._pending))]
            numbers = self._pending[key] = [0] * (1 + len(CAUSES))
        numbers[0] += 1
        if cause is not None:
            numbers[1 + CAUSES.index(cause)] += 1

    def pop_counts(self) -> BurnCounts:
        """Return what was added and begin anew."""
        tallies: dict[SlotKey, Tally] = {}
        for (class_name, minute), numbers in self._pending.items():
            tally = Tally(numbers[0], tuple(numbers[1:]))
            for resolution in RESOLUTIONS:
                index = minute * _MINUTE_MS // resolution.slot_ms
                key = SlotKey(class_name, resolution.slot_ms, index)
                tallies[key] = tallies.get(key, Tally()).plus(tally)
        self._pending = {}
        return BurnCounts(tallies)
