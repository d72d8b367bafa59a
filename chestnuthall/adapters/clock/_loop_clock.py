"""Clock port on the running event loop."""

import asyncio
import time


def monotonic_ms() -> float:
    """Return the monotonic time in milliseconds, without a running event loop.

    The rate limit of the log needs the time before the daemon's event loop starts.
    """
    return time.monotonic() * 1000.0


class LoopClock:
    """Reads the event loop's time, so that a virtual-time loop drives it too.

    ``wall_offset_ms`` is added to the wall clock. With ``wall_from_loop``, the wall
    clock follows the time of the loop, which may be virtual, instead of the system's.
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
        """Sleep; a negative duration only yields to the event loop once."""
        await asyncio.sleep(max(0.0, duration_ms) / 1000.0)
