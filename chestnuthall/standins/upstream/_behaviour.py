"""Behaviour and faults of the upstream emulator."""

from dataclasses import dataclass


@dataclass(slots=True)
class UpstreamBehaviour:
    """Settings and faults of one replica, set by ``PUT /behaviour``.

    A ``slow_factor`` above 1 slows every call down. Each ``n_*_answers`` field
    is the number of answers still to be altered and decreases with each of
    them: crossed answers carry the id of another call, truncated ones end
    within the body, duplicate ones are sent twice, lost ones are never sent
    although the call has run, and short ones report only half of the documents
    as searched. A query that contains ``crash_text`` ends the process. The
    health and load endpoints report the state of ``health_lag_ms`` ago.
    """

    n_slots: int = 3
    n_queued_max: int = 12
    service_ms: float = 5.0
    slow_factor: float = 1.0
    cold_start_ms: float = 0.0
    cold_factor: float = 4.0
    is_draining: bool = False
    is_shedding: bool = False
    n_crossed_answers: int = 0
    n_truncated_answers: int = 0
    n_duplicate_answers: int = 0
    n_lost_answers: int = 0
    n_short_answers: int = 0
    crash_text: str = ""
    health_lag_ms: float = 5_000.0
