"""Logs as one JSON object a line."""

from chestnuthall.adapters.logs._setup import set_up_logs

__all__ = ["set_up_logs"]
