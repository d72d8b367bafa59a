"""Connection losses per request fingerprint, and whether each is quarantined.

Losses in one wave of calls only make a request suspected, however many there
are, because the failure of a rack or zone makes one replica of many shards
unavailable at once. A suspected request then runs on one replica only, as a
probe outside the zones that lost replicas. If the probe is answered, the request
is cleared; if the replica is lost, the request is quarantined. The loss of a
second replica of the same shard in another zone counts as a lost probe, because
a hedge acts as a probe.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from chestnuthall.core.model import Replica

# Retention of clearances, so that a late notice of a peer does not make a cleared
# request suspected again.
CLEARED_RETENTION_MS = 10_000.0
# The next loss after this many clearances quarantines the request. Without the
# limit, a request that crashes only some of its runs would always be cleared.
N_CLEARED_MAX = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineSettings:
    """Limits on the replicas lost to a request, and durations in milliseconds."""

    n_replicas_lost_max: int = 2
    quarantine_ms: float = 300_000.0
    n_fingerprints_max: int = 4096
    # How long a probe is reserved, during which other queries wait for its outcome.
    probe_reservation_ms: float = 2_000.0


class SuspicionState(Enum):
    """State of a fingerprint after a change."""

    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    CLEARED = "cleared"
    EXPIRED = "expired"


@dataclass(slots=True)
class Suspicion:
    """Replicas lost to a fingerprint, and the reservation of its probe.

    ``replica_names`` has one name while the request is only suspected, however
    many replicas its first wave lost, and at least two once it is quarantined.
    ``loss_zone_by_shard`` has the zone of the first loss of each shard.
    """

    fingerprint: str
    expires_ms: float
    replica_names: set[str] = field(default_factory=set)
    zones_with_losses: set[str] = field(default_factory=set)
    loss_zone_by_shard: dict[str, str] = field(default_factory=dict)
    is_quarantined: bool = False
    is_local: bool = True
    probe_owner: str = ""
    probe_reserved_until_ms: float = float("-inf")


@dataclass(frozen=True, slots=True)
class _Clearance:
    cleared_ms: float
    n_cleared: int
    is_local: bool


Listener = Callable[[str, SuspicionState, bool], None]


class QuarantineRegistry:
    """Registry of suspected, cleared and quarantined requests."""

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._suspicions: dict[str, Suspicion] = {}
        self._cleared: dict[str, _Clearance] = {}
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Add a listener for changes of state.

        It is called with the fingerprint, its new state and whether the change was
        detected by this instance.
        """
        self._listeners.append(listener)

    def _notify(self, fingerprint: str, state: SuspicionState, is_local: bool) -> None:
        for listener in self._listeners:
            listener(fingerprint, state, is_local)

    def record_loss(
        self,
        fingerprint: str,
        replica: Replica,
        shard_id: str,
        now_ms: float,
        started_ms: float,
        is_probe: bool = False,
    ) -> None:
        """Record a connection that was lost while a replica ran a request.

        ``is_probe`` says that the call started while the request was suspected.
        The loss of a call that started before the request was cleared is ignored,
        because it belongs to the wave that the clearance covers.
        """
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is None:
            cleared = self._cleared.get(fingerprint)
            if cleared is not None and started_ms < cleared.cleared_ms:
                return
            suspicion = self._add_suspicion(
                fingerprint, replica.name, now_ms, is_local=True
            )
            self._record_location(suspicion, replica, shard_id)
            if self._n_cleared(fingerprint, now_ms) >= N_CLEARED_MAX:
                suspicion.replica_names.add("")
                self._quarantine(suspicion, is_local=True)
            else:
                self._notify(fingerprint, SuspicionState.SUSPECTED, True)
            return
        first_loss_zone = suspicion.loss_zone_by_shard.get(shard_id)
        is_evidence = is_probe or first_loss_zone not in (None, replica.zone)
        self._record_location(suspicion, replica, shard_id)
        if not is_evidence or replica.name in suspicion.replica_names:
            return
        suspicion.replica_names.add(replica.name)
        if len(suspicion.replica_names) >= self._settings.n_replicas_lost_max:
            self._quarantine(suspicion, is_local=True)

    def _record_location(
        self, suspicion: Suspicion, replica: Replica, shard_id: str
    ) -> None:
        suspicion.zones_with_losses.add(replica.zone)
        suspicion.loss_zone_by_shard.setdefault(shard_id, replica.zone)

    def _add_suspicion(
        self, fingerprint: str, replica_name: str, now_ms: float, is_local: bool
    ) -> Suspicion:
        self._remove_expired(now_ms)
        suspicion = Suspicion(
            fingerprint,
            now_ms + self._settings.quarantine_ms,
            {replica_name},
            is_local=is_local,
        )
        self._suspicions[fingerprint] = suspicion
        return suspicion

    def _quarantine(self, suspicion: Suspicion, is_local: bool) -> None:
        if suspicion.is_quarantined:
            return
        suspicion.is_quarantined = True
        self._notify(suspicion.fingerprint, SuspicionState.QUARANTINED, is_local)

    def merge(
        self,
        fingerprint: str,
        replica_names: Iterable[str],
        expires_ms: float,
        now_ms: float,
    ) -> None:
        """Merge a notice received from a peer.

        Two or more replica names mean that the request is quarantined, and one
        means that it is suspected and the peer runs the probe. An expiry in the
        past means that the request was cleared.
        """
        names = set(replica_names)
        if expires_ms <= now_ms:
            self._clear(fingerprint, now_ms, is_local=False)
            return
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if len(names) >= self._settings.n_replicas_lost_max:
            if suspicion is None:
                suspicion = self._add_suspicion(fingerprint, "", now_ms, is_local=False)
                suspicion.replica_names.clear()
            suspicion.replica_names.update(names)
            suspicion.expires_ms = max(suspicion.expires_ms, expires_ms)
            self._quarantine(suspicion, is_local=False)
        elif suspicion is None and not self._n_cleared(fingerprint, now_ms):
            suspicion = self._add_suspicion(
                fingerprint, next(iter(names), ""), now_ms, is_local=False
            )
            suspicion.expires_ms = expires_ms
            suspicion.probe_owner = "peer"
            suspicion.probe_reserved_until_ms = (
                now_ms + self._settings.probe_reservation_ms
            )
            self._notify(fingerprint, SuspicionState.SUSPECTED, False)

    def _find_unexpired(self, fingerprint: str, now_ms: float) -> Suspicion | None:
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or suspicion.expires_ms <= now_ms:
            return None
        return suspicion

    def find(self, fingerprint: str, now_ms: float) -> Suspicion | None:
        """Return what is known of a suspected or quarantined request, or None."""
        return self._find_unexpired(fingerprint, now_ms)

    def is_quarantined(self, fingerprint: str, now_ms: float) -> bool:
        """Return whether a request is quarantined."""
        suspicion = self._find_unexpired(fingerprint, now_ms)
        return suspicion is not None and suspicion.is_quarantined

    def is_suspected(self, fingerprint: str, now_ms: float) -> bool:
        """Return whether a request is suspected or quarantined."""
        return self._find_unexpired(fingerprint, now_ms) is not None

    def zones_with_losses(self, fingerprint: str, now_ms: float) -> frozenset[str]:
        """Return the zones in which runs of a suspected request lost replicas."""
        suspicion = self._find_unexpired(fingerprint, now_ms)
        return (
            frozenset() if suspicion is None else frozenset(suspicion.zones_with_losses)
        )

    def try_reserve_probe(
        self, fingerprint: str, probe_owner: str, now_ms: float
    ) -> bool:
        """Reserve the probe of a suspected request; return whether that succeeded."""
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is None or suspicion.is_quarantined:
            return False
        if (
            suspicion.probe_owner != probe_owner
            and suspicion.probe_reserved_until_ms > now_ms
        ):
            return False
        suspicion.probe_owner = probe_owner
        suspicion.is_local = True
        suspicion.probe_reserved_until_ms = now_ms + self._settings.probe_reservation_ms
        return True

    def probe_reserved_until_ms(self, fingerprint: str) -> float:
        """Return the time at which the reservation of a probe expires."""
        suspicion = self._suspicions.get(fingerprint)
        return float("-inf") if suspicion is None else suspicion.probe_reserved_until_ms

    def release_probe(self, fingerprint: str, probe_owner: str, now_ms: float) -> None:
        """Release the reservation of a probe, so that another query can run it."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is not None and suspicion.probe_owner == probe_owner:
            suspicion.probe_reserved_until_ms = now_ms

    def clear(self, fingerprint: str, now_ms: float) -> None:
        """Clear a suspected request whose probe was answered."""
        self._clear(fingerprint, now_ms, is_local=True)

    def _clear(self, fingerprint: str, now_ms: float, is_local: bool) -> None:
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is None or suspicion.is_quarantined:
            return
        del self._suspicions[fingerprint]
        n_cleared = self._n_cleared(fingerprint, now_ms) + 1
        self._cleared[fingerprint] = _Clearance(now_ms, n_cleared, is_local)
        self._notify(fingerprint, SuspicionState.CLEARED, is_local)

    def _n_cleared(self, fingerprint: str, now_ms: float) -> int:
        cleared = self._cleared.get(fingerprint)
        if cleared is None or now_ms - cleared.cleared_ms > CLEARED_RETENTION_MS:
            return 0
        return cleared.n_cleared

    def lift(self, fingerprint: str) -> bool:
        """Remove a fingerprint; return whether it was known."""
        return self._suspicions.pop(fingerprint, None) is not None

    def suspicions(self, now_ms: float) -> tuple[Suspicion, ...]:
        """Return all suspicions that have not expired."""
        self._remove_expired(now_ms)
        return tuple(self._suspicions.values())

    def notices(self, now_ms: float) -> tuple[Suspicion, ...]:
        """Return the notices for peers, as accepted by ``merge``.

        These are all quarantines, the suspicions of this instance, and the requests
        that it recently cleared, with an expiry that has passed.
        """
        notices = [
            item
            for item in self.suspicions(now_ms)
            if item.is_local or item.is_quarantined
        ]
        notices += [
            Suspicion(fingerprint, now_ms, {""})
            for fingerprint, cleared in self._cleared.items()
            if cleared.is_local and fingerprint not in self._suspicions
        ]
        return tuple(notices)

    def _remove_expired(self, now_ms: float) -> None:
        for key in [k for k, v in self._suspicions.items() if v.expires_ms <= now_ms]:
            is_local = self._suspicions.pop(key).is_local
            self._notify(key, SuspicionState.EXPIRED, is_local)
        retained_since_ms = now_ms - CLEARED_RETENTION_MS
        for key in [
            k for k, v in self._cleared.items() if v.cleared_ms < retained_since_ms
        ]:
            del self._cleared[key]
        while len(self._suspicions) >= self._settings.n_fingerprints_max:
            del self._suspicions[self._eviction_candidate()]

    def _eviction_candidate(self) -> str:
        for key, suspicion in self._suspicions.items():
            if not suspicion.is_quarantined:
                return key
        return next(iter(self._suspicions))
