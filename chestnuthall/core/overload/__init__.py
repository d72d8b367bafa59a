"""Detection of an instance that gets too little processor time for its load."""

from chestnuthall.core.overload._lag import LagSettings, OverloadDetector

__all__ = ["LagSettings", "OverloadDetector"]
