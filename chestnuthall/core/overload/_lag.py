"""Overload as seen in the lateness of timers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class LagSettings:
    """When an instance counts as overloaded; durations in milliseconds.

    The share of samples that are late decides, so that one long turn of the event
    loop is no overload. The two bounds are apart, so that an instance that has
    just been relieved does not take its load back at once.
    """

    late_ms: float = 40.0
    n_samples: int = 8
    n_late_to_begin: int = 6
    n_late_to_end: int = 1


class OverloadDetector:
    """Judges an instance by how late its timers fired lately.

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
        self._late: list[bool] = []
        self.is_overloaded = False

    def observe(self, lag_ms: float) -> bool:
        """Take one sample; return whether the instance is overloaded."""
        settings = self._settings
        self._late.append(lag_ms >= settings.late_ms)
        del self._late[: -settings.n_samples]
        n_late = sum(self._late)
        if n_late >= settings.n_late_to_begin:
            self.is_overloaded = True
        elif n_late <= settings.n_late_to_end:
            self.is_overloaded = False
        return self.is_overloaded
