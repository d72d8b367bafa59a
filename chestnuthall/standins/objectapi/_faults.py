"""Faults that the emulator can be told to show."""

from dataclasses import dataclass


@dataclass(slots=True)
class StoreFaults:
    """Set over HTTP by ``PUT /faults``.

    ``n_lost_write_answers`` counts down: each such write takes effect and its
    connection is then left without an answer. ``n_calls_per_s_max`` of 0 sets
    no limit.
    """

    is_down: bool = False
    delay_ms: float = 0.0
    n_lost_write_answers: int = 0
    n_calls_per_s_max: int = 0
    list_lag_ms: float = 0.0
