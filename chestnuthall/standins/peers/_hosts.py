"""A process of the in-memory network, which can be paused like by SIGSTOP."""

import asyncio

from chestnuthall.ports import Clock


class Host:
    """Whether a process runs; a paused one neither sends, receives nor ticks."""

    def __init__(self) -> None:
        self._running = asyncio.Event()
        self._running.set()

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return not self._running.is_set()

    def pause(self) -> None:
        """Stop the process where it waits."""
        self._running.clear()

    def resume(self) -> None:
        """Let the process go on; what it waited for has arrived meanwhile."""
        self._running.set()

    async def wait_running(self) -> None:
        """Wait until the process is not paused."""
        await self._running.wait()


class HostClock:
    """A clock whose delays end only while the process of its host runs."""

    def __init__(self, clock: Clock, host: Host) -> None:
        self._clock = clock
        self._host = host

    def now_ms(self) -> float:
        """Return the monotonic time, which goes on during a pause."""
        return self._clock.now_ms()

    def wall_ms(self) -> float:
        """Return the time since the epoch."""
        return self._clock.wall_ms()

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait for a duration, and then until the process runs."""
        await self._clock.sleep_ms(duration_ms)
        await self._host.wait_running()
