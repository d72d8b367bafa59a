"""Faults that the object API emulator can inject."""

from dataclasses import dataclass
from enum import Enum


class Outage(Enum):
    """How calls fail during an outage; a failed call has no effect."""

    NONE = ""
    REFUSED = "refused"
    HANGING = "hanging"
    ERROR_503 = "503"


class LostAnswer(Enum):
    """What the client receives instead of the answer to a write that took effect."""

    WITHHELD = "withheld"
    CONNECTION_CLOSED = "cut"
    ERROR_500 = "500"


@dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Active faults, set by ``PUT /faults``.

    An outage ends after ``outage_ms``; with 0 it lasts until the faults are set
    again. ``n_lost_write_answers`` and ``n_late_writes`` decrease with each
    write that they affect. A late write is never answered and is applied after
    ``late_write_ms`` if its condition still holds then. Reads return the state
    of ``stale_read_ms`` ago, and the list of instances the state of
    ``list_lag_ms`` ago if that is longer. ``n_calls_per_s_max`` of 0 sets no
    limit.
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
