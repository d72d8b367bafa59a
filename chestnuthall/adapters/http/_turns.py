"""Turns of connections whose clients sent more than one message at once."""

import asyncio
from collections import deque
from collections.abc import Callable

# Time that they may take before other events of the loop are handled.
TURN_S = 0.005


class Turns:
    """Runs callbacks in order, a few milliseconds of them in each turn of the loop.

    Otherwise clients that send requests ahead would each have one served in every turn
    of the loop, and a client that waits for its response would wait for all of them
    several times.
    """

    def __init__(self) -> None:
        self._callbacks: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    def add(self, callback: Callable[[], None]) -> None:
        """Call back in a later turn."""
        self._callbacks.append(callback)
        self._schedule()

    def _schedule(self) -> None:
        if self._callbacks and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + TURN_S
        for _ in range(len(self._callbacks)):
            self._callbacks.popleft()()
            if loop.time() > ends_at_s:
                break
        self._schedule()
