"""Grants the probes of suspected requests and the retests of quarantined ones."""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Protocol

from chestnuthall.core.quarantine import QuarantineRegistry
from chestnuthall.core.routing import HashRing
from chestnuthall.ports import Clock

if TYPE_CHECKING:
    from chestnuthall.services._probe_claims import ProbeClaims


class RetestClaims(Protocol):
    """Claims a probe or a retest on behalf of the fleet."""

    async def claim_probe(self, fingerprint: str) -> bool:
        """Return whether this instance may probe a suspected request now."""
        ...

    async def claim(self, fingerprint: str) -> bool:
        """Count a retest and return whether this instance may run it now."""
        ...


class OwnRetests:
    """Grants every retest that is due, for an instance without peers."""

    def __init__(self, registry: QuarantineRegistry, clock: Clock) -> None:
        self._registry = registry
        self._clock = clock

    async def claim_probe(self, fingerprint: str) -> bool:
        """Grant each probe; peers are notified of it before it starts."""
        return True

    async def claim(self, fingerprint: str) -> bool:
        """Count a retest that is due."""
        now_ms = self._clock.now_ms()
        if not self._registry.is_retest_due(fingerprint, now_ms):
            return False
        self._registry.count_retest(fingerprint, now_ms)
        return True


class OwnerRetests(OwnRetests):
    """Grants the retests of a request at one instance of the fleet, its owner.

    ``peer_names`` returns the names of the other instances that are alive. The owner
    follows from the fingerprint and these names, without any message. A probe is sent
    by the instance that has the request, and claimed with ``probe_claims``.
    """

    def __init__(
        self,
        registry: QuarantineRegistry,
        clock: Clock,
        own_name: str,
        peer_names: Callable[[], Iterable[str]],
        probe_claims: "ProbeClaims | None" = None,
    ) -> None:
        super().__init__(registry, clock)
        self._probe_claims = probe_claims
        self._own_name = own_name
        self._peer_names = peer_names

    async def claim_probe(self, fingerprint: str) -> bool:
        """Claim a probe, which only one instance of the fleet may run at a time."""
        if self._probe_claims is None:
            return True
        return await self._probe_claims.claim(fingerprint)

    async def claim(self, fingerprint: str) -> bool:
        """Count a retest that is due, if this instance owns the request."""
        ring = HashRing({self._own_name, *self._peer_names()})
        if ring.owners(fingerprint, 1) != (self._own_name,):
            return False
        return await super().claim(fingerprint)
