"""Detection and quarantine of requests that crash upstreams."""

from chestnuthall.core.quarantine._registry import (
    QuarantineRegistry,
    QuarantineSettings,
    Suspicion,
    SuspicionState,
)

__all__ = ["QuarantineRegistry", "QuarantineSettings", "Suspicion", "SuspicionState"]
