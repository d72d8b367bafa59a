"""Health and load reports that lag behind the state."""

from collections import deque

N_REPORTS_KEPT = 1000


class LaggingReports:
    """Remembers states and shows the one of some time ago.

    A state is noted whenever a report is asked for, so a lag can be longer
    than asked for, as on a real platform.
    """

    def __init__(self) -> None:
        self._noted: deque[tuple[float, dict[str, int]]] = deque(maxlen=N_REPORTS_KEPT)

    def note(self, now_ms: float, state: dict[str, int]) -> None:
        """Remember a state."""
        self._noted.append((now_ms, state))

    def shown(self, now_ms: float, lag_ms: float) -> dict[str, int]:
        """Return the newest state that is at least ``lag_ms`` old, or the oldest."""
        found = self._noted[0][1]
        for noted_ms, state in self._noted:
            if noted_ms > now_ms - lag_ms:
                break
            found = state
        return found
