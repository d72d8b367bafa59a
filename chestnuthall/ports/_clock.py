"""The clock of an instance, in milliseconds."""

from typing import Protocol


class Clock(Protocol):
    """Source of time and of delays, in milliseconds.

    ``now_ms`` is monotonic and starts anywhere; ``wall_ms`` counts from the
    epoch and may jump.
    """

    def now_ms(self) -> float:
        """Return the monotonic time."""
        ...

    def wall_ms(self) -> float:
        """Return the time since the epoch."""
        ...

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait for a duration; a negative one returns at the next turn."""
        ...
