"""JSON logging with a limit on its volume."""

from chestnuthall.adapters.logs._limit import LogLimits, RateLimitFilter
from chestnuthall.adapters.logs._setup import EventFormatter, set_up_logs
from chestnuthall.adapters.logs._stream import LossyStream

__all__ = [
    "EventFormatter",
    "LogLimits",
    "LossyStream",
    "RateLimitFilter",
    "set_up_logs",
]
