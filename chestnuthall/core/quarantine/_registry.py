"""Connection losses per request fingerprint, and the verdict on each.

The rule: the losses of one wave of calls make a request suspected, however many
they are, because a rack or a zone that fails takes one replica of many shards at
once. A suspected request then runs on one replica only, the probe, which is
chosen outside the zones that lost replicas. An answer of the probe clears the
request; a loss of the probe quarantines it. A second replica of the same shard
that is lost in another zone counts as a lost probe, since a hedge is one.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from chestnuthall.core.model import Replica

# A peer that hears of a suspicion late must not suspect a cleared request again.
CLEARED_REMEMBERED_MS = 10_000.0
# A request that crashes only some of its runs would be cleared again and again.
N_CLEARED_MAX = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineSettings:
    """How many replicas a request may cost, and for how long it is refused."""

    n_replicas_lost_max: int = 2
    quarantine_ms: float = 300_000.0
    n_fingerprints_max: int = 4096
    # How long others wait for the verdict of the query that runs the probe.
    hold_ms: float = 2_000.0


class SuspicionState(Enum):
    """What became of a fingerprint."""

    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    CLEARED = "cleared"


@dataclass(slots=True)
class Suspicion:
    """Replicas that a fingerprint is blamed for, and who runs its probe.

    ``replica_names`` has one name while the request is only suspected, whatever
    its first wave lost, and at least two once it is quarantined.
    """

    fingerprint: str
    expires_ms: float
    replica_names: set[str] = field(default_factory=set)
    zones_with_losses: set[str] = field(default_factory=set)
    lost_shards: dict[str, str] = field(default_factory=dict)
    is_quarantined: bool = False
    is_local: bool = True
    holder: str = ""
    probe_reserved_until_ms: float = float("-inf")


@dataclass(frozen=True, slots=True)
class _Cleared:
    cleared_ms: float
    n_cleared: int
    is_local: bool


Listener = Callable[[str, SuspicionState, bool], None]


class QuarantineRegistry:
    """Suspects, clears and quarantines requests."""

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._suspicions: dict[str, Suspicion] = {}
        self._cleared: dict[str, _Cleared] = {}
        self._listeners: list[Listener] = []

    def on_change(self, listener: Listener) -> None:
        """Call with the fingerprint, its new state and whether it arose here."""
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
        """Note a connection that was lost while a replica ran a request.

        ``is_probe`` marks a call that started when the request was suspected.
        A call that started before the request was cleared belongs to the wave
        that was judged already.
        """
        suspicion = self._live(fingerprint, now_ms)
        if suspicion is None:
            cleared = self._cleared.get(fingerprint)
            if cleared is not None and started_ms < cleared.cleared_ms:
                return
            suspicion = self._suspect(fingerprint, replica.name, now_ms, is_local=True)
            self._note_place(suspicion, replica, shard_id)
            if self._n_cleared(fingerprint, now_ms) >= N_CLEARED_MAX:
                suspicion.replica_names.add("")
                self._quarantine(suspicion, is_local=True)
            else:
                self._notify(fingerprint, SuspicionState.SUSPECTED, True)
            return
        zone_before = suspicion.lost_shards.get(shard_id)
        is_evidence = is_probe or zone_before not in (None, replica.zone)
        self._note_place(suspicion, replica, shard_id)
        if not is_evidence or replica.name in suspicion.replica_names:
            return
        suspicion.replica_names.add(replica.name)
        if len(suspicion.replica_names) >= self._settings.n_replicas_lost_max:
            self._quarantine(suspicion, is_local=True)

    def _note_place(
        self, suspicion: Suspicion, replica: Replica, shard_id: str
    ) -> None:
        suspicion.zones_with_losses.add(replica.zone)
        suspicion.lost_shards.setdefault(shard_id, replica.zone)

    def _suspect(
        self, fingerprint: str, replica_name: str, now_ms: float, is_local: bool
    ) -> Suspicion:
        self._forget_expired(now_ms)
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
        """Take in a peer's notice.

        Two replicas or more mean quarantine, one a suspicion whose probe the
        peer runs, and an expiry that has passed that the request was cleared.
        """
        names = set(replica_names)
        if expires_ms <= now_ms:
            self._clear(fingerprint, now_ms, is_local=False)
            return
        suspicion = self._live(fingerprint, now_ms)
        if len(names) >= self._settings.n_replicas_lost_max:
            if suspicion is None:
                suspicion = self._suspect(fingerprint, "", now_ms, is_local=False)
                suspicion.replica_names.clear()
            suspicion.replica_names.update(names)
            suspicion.expires_ms = max(suspicion.expires_ms, expires_ms)
            self._quarantine(suspicion, is_local=False)
        elif suspicion is None and not self._n_cleared(fingerprint, now_ms):
            suspicion = self._suspect(
                fingerprint, next(iter(names), ""), now_ms, is_local=False
            )
            suspicion.expires_ms = expires_ms
            suspicion.holder = "peer"
            suspicion.probe_reserved_until_ms = now_ms + self._settings.hold_ms
            self._notify(fingerprint, SuspicionState.SUSPECTED, False)

    def _live(self, fingerprint: str, now_ms: float) -> Suspicion | None:
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or suspicion.expires_ms <= now_ms:
            return None
        return suspicion

    def is_quarantined(self, fingerprint: str, now_ms: float) -> bool:
        """Return whether a request has cost as many replicas as it may."""
        suspicion = self._live(fingerprint, now_ms)
        return suspicion is not None and suspicion.is_quarantined

    def is_suspected(self, fingerprint: str, now_ms: float) -> bool:
        """Return whether a request has cost a replica and was not cleared."""
        return self._live(fingerprint, now_ms) is not None

    def zones_with_losses(self, fingerprint: str, now_ms: float) -> frozenset[str]:
        """Return the zones in which runs of a suspected request lost replicas."""
        suspicion = self._live(fingerprint, now_ms)
        return (
            frozenset() if suspicion is None else frozenset(suspicion.zones_with_losses)
        )

    def try_reserve_probe(self, fingerprint: str, holder: str, now_ms: float) -> bool:
        """Reserve the probe of a suspected request; return whether it is ours."""
        suspicion = self._live(fingerprint, now_ms)
        if suspicion is None or suspicion.is_quarantined:
            return False
        if suspicion.holder != holder and suspicion.probe_reserved_until_ms > now_ms:
            return False
        suspicion.holder = holder
        suspicion.is_local = True
        suspicion.probe_reserved_until_ms = now_ms + self._settings.hold_ms
        return True

    def probe_reserved_until_ms(self, fingerprint: str) -> float:
        """Return when the reservation of a probe lapses."""
        suspicion = self._suspicions.get(fingerprint)
        return float("-inf") if suspicion is None else suspicion.probe_reserved_until_ms

    def release_probe(self, fingerprint: str, holder: str, now_ms: float) -> None:
        """Let another query run the probe."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is not None and suspicion.holder == holder:
            suspicion.probe_reserved_until_ms = now_ms

    def clear(self, fingerprint: str, now_ms: float) -> None:
        """Drop the suspicion of a request whose probe was answered."""
        self._clear(fingerprint, now_ms, is_local=True)

    def _clear(self, fingerprint: str, now_ms: float, is_local: bool) -> None:
        suspicion = self._live(fingerprint, now_ms)
        if suspicion is None or suspicion.is_quarantined:
            return
        del self._suspicions[fingerprint]
        n_cleared = self._n_cleared(fingerprint, now_ms) + 1
        self._cleared[fingerprint] = _Cleared(now_ms, n_cleared, is_local)
        self._notify(fingerprint, SuspicionState.CLEARED, is_local)

    def _n_cleared(self, fingerprint: str, now_ms: float) -> int:
        cleared = self._cleared.get(fingerprint)
        if cleared is None or now_ms - cleared.cleared_ms > CLEARED_REMEMBERED_MS:
            return 0
        return cleared.n_cleared

    def lift(self, fingerprint: str) -> bool:
        """Forget a fingerprint; return whether it was known."""
        return self._suspicions.pop(fingerprint, None) is not None

    def suspicions(self, now_ms: float) -> tuple[Suspicion, ...]:
        """Return all suspicions that have not expired."""
        self._forget_expired(now_ms)
        return tuple(self._suspicions.values())

    def notices(self, now_ms: float) -> tuple[Suspicion, ...]:
        """Return what peers have to know, in the form that ``merge`` takes.

        These are all quarantines, the suspicions that arose here, and the
        requests cleared here lately, whose expiry has passed.
        """
        told = [
            item
            for item in self.suspicions(now_ms)
            if item.is_local or item.is_quarantined
        ]
        told += [
            Suspicion(fingerprint, now_ms, {""})
            for fingerprint, cleared in self._cleared.items()
            if cleared.is_local and fingerprint not in self._suspicions
        ]
        return tuple(told)

    def _forget_expired(self, now_ms: float) -> None:
        for key in [k for k, v in self._suspicions.items() if v.expires_ms <= now_ms]:
            del self._suspicions[key]
        remembered_ms = now_ms - CLEARED_REMEMBERED_MS
        for key in [
            k for k, v in self._cleared.items() if v.cleared_ms < remembered_ms
        ]:
            del self._cleared[key]
        while len(self._suspicions) >= self._settings.n_fingerprints_max:
            del self._suspicions[self._least_important()]

    def _least_important(self) -> str:
        for key, suspicion in self._suspicions.items():
            if not suspicion.is_quarantined:
                return key
        return next(iter(self._suspicions))
