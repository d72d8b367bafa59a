"""JSON logging with a limit on its volume."""

from chestnuthall.adapters.logs._limit import LogLimits, RateLimitFilter
from chestnuthall.adapters.logs._setup import EventFormatter, configure_logging
from chestnuthall.adapters.logs._stream import LossyStream

__all__ = [
    "EventFormatter",
    "LogLimits",
    "LossyStream",
    "RateLimitFilter",
    "configure_logging",
]
