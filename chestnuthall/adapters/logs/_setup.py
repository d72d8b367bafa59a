"""Set-up of the JSON log."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from chestnuthall.adapters.clock import monotonic_ms
from chestnuthall.adapters.logs._limit import LogLimits, RateLimitFilter


class EventFormatter(JsonFormatter):
    """Writes a line as JSON; ``event`` is the message as a stable name."""

    def __init__(self, instance: str) -> None:
        super().__init__(
            "{asctime}{levelname}{name}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"instance": instance},
        )

    def process_log_record(self, log_data: dict[str, object]) -> dict[str, object]:
        """Put the event first; called by the library."""
        message = str(log_data.pop("message", ""))
        return {"event": message.replace(" ", "_"), **log_data}

    def add_fields(
        self,
        log_data: dict[str, object],
        record: logging.LogRecord,
        message_dict: dict[str, object],
    ) -> None:
        """Add the message, from which the event is made; called by the library."""
        super().add_fields(log_data, record, message_dict)
        log_data["message"] = record.getMessage()


def set_up_logs(level: str, instance: str) -> RateLimitFilter:
    """Write the log of this process to standard error as JSON lines.

    Returns the filter, whose report has to be called from time to time.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(EventFormatter(instance))
    limit = RateLimitFilter(LogLimits(), monotonic_ms)
    handler.addFilter(limit)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    return limit
