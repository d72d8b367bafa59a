"""Set-up of the JSON log."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def set_up_logs(level: str, instance: str) -> None:
    """Write the log of this process to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "{asctime}{levelname}{name}{message}",
            style="{",
            static_fields={"instance": instance},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
