"""The era of the store, as its answers state it."""

from dataclasses import dataclass
from enum import Enum, auto
from functools import singledispatch
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class StatedEra:
    """An answer states its era, a positive number."""

    era: int


@dataclass(frozen=True, slots=True)
class UnstatedEra:
    """An answer states no era, or none that can be read."""


EraReading: TypeAlias = StatedEra | UnstatedEra


class EraVerdict(Enum):
    """What an answer tells about the era of the store."""

    CURRENT = auto()
    # The store has returned from a copy since the last answer.
    NEW = auto()
    # The answer was given before the last return, and arrived late.
    EARLIER = auto()
    # The store stated eras before, but this answer has none.
    MISSING = auto()


class EraTracker:
    """Current era of the store, the latest that an answer has stated.

    The first stated era is no return of the store, whatever its number. An answer
    without an era counts as one of the current era, because a proxy or an error page
    may leave the era out. One of an earlier era must not be used.

    Examples
    --------
    >>> tracker = EraTracker()
    >>> [tracker.observe(StatedEra(era)).name for era in (1, 1, 3, 2)]
    ['CURRENT', 'CURRENT', 'NEW', 'EARLIER']
    >>> tracker.observe(UnstatedEra()).name, tracker.era
    ('MISSING', 3)
    """

    def __init__(self) -> None:
        # 0 until an answer states one.
        self.era = 0

    def observe(self, reading: EraReading) -> EraVerdict:
        """Record what an answer states, and return what follows for the answer."""
        return _observe(reading, self)


@singledispatch
def _observe(reading: EraReading, tracker: EraTracker) -> EraVerdict:
    raise TypeError(f"not a reading of the era: {type(reading).__name__}")


@_observe.register
def _(reading: StatedEra, tracker: EraTracker) -> EraVerdict:
    if reading.era < tracker.era:
        return EraVerdict.EARLIER
    is_new = 0 < tracker.era < reading.era
    tracker.era = reading.era
    return EraVerdict.NEW if is_new else EraVerdict.CURRENT


@_observe.register
def _(reading: UnstatedEra, tracker: EraTracker) -> EraVerdict:
    return EraVerdict.MISSING if tracker.era else EraVerdict.CURRENT
