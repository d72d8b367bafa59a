"""Detection and quarantine of requests that crash upstreams."""

from chestnuthall.core.quarantine._register import (
    QuarantineRegister,
    QuarantineSettings,
    Suspicion,
    SuspicionState,
)

__all__ = ["QuarantineRegister", "QuarantineSettings", "Suspicion", "SuspicionState"]
