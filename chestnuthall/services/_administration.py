"""Operator actions on one instance."""

from chestnuthall.core.drains import DrainSignal
from chestnuthall.core.results import NOT_FOUND, Failure
from chestnuthall.ports import Clock, QuarantineStatus
from chestnuthall.services._directory import Directory
from chestnuthall.services._drain_news import DrainExchange
from chestnuthall.services._identity import InstanceIdentity
from chestnuthall.services._lifecycle import Lifecycle
from chestnuthall.services._quarantine_exchange import QuarantineExchange


class Administration:
    """Drains this instance or a replica, and lists and lifts quarantines."""

    def __init__(
        self,
        identity: InstanceIdentity,
        lifecycle: Lifecycle,
        directory: Directory,
        drains: DrainExchange,
        quarantines: QuarantineExchange,
        clock: Clock,
    ) -> None:
        self._identity = identity
        self._lifecycle = lifecycle
        self._directory = directory
        self._drains = drains
        self._quarantines = quarantines
        self._clock = clock

    def drain_instance(self, name: str) -> Failure | None:
        """Begin a graceful stop if ``name`` is the name of this instance."""
        if name != self._identity.name:
            return NOT_FOUND.with_reason(f"this instance is {self._identity.name}")
        self._lifecycle.announce_leave()
        return None

    def drain_replica(self, name: str) -> Failure | None:
        """Stop new calls to a known replica across the fleet."""
        if not self._directory.knows_replica(name):
            return NOT_FOUND.with_reason(f"no upstream named {name!r}")
        self._drains.on_signal(name, DrainSignal.OPERATOR)
        return None

    def resume_replica(self, name: str) -> None:
        """End the drain of a replica, whatever signal started it."""
        now_ms = self._clock.now_ms()
        self._drains.on_recovered(name, DrainSignal.OPERATOR, now_ms)

    def quarantines(self) -> tuple[QuarantineStatus, ...]:
        """Return the suspected and the quarantined requests."""
        now_ms = self._clock.now_ms()
        return tuple(
            QuarantineStatus(
                fingerprint=item.fingerprint,
                replica_names=tuple(sorted(item.replica_names)),
                expires_in_ms=min(item.retest_due_ms, item.expires_ms) - now_ms,
                is_quarantined=self._quarantines.is_quarantined(item.fingerprint),
            )
            for item in self._quarantines.suspicions()
        )

    async def lift_quarantine(self, fingerprint: str) -> Failure | None:
        """Lift the quarantine of a request across the fleet."""
        if await self._quarantines.lift(fingerprint):
            return None
        return NOT_FOUND.with_reason(
            "no quarantine with this fingerprint on this instance"
        )
