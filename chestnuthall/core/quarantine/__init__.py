"""Requests that crash the upstreams that run them."""

from chestnuthall.core.quarantine._register import (
    QuarantineRegister,
    QuarantineSettings,
    Suspicion,
    SuspicionState,
)

__all__ = ["QuarantineRegister", "QuarantineSettings", "Suspicion", "SuspicionState"]
