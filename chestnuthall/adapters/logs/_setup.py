"""Configuration of the JSON log."""

import logging
import sys
from collections.abc import Iterable

from pythonjsonlogger.json import JsonFormatter

from chestnuthall.adapters.clock import monotonic_ms
from chestnuthall.adapters.logs._limit import LogLimits, RateLimitFilter
from chestnuthall.adapters.logs._stream import LossyStream


class EventFormatter(JsonFormatter):
    """Formats a log record as a line of JSON.

    The field ``event`` is the message with underscores instead of spaces, which gives
    each event a stable name.
    """

    def __init__(self, instance: str) -> None:
        super().__init__(
            "{asctime}{levelname}{name}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"instance": instance},
        )

    def process_log_record(self, log_data: dict[str, object]) -> dict[str, object]:
        """Put the event first; called by the base class."""
        message = str(log_data.pop("message", ""))
        return {"event": message.replace(" ", "_"), **log_data}

    def add_fields(
        self,
        log_data: dict[str, object],
        record: logging.LogRecord,
        message_dict: dict[str, object],
    ) -> None:
        """Add the message, which becomes the event; called by the base class."""
        super().add_fields(log_data, record, message_dict)
        log_data["message"] = record.getMessage()


def configure_logging(
    level: str, instance: str, self_limiting_loggers: Iterable[str] = ()
) -> RateLimitFilter:
    """Write the log of this process to standard output as JSON lines.

    The loggers named in ``self_limiting_loggers`` limit their volume themselves.
    Returns the filter of all other loggers; its ``report_dropped`` has to be called
    periodically.
    """
    stream = LossyStream(sys.stdout.fileno())
    handler = _make_handler(stream, instance)
    rate_limit = RateLimitFilter(LogLimits(), monotonic_ms, stream.pop_n_lost)
    handler.addFilter(rate_limit)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    for name in self_limiting_loggers:
        logger = logging.getLogger(name)
        logger.handlers[:] = [_make_handler(stream, instance)]
        logger.propagate = False
    return rate_limit


def _make_handler(stream: LossyStream, instance: str) -> "logging.Handler":
    handler = logging.StreamHandler(stream)
    handler.setFormatter(EventFormatter(instance))
    return handler
