"""Requests that crash the upstreams that run them."""

from chestnuthall.core.quarantine._registry import (
    QuarantineRegistry,
    QuarantineSettings,
    Suspicion,
    SuspicionState,
)

__all__ = ["QuarantineRegistry", "QuarantineSettings", "Suspicion", "SuspicionState"]
