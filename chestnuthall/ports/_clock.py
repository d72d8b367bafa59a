"""The clock of an instance, in milliseconds."""

from typing import Protocol


class Clock(Protocol):
    """Source of time and delays, in milliseconds.

    ``now_ms`` is monotonic with an arbitrary origin; ``wall_ms`` is relative to
    the epoch and may jump.
    """

    def now_ms(self) -> float:
        """Return the monotonic time."""
        ...

    def wall_ms(self) -> float:
        """Return the wall-clock time since the epoch."""
        ...

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep for a duration; if negative, only until the next loop iteration."""
        ...
