"""Clock port on the running event loop."""

import asyncio
import time


def monotonic_ms() -> float:
    """Return the monotonic time in milliseconds where no event loop runs.

    The log limits its lines before the loop of the daemon starts.
    """
    return time.monotonic() * 1000.0


class LoopClock:
    """Reads the event loop's time, so that a virtual-time loop drives it too.

    ``wall_offset_ms`` is added to the system's wall clock; with a virtual
    loop, ``wall_from_loop`` makes the wall clock follow the loop.
    """

    def __init__(
        self, wall_offset_ms: float = 0.0, *, wall_from_loop: bool = False
    ) -> None:
        self._wall_offset_ms = wall_offset_ms
        self._wall_from_loop = wall_from_loop

    def now_ms(self) -> float:
        """Return the loop's monotonic time in milliseconds."""
        return asyncio.get_running_loop().time() * 1000.0

    def wall_ms(self) -> float:
        """Return the milliseconds since the epoch."""
        if self._wall_from_loop:
            return self.now_ms() + self._wall_offset_ms
        return time.time() * 1000.0 + self._wall_offset_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait for a duration; a negative one returns at the next turn."""
        await asyncio.sleep(max(0.0, duration_ms) / 1000.0)
