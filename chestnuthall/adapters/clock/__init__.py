"""Clocks of an instance, with and without a running event loop."""

from chestnuthall.adapters.clock._loop_clock import LoopClock, monotonic_ms

__all__ = ["LoopClock", "monotonic_ms"]
