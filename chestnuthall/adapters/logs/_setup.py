"""Set-up of the JSON log."""

import logging
import sys
from collections.abc import Iterable

from pythonjsonlogger.json import JsonFormatter

from chestnuthall.adapters.clock import monotonic_ms
from chestnuthall.adapters.logs._limit import LogLimits, RateLimitFilter
from chestnuthall.adapters.logs._stream import LossyStream


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


def set_up_logs(
    level: str, instance: str, bounded_loggers: Iterable[str] = ()
) -> RateLimitFilter:
    """Write the log of this process to standard output as JSON lines.

    Loggers of ``bounded_loggers`` bound their volume themselves. Returns the
    filter of all others, whose report has to be called from time to time.
    """
    stream = LossyStream(sys.stdout.fileno())
    handler = _handler(stream, instance)
    limit = RateLimitFilter(LogLimits(), monotonic_ms, stream.take_lost)
    handler.addFilter(limit)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    for name in bounded_loggers:
        logger = logging.getLogger(name)
        logger.handlers[:] = [_handler(stream, instance)]
        logger.propagate = False
    return limit


def _handler(stream: LossyStream, instance: str) -> "logging.Handler":
    handler = logging.StreamHandler(stream)
    handler.setFormatter(EventFormatter(instance))
    return handler
