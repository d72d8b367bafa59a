"""Start and graceful stop of an instance."""

import asyncio
import logging

from chestnuthall.ports import CallerServer, Clock

_log = logging.getLogger(__name__)

# Time that a stop waits, after all running requests have ended, for a slow caller
# to read its answer or to send the rest of a request.
LINGER_MS = 10_000.0
# Reserved before the end of a stop: requests have to be answered the first time before
# it, and those that still run are cancelled the second time before it.
ANSWER_MARGIN_MS = 300.0
CANCEL_MARGIN_MS = 200.0


class Lifecycle:
    """Counts the requests in flight and carries out a graceful stop.

    A stop is announced first, and the instance continues to serve, so that the
    load balancer can move callers to other instances. It then waits for the
    requests in flight.

    ``reconnect_grace_ms`` is the time from the start of the leave notice during which
    persistent connections are not closed yet, because callers that reconnect would
    still reach this instance. ``stop_timeout_ms`` bounds the stop where the platform
    ends the process after that time; requests that still run shortly before it are
    cancelled, so that their callers get an answer.
    """

    def __init__(
        self,
        clock: Clock,
        leave_notice_ms: float,
        *,
        reconnect_grace_ms: float = 0.0,
        stop_timeout_ms: float | None = None,
    ) -> None:
        self._clock = clock
        self._leave_notice_ms = leave_notice_ms
        self._reconnect_grace_ms = min(reconnect_grace_ms, leave_notice_ms)
        self._stop_timeout_ms = stop_timeout_ms
        self._n_in_flight = 0
        self._running: set[asyncio.Task[object]] = set()
        self._ends_at_ms = float("inf")
        self._is_ending = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._leaving = asyncio.Event()

    @property
    def is_leaving(self) -> bool:
        """Whether a stop was announced."""
        return self._leaving.is_set()

    @property
    def n_in_flight(self) -> int:
        """Number of requests that have started and not ended."""
        return self._n_in_flight

    @property
    def is_ending(self) -> bool:
        """Whether the requests that still run have been cancelled."""
        return self._is_ending

    @property
    def ends_at_ms(self) -> float:
        """Time by which each request has to be answered.

        Infinite unless a stop with a time limit was announced.
        """
        return self._ends_at_ms

    def announce_leave(self) -> None:
        """Announce the stop; repeated calls have no effect."""
        if self._stop_timeout_ms is not None and not self.is_leaving:
            left_ms = max(0.0, self._stop_timeout_ms - ANSWER_MARGIN_MS)
            self._ends_at_ms = self._clock.now_ms() + left_ms
        self._leaving.set()

    async def wait_leave(self) -> None:
        """Wait until a stop is announced."""
        await self._leaving.wait()

    def begin_request(self) -> None:
        """Record the start of a request."""
        self._n_in_flight += 1
        self._idle.clear()
        task = asyncio.current_task()
        if task is not None:
            self._running.add(task)

    def end_request(self) -> None:
        """Record the end of a request."""
        self._n_in_flight -= 1
        task = asyncio.current_task()
        if task is not None:
            self._running.discard(task)
        if self._n_in_flight == 0:
            self._idle.set()

    async def drain(self, server: CallerServer, was_ready: bool = True) -> None:
        """Serve during the leave notice, then stop listening and finish all requests.

        An instance that was never ready has no callers to move, so it skips the
        notice. Without ``stop_timeout_ms`` the wait for the requests is not bounded
        here, because each has its own deadline.
        """
        limit_ms = self._stop_timeout_ms
        timeout_s = None if limit_ms is None else limit_ms / 1000.0
        end_timer = None
        if limit_ms is not None:
            left_ms = max(0.0, limit_ms - CANCEL_MARGIN_MS)
            loop = asyncio.get_running_loop()
            end_timer = loop.call_later(left_ms / 1000.0, self._cancel_requests)
        try:
            async with asyncio.timeout(timeout_s):
                await self._drain(server, was_ready)
        except TimeoutError:
            _log.warning(
                "stop ended before all requests", extra={"n_left": self._n_in_flight}
            )
        finally:
            if end_timer is not None:
                end_timer.cancel()

    def _cancel_requests(self) -> None:
        """Cancel the requests that still run; their callers get an answer."""
        self._is_ending = True
        if self._running:
            _log.warning(
                "requests cancelled by the stop",
                extra={"n_cancelled": len(self._running)},
            )
        for task in self._running:
            task.cancel()

    async def _drain(self, server: CallerServer, was_ready: bool) -> None:
        if was_ready:
            await self._clock.sleep_ms(self._reconnect_grace_ms)
        server.announce_close()
        if was_ready:
            await self._clock.sleep_ms(self._leave_notice_ms - self._reconnect_grace_ms)
        await server.stop_listening()
        await self._idle.wait()
        await server.wait_closed(LINGER_MS)
