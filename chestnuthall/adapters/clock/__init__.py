"""The clock of an instance, on its event loop and before the loop runs."""

from chestnuthall.adapters.clock._loop_clock import LoopClock, monotonic_ms

__all__ = ["LoopClock", "monotonic_ms"]
