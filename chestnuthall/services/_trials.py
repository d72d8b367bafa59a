"""Grants the trials of quarantined requests."""

from typing import Protocol

from chestnuthall.core.quarantine import QuarantineRegistry
from chestnuthall.ports import Clock


class TrialClaims(Protocol):
    """Claims a trial on behalf of the fleet."""

    async def claim(self, fingerprint: str) -> bool:
        """Count a trial and return whether this instance may run it now."""
        ...


class OwnTrials:
    """Grants every trial that is due, for an instance without peers."""

    def __init__(self, registry: QuarantineRegistry, clock: Clock) -> None:
        self._registry = registry
        self._clock = clock

    async def claim(self, fingerprint: str) -> bool:
        """Count a trial that is due."""
        now_ms = self._clock.now_ms()
        if not self._registry.is_trial_due(fingerprint, now_ms):
            return False
        self._registry.count_trial(fingerprint, now_ms)
        return True
