"""Runs an emulator as a process."""

import asyncio
import signal
from collections.abc import Awaitable, Callable


async def serve_until_signal(
    start: Awaitable[int], close: Callable[[], Awaitable[None]]
) -> None:
    """Start a server, print its port, and close it at SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    port = await start
    print(f"listening on port {port}", flush=True)
    await stopped.wait()
    await close()
