"""The clock of an instance on its event loop."""

from chestnuthall.adapters.clock._loop_clock import LoopClock

__all__ = ["LoopClock"]
