"""A log filter that limits the rate of lines per event."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

# Events beyond this number share one budget, so that messages which a library
# composes at run time cannot grow the table without bound.
N_EVENTS_MAX = 256
OTHER_EVENTS = "(other)"
# Longer texts in extra fields, such as an error message of a library, are truncated.
N_CHARACTERS_MAX = 500
DROPPED_EVENT = "log lines dropped"
_STANDARD_ATTRIBUTES = frozenset(logging.makeLogRecord({}).__dict__)


@dataclass(slots=True)
class _Budget:
    """Token bucket of an event: the lines that it may still log."""

    n_left: float
    refilled_ms: float
    n_dropped: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class LogLimits:
    """Limits per event: lines in a burst and sustained lines per second."""

    n_burst: int = 50
    n_per_s: float = 5.0


class RateLimitFilter(logging.Filter):
    """Drops lines of events that are logged too often, and counts them.

    Each event, identified by logger and message, has a budget of its own, so that
    a flood of one event does not suppress the lines of another.
    """

    def __init__(
        self,
        limits: LogLimits,
        now_ms: Callable[[], float],
        pop_n_lost: Callable[[], int] = lambda: 0,
    ) -> None:
        super().__init__()
        self._pop_n_lost = pop_n_lost
        self._limits = limits
        self._now_ms = now_ms
        self._budgets: dict[str, _Budget] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the line is written; truncate long texts in its fields."""
        if record.msg == DROPPED_EVENT:
            return True
        _truncate_extra_fields(record)
        budget = self._budget(f"{record.name}: {record.msg}")
        self._refill(budget)
        if budget.n_left < 1.0:
            budget.n_dropped += 1
            return False
        budget.n_left -= 1.0
        return True

    def _budget(self, event: str) -> _Budget:
        if event not in self._budgets and len(self._budgets) >= N_EVENTS_MAX:
            event = OTHER_EVENTS
        budget = self._budgets.get(event)
        if budget is None:
            budget = _Budget(float(self._limits.n_burst), self._now_ms())
            self._budgets[event] = budget
        return budget

    def _refill(self, budget: _Budget) -> None:
        now_ms = self._now_ms()
        gained = (now_ms - budget.refilled_ms) / 1000.0 * self._limits.n_per_s
        budget.n_left = min(float(self._limits.n_burst), budget.n_left + gained)
        budget.refilled_ms = now_ms

    def pop_dropped_counts(self) -> dict[str, int]:
        """Return the lines dropped per event since the last call; reset the counts."""
        dropped = {key: budget.n_dropped for key, budget in self._budgets.items()}
        for budget in self._budgets.values():
            budget.n_dropped = 0
        return {event: n for event, n in dropped.items() if n}

    def report_dropped(self) -> None:
        """Log how many lines were lost or dropped since the last report."""
        n_lost = self._pop_n_lost()
        if n_lost:
            logging.getLogger(__name__).warning(
                "log lines lost", extra={"n_lost": n_lost}
            )
        for of_event, n_dropped in self.pop_dropped_counts().items():
            logging.getLogger(__name__).warning(
                "log lines dropped",
                extra={"of_event": of_event, "n_dropped": n_dropped},
            )


def _truncate_extra_fields(record: logging.LogRecord) -> None:
    for name, value in record.__dict__.items():
        is_extra = name not in _STANDARD_ATTRIBUTES
        if is_extra and isinstance(value, str) and len(value) > N_CHARACTERS_MAX:
            record.__dict__[name] = value[:N_CHARACTERS_MAX] + "..."
