"""The operators' tool ``chestnuthall``."""

from chestnuthall.cli._main import main

__all__ = ["main"]
