"""Suspected requests: warning the peers and waking the queries that wait."""

import asyncio
from collections.abc import Awaitable, Callable

from chestnuthall.core.quarantine import QuarantineRegistry, SuspicionState
from chestnuthall.ports import Clock

# A probe waits this long at most for peers that do not answer. Peers that can be
# reached answer within a few milliseconds.
WARN_TIMEOUT_MS = 100.0

Waiter = Callable[[], None]


class Suspects:
    """Joins the quarantine register to the peers and to the running queries."""

    def __init__(
        self,
        registry: QuarantineRegistry,
        clock: Clock,
        disseminate: Callable[[], Awaitable[None]] | None,
    ) -> None:
        self._clock = clock
        self._disseminate = disseminate
        self._waiters: dict[str, list[Waiter]] = {}
        self._running: asyncio.Task[None] | None = None
        self._next: asyncio.Task[None] | None = None
        registry.on_change(self._on_change)

    def add_waiter(self, fingerprint: str, waiter: Waiter) -> None:
        """Call ``waiter`` when a suspicion of a fingerprint is settled."""
        self._waiters.setdefault(fingerprint, []).append(waiter)

    def remove_waiter(self, fingerprint: str, waiter: Waiter) -> None:
        """Stop calling a waiter."""
        waiters = self._waiters[fingerprint]
        waiters.remove(waiter)
        if not waiters:
            del self._waiters[fingerprint]

    def _on_change(
        self, fingerprint: str, state: SuspicionState, is_local: bool
    ) -> None:
        if is_local:
            self._start_dissemination()
        if state is SuspicionState.SUSPECTED:
            return
        # The change may come out of a query's own event, which has to be
        # finished before it can take another one.
        loop = asyncio.get_running_loop()
        for waiter in self._waiters.get(fingerprint, ()):
            loop.call_soon(waiter)

    async def warn_peers(self) -> None:
        """Return when the peers know, or after ``WARN_TIMEOUT_MS``."""
        dissemination = self._start_dissemination()
        if dissemination is None:
            return
        timer = asyncio.get_running_loop().create_task(
            self._clock.sleep_ms(WARN_TIMEOUT_MS)
        )
        try:
            await asyncio.wait(
                (dissemination, timer), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()

    def _start_dissemination(self) -> "asyncio.Task[None] | None":
        """Return the round of exchanges that carries everything known now.

        One round runs at a time and one waits, so that the loss of a zone, with
        its many suspicions, does not start a round for each of them.
        """
        if self._disseminate is None:
            return None
        loop = asyncio.get_running_loop()
        if self._running is None or self._running.done():
            self._running = loop.create_task(self._exchange())
            return self._running
        if self._next is None or self._next.done():
            self._next = loop.create_task(self._exchange_after(self._running))
        return self._next

    async def _exchange(self) -> None:
        # The digest is filled after the event that made the news has ended.
        assert self._disseminate is not None
        await self._disseminate()

    async def _exchange_after(self, running: "asyncio.Task[None]") -> None:
        await asyncio.wait((running,))
        self._running = asyncio.current_task()
        self._next = None
        await self._exchange()
