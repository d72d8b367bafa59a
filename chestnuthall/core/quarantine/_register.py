"""Connection losses per request fingerprint."""

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineSettings:
    """How many replicas a request may cost, and for how long it is refused."""

    n_replicas_lost_max: int = 2
    quarantine_ms: float = 300_000.0
    n_fingerprints_max: int = 4096


@dataclass(slots=True)
class Suspicion:
    """Replicas that lost their connection while they ran one fingerprint."""

    fingerprint: str
    expires_ms: float
    replica_names: set[str] = field(default_factory=set)


class QuarantineRegister:
    """Counts losses over distinct replicas and decides on quarantine."""

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._suspicions: dict[str, Suspicion] = {}

    def record_loss(self, fingerprint: str, replica_name: str, now_ms: float) -> None:
        """Note a connection that was lost while a replica ran a request."""
        self.merge(
            fingerprint, (replica_name,), now_ms + self._settings.quarantine_ms, now_ms
        )

    def merge(
        self,
        fingerprint: str,
        replica_names: Iterable[str],
        expires_ms: float,
        now_ms: float,
    ) -> None:
        """Add losses seen here or by a peer."""
        self._forget_expired(now_ms)
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            suspicion = Suspicion(fingerprint, expires_ms)
            self._suspicions[fingerprint] = suspicion
        suspicion.replica_names.update(replica_names)
        suspicion.expires_ms = max(suspicion.expires_ms, expires_ms)

    def is_quarantined(self, fingerprint: str, now_ms: float) -> bool:
        """Return whether a request has cost as many replicas as it may."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or suspicion.expires_ms <= now_ms:
            return False
        n_lost = len(suspicion.replica_names)
        return n_lost >= self._settings.n_replicas_lost_max

    def is_suspected(self, fingerprint: str, now_ms: float) -> bool:
        """Return whether a request has cost at least one replica."""
        suspicion = self._suspicions.get(fingerprint)
        return suspicion is not None and suspicion.expires_ms > now_ms

    def lift(self, fingerprint: str) -> bool:
        """Forget a fingerprint; return whether it was known."""
        return self._suspicions.pop(fingerprint, None) is not None

    def suspicions(self, now_ms: float) -> tuple[Suspicion, ...]:
        """Return all suspicions that have not expired."""
        self._forget_expired(now_ms)
        return tuple(self._suspicions.values())

    def _forget_expired(self, now_ms: float) -> None:
        expired = [
            key for key, item in self._suspicions.items() if item.expires_ms <= now_ms
        ]
        for key in expired:
            del self._suspicions[key]
        while len(self._suspicions) >= self._settings.n_fingerprints_max:
            del self._suspicions[next(iter(self._suspicions))]
