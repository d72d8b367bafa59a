"""Start and graceful stop of an instance."""

import asyncio

from chestnuthall.ports import CallerListener, Clock

# How long the last bytes of an answer may take to reach a slow caller, and the
# rest of a request to arrive, after all other requests have ended.
LINGER_MS = 10_000.0


class Lifecycle:
    """Counts the requests in flight and carries out a graceful stop.

    A stop is announced first, so that the balancer can move callers away; the
    instance serves on meanwhile. It then waits for what is in flight.
    """

    def __init__(self, clock: Clock, leave_notice_ms: float) -> None:
        self._clock = clock
        self._leave_notice_ms = leave_notice_ms
        self._n_in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._leaving = asyncio.Event()

    @property
    def is_leaving(self) -> bool:
        """Whether a stop was announced."""
        return self._leaving.is_set()

    @property
    def n_in_flight(self) -> int:
        """Number of requests that have begun and not ended."""
        return self._n_in_flight

    def announce_leave(self) -> None:
        """Begin to leave; a repeated signal changes nothing."""
        self._leaving.set()

    async def wait_leave(self) -> None:
        """Wait until a stop is announced."""
        await self._leaving.wait()

    def begin_request(self) -> None:
        """Note a request that has begun."""
        self._n_in_flight += 1
        self._idle.clear()

    def end_request(self) -> None:
        """Note a request that has ended."""
        self._n_in_flight -= 1
        if self._n_in_flight == 0:
            self._idle.set()

    async def drain(self, listener: CallerListener, was_ready: bool = True) -> None:
        """Serve on for the notice, then stop listening and finish all requests.

        An instance that was never ready has no callers to move away. There is
        no time limit on requests: each one has its own deadline.
        """
        listener.announce_close()
        if was_ready:
            await self._clock.sleep_ms(self._leave_notice_ms)
        await listener.stop_listening()
        await self._idle.wait()
        await listener.wait_closed(LINGER_MS)
