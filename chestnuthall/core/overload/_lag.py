"""Overload detection from the lateness of timers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class LagSettings:
    """Thresholds of overload detection; durations in milliseconds.

    The number of late samples decides, so that one long iteration of the event loop
    does not count as overload. The thresholds for the begin and the end differ, so
    that an instance does not resume its load immediately after it was relieved.
    """

    late_ms: float = 40.0
    n_samples: int = 8
    n_late_to_begin: int = 6
    n_late_to_end: int = 1


class OverloadDetector:
    """Detects overload of an instance from the recent lateness of its timers.

    Examples
    --------
    >>> detector = OverloadDetector(LagSettings())
    >>> [detector.observe(100.0) for _ in range(6)]
    [False, False, False, False, False, True]
    >>> [detector.observe(0.0) for _ in range(7)]
    [True, True, True, True, True, True, False]
    """

    def __init__(self, settings: LagSettings) -> None:
        self._settings = settings
        self._recent_late: list[bool] = []
        self.is_overloaded = False

    def observe(self, lag_ms: float) -> bool:
        """Add one sample; return whether the instance is overloaded."""
        settings = self._settings
        self._recent_late.append(lag_ms >= settings.late_ms)
        del self._recent_late[: -settings.n_samples]
        n_late = sum(self._recent_late)
        if n_late >= settings.n_late_to_begin:
            self.is_overloaded = True
        elif n_late <= settings.n_late_to_end:
            self.is_overloaded = False
        return self.is_overloaded
