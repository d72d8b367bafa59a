"""Keeps the background tasks of an instance running."""

import logging
from collections.abc import Awaitable, Callable

from chestnuthall.ports import Clock

_log = logging.getLogger(__name__)

RESTART_DELAY_MS = 1_000.0


async def keep_running(
    task_name: str, run: Callable[[], Awaitable[None]], clock: Clock
) -> None:
    """Run a background task until cancelled; start it again if it fails.

    A task that follows the store and ends would leave the instance with an outdated
    state for good.
    """
    while True:
        try:
            await run()
        except Exception:
            _log.exception("background task failed", extra={"task": task_name})
        await clock.sleep_ms(RESTART_DELAY_MS)
