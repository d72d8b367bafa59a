"""Command-line entry point of the daemon."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import Annotated, NoReturn

from cyclopts import App, Parameter

from chestnuthall.adapters.logs import RateLimitFilter, configure_logging
from chestnuthall.adapters.settings import InstanceSettings, read_settings
from chestnuthall.core.results import Failure
from chestnuthall.daemon._instance import EntryInstance

EXIT_INVALID_SETTINGS = 2

app = App(name="chestnuthalld", help="Run one entry instance of chestnuthall.")


@app.default
def serve(settings_file: Annotated[Path, Parameter(help="Settings file.")]) -> None:
    """Run one entry instance until SIGTERM or SIGINT.

    Parameters
    ----------
    settings_file
        Settings of the instance, JSON with comments.
    """
    try:
        text = settings_file.read_text()
    except OSError as error:
        _exit_with_error(f"cannot read {settings_file}: {error.strerror}")
    settings = read_settings(text, str(settings_file))
    if isinstance(settings, Failure):
        _exit_with_error(settings.reason)
    log_limit = configure_logging(settings.log_level, settings.name)
    asyncio.run(_run(settings, log_limit))


def _exit_with_error(message: str) -> NoReturn:
    print(message, file=sys.stderr)
    raise SystemExit(EXIT_INVALID_SETTINGS)


async def _run(settings: InstanceSettings, log_limit: RateLimitFilter) -> None:
    instance = EntryInstance(settings, log_limit)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, instance.lifecycle.announce_leave)
    await instance.run()


def main() -> None:
    """Run the command-line interface of the daemon."""
    app()
