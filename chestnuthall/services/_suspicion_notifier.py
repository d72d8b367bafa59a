"""Notifies peers and waiting queries of suspected requests."""

import asyncio
from collections.abc import Awaitable, Callable

from chestnuthall.core.quarantine import QuarantineRegistry, SuspicionState
from chestnuthall.ports import Clock

# Maximum time that a probe waits for unresponsive peers. Reachable peers respond
# within a few milliseconds.
NOTIFY_TIMEOUT_MS = 100.0

Waiter = Callable[[], None]


class SuspicionNotifier:
    """Sends suspicions of the quarantine registry to peers and running queries."""

    def __init__(
        self,
        registry: QuarantineRegistry,
        clock: Clock,
        disseminate: Callable[[], Awaitable[None]] | None,
    ) -> None:
        self._clock = clock
        self._disseminate = disseminate
        self._waiters: dict[str, list[Waiter]] = {}
        self._running_round: asyncio.Task[None] | None = None
        self._next_round: asyncio.Task[None] | None = None
        registry.add_listener(self._on_change)

    def add_waiter(self, fingerprint: str, waiter: Waiter) -> None:
        """Call ``waiter`` when a suspicion of a fingerprint is resolved."""
        self._waiters.setdefault(fingerprint, []).append(waiter)

    def remove_waiter(self, fingerprint: str, waiter: Waiter) -> None:
        """Remove a waiter that was added before."""
        waiters = self._waiters[fingerprint]
        waiters.remove(waiter)
        if not waiters:
            del self._waiters[fingerprint]

    def _on_change(
        self, fingerprint: str, state: SuspicionState, is_local: bool
    ) -> None:
        if is_local:
            self._start_round()
        if state is SuspicionState.SUSPECTED:
            return
        # The change may be caused by an event that a query is handling. A query
        # cannot handle another event before it has finished that one.
        loop = asyncio.get_running_loop()
        for waiter in self._waiters.get(fingerprint, ()):
            loop.call_soon(waiter)

    async def notify_peers(self) -> None:
        """Wait until the peers are notified, for at most ``NOTIFY_TIMEOUT_MS``."""
        current_round = self._start_round()
        if current_round is None:
            return
        timer = asyncio.get_running_loop().create_task(
            self._clock.sleep_ms(NOTIFY_TIMEOUT_MS)
        )
        try:
            await asyncio.wait(
                (current_round, timer), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()

    def _start_round(self) -> "asyncio.Task[None] | None":
        """Return the round of exchanges that includes all current suspicions.

        At most one round runs and one is queued, so that the loss of a zone, which
        causes many suspicions, does not start a round for each of them.
        """
        if self._disseminate is None:
            return None
        loop = asyncio.get_running_loop()
        if self._running_round is None or self._running_round.done():
            self._running_round = loop.create_task(self._run_round())
            return self._running_round
        if self._next_round is None or self._next_round.done():
            self._next_round = loop.create_task(
                self._run_round_after(self._running_round)
            )
        return self._next_round

    async def _run_round(self) -> None:
        # This runs in a task, so the digest is filled after the event that caused
        # the change has been handled.
        assert self._disseminate is not None
        await self._disseminate()

    async def _run_round_after(self, running: "asyncio.Task[None]") -> None:
        await asyncio.wait((running,))
        self._running_round = asyncio.current_task()
        self._next_round = None
        await self._run_round()
