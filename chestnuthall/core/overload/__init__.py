"""Whether an instance has less processor time than its work takes."""

from chestnuthall.core.overload._lag import LagSettings, OverloadDetector

__all__ = ["LagSettings", "OverloadDetector"]
