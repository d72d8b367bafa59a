"""A virtual-time event loop for deterministic tests and measurements."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class DeadlockError(RuntimeError):
    """Every task waits and no timer is set, so time cannot advance."""


class _VirtualSelector(selectors.SelectSelector):
    """Advances the loop's time instead of waiting for input or output."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise DeadlockError("every task waits and no timer is set")
        self.now_s += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting; sockets are not served."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds; it starts at zero."""
        return self._virtual_selector.now_s


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in virtual time.

    Examples
    --------
    >>> async def wait_an_hour():
    ...     await asyncio.sleep(3600)
    ...     return asyncio.get_running_loop().time()
    >>> run_virtual(wait_an_hour())
    3600.0
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
