"""Counts of requests per class, time slot and cause, bounded in size."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from chestnuthall.core.burn._causes import BurnCause

CAUSES: Final = tuple(BurnCause)
# Further classes are counted together, so that the size is bounded.
N_CLASSES_MAX: Final = 64
OTHER_CLASSES: Final = "(other)"


@dataclass(frozen=True, slots=True)
class Resolution:
    """Length of a time slot and the number of slots that are kept."""

    slot_ms: int
    n_slots: int


# One slot more than the longest window of the resolution (5 minutes, 6 hours and
# 3 days), because a window begins inside a slot.
RESOLUTIONS: Final = (
    Resolution(60_000, 6),
    Resolution(300_000, 73),
    Resolution(3_600_000, 73),
)


@dataclass(frozen=True, slots=True, order=True)
class SlotKey:
    """A class in one time slot; ``index`` counts slots since the epoch."""

    class_name: str
    slot_ms: int
    index: int


@dataclass(frozen=True, slots=True)
class Tally:
    """Requests of a slot; ``n_bad`` has one count for each of ``CAUSES``."""

    n_requests: int = 0
    n_bad: tuple[int, ...] = (0,) * len(CAUSES)

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of two tallies."""
        n_bad = tuple(a + b for a, b in zip(self.n_bad, other.n_bad, strict=True))
        return Tally(self.n_requests + other.n_requests, n_bad)

    @property
    def n_bad_total(self) -> int:
        """Number of requests that missed the objective, over all causes."""
        return sum(self.n_bad)


@dataclass(frozen=True, slots=True)
class BurnCounts:
    """Tallies by class and slot, in each resolution."""

    tallies: dict[SlotKey, Tally] = field(default_factory=dict)

    def plus(self, other: "BurnCounts") -> "BurnCounts":
        """Return the sum of two counts without the slots that are too old."""
        tallies = dict(self.tallies)
        names = {key.class_name for key in tallies}
        for key, tally in other.tallies.items():
            if key.class_name not in names:
                if len(names) >= N_CLASSES_MAX:
                    key = SlotKey(OTHER_CLASSES, key.slot_ms, key.index)
                names.add(key.class_name)
            tallies[key] = tallies.get(key, Tally()).plus(tally)
        return BurnCounts(_keep_newest_slots(tallies))

    def class_names(self) -> tuple[str, ...]:
        """Return the classes that have counts."""
        return tuple(sorted({key.class_name for key in self.tallies}))


def _keep_newest_slots(tallies: dict[SlotKey, Tally]) -> dict[SlotKey, Tally]:
    """Keep the newest slots of each resolution.

    The number of slots is limited, not their age, so that an instance with a
    wrong clock cannot erase the counts of the others.
    """
    kept: dict[SlotKey, Tally] = {}
    for resolution in RESOLUTIONS:
        indices = _newest_indices(tallies, resolution)
        for key, tally in tallies.items():
            if key.slot_ms == resolution.slot_ms and key.index in indices:
                kept[key] = tally
    return kept


def _newest_indices(keys: Iterable[SlotKey], resolution: Resolution) -> set[int]:
    indices = {key.index for key in keys if key.slot_ms == resolution.slot_ms}
    return set(sorted(indices)[-resolution.n_slots :])
