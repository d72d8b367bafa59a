"""Faults that the emulator can be told to show."""

from dataclasses import dataclass
from enum import Enum


class Outage(Enum):
    """How calls fail while the store is down; none of them has an effect."""

    NONE = ""
    REFUSED = "refused"
    HANGING = "hanging"
    ERROR_503 = "503"


class LostAnswer(Enum):
    """What the client sees of a write that took effect."""

    WITHHELD = "withheld"
    CUT = "cut"
    ERROR_500 = "500"


@dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Set over HTTP by ``PUT /faults``; durations in milliseconds.

    ``outage_ms`` ends an outage by itself; 0 leaves it until the faults are
    set again. ``n_lost_write_answers`` and ``n_late_writes`` count down with
    each write. A late write is withheld from the client and applied after
    ``late_write_ms``, if its condition still holds then. ``stale_read_ms`` and
    ``list_lag_ms`` (list of instances only) answer reads from the past.
    ``n_calls_per_s_max`` of 0 sets no limit.
    """

    outage: Outage = Outage.NONE
    outage_ms: float = 0.0
    delay_ms: float = 0.0
    n_lost_write_answers: int = 0
    lost_answer: LostAnswer = LostAnswer.WITHHELD
    n_late_writes: int = 0
    late_write_ms: float = 0.0
    stale_read_ms: float = 0.0
    list_lag_ms: float = 0.0
    n_calls_per_s_max: int = 0

    @classmethod
    def from_json(cls, body: dict[str, object]) -> "StoreFaults":
        """Return the faults of a ``PUT /faults`` body."""
        faults = cls(**body)  # type: ignore[arg-type]
        faults.outage = Outage(faults.outage)
        faults.lost_answer = LostAnswer(faults.lost_answer)
        return faults
