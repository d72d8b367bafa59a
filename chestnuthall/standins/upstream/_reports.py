"""Health and load reports that lag behind the state."""

from collections import deque

N_STATES_KEPT = 1000


class LaggingReports:
    """Records states and reports the one of some time ago.

    A state is recorded only when a report is requested, so the reported state
    can be older than the configured lag, as on a real platform.
    """

    def __init__(self) -> None:
        self._states: deque[tuple[float, dict[str, int]]] = deque(maxlen=N_STATES_KEPT)

    def record(self, now_ms: float, state: dict[str, int]) -> None:
        """Record the state at a time."""
        self._states.append((now_ms, state))

    def lagging_state(self, now_ms: float, lag_ms: float) -> dict[str, int]:
        """Return the newest state that is at least ``lag_ms`` old, or the oldest."""
        selected = self._states[0][1]
        for recorded_ms, state in self._states:
            if recorded_ms > now_ms - lag_ms:
                break
            selected = state
        return selected
