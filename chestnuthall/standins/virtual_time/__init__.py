"""An event loop whose time advances only when nothing is ready to run."""

from chestnuthall.standins.virtual_time._loop import VirtualTimeLoop, run_virtual

__all__ = ["VirtualTimeLoop", "run_virtual"]
