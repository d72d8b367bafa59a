"""Command line of the daemon on the platform."""

import asyncio
import gc
import os
import signal
import sys
from pathlib import Path
from typing import NoReturn

from chestnuthall.adapters.logs import RateLimitFilter, configure_logging
from chestnuthall.core.results import Failure
from chestnuthall.platform._instance import PlatformInstance
from chestnuthall.platform._settings import PlatformSettings, read_settings
from chestnuthall.services import DECISION_LOGGER_NAME

EXIT_INVALID_SETTINGS = 2


def main() -> None:
    """Run one entry instance until SIGTERM or SIGINT."""
    if len(sys.argv) != 2:
        _exit_with_error("usage: python3 -m chestnuthall.platform SETTINGS-FILE")
    settings_file = Path(sys.argv[1])
    try:
        text = settings_file.read_text()
    except OSError as error:
        _exit_with_error(f"cannot read {settings_file}: {error.strerror}")
    settings = read_settings(text, str(settings_file), os.environ)
    if isinstance(settings, Failure):
        _exit_with_error(settings.reason)
    log_limit = configure_logging(
        settings.log_level, settings.name, (DECISION_LOGGER_NAME,)
    )
    # A full garbage collection would block the event loop for tens of milliseconds
    # to traverse the imported modules, which are never freed.
    gc.freeze()
    gc.enable()
    asyncio.run(_run(settings, log_limit))


def _exit_with_error(message: str) -> NoReturn:
    print(message, file=sys.stderr)
    raise SystemExit(EXIT_INVALID_SETTINGS)


async def _run(settings: PlatformSettings, log_limit: RateLimitFilter) -> None:
    instance = PlatformInstance(settings, log_limit)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, instance.lifecycle.announce_leave)
    await instance.run()
