"""Processes of the in-memory network, which can be paused as if by SIGSTOP."""

import asyncio

from chestnuthall.ports import Clock


class Host:
    """Run state of a process; while paused it does no I/O and runs no timers."""

    def __init__(self) -> None:
        self._running = asyncio.Event()
        self._running.set()

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return not self._running.is_set()

    def pause(self) -> None:
        """Pause the process at its next wait."""
        self._running.clear()

    def resume(self) -> None:
        """Resume the process; events that became due during the pause follow."""
        self._running.set()

    async def wait_running(self) -> None:
        """Wait until the process is not paused."""
        await self._running.wait()


class HostClock:
    """A clock whose delays end only while its host is not paused."""

    def __init__(self, clock: Clock, host: Host) -> None:
        self._clock = clock
        self._host = host

    def now_ms(self) -> float:
        """Return the monotonic time, which also advances during a pause."""
        return self._clock.now_ms()

    def wall_ms(self) -> float:
        """Return the time since the epoch."""
        return self._clock.wall_ms()

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait for a duration, then until the process is not paused."""
        await self._clock.sleep_ms(duration_ms)
        await self._host.wait_running()
