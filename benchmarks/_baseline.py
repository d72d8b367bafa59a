"""The usual tier for comparison: first in first out, random replica, no hedging."""

from benchmarks._fleet import VirtualFleet


def make_baseline(fleet: VirtualFleet) -> None:
    raise NotImplementedError
