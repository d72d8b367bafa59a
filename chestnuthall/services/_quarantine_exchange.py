"""Exchanges quarantine notices of crashing requests with peers."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from chestnuthall.core.quarantine import (
    INCARNATION_MARK,
    RETENTION_MS,
    QuarantineRegistry,
    Suspicion,
    SuspicionState,
)
from chestnuthall.ports import Clock, PeerDigest, QuarantineNotice
from chestnuthall.services._membership import N_URGENT_NOTICE_PEERS

N_NOTICES_MAX = 8
N_REPLICA_NAMES_MAX = 4
# Number of times that a notice is sent with precedence. After that, each digest has
# one of the other notices in turn, for instances that started or were out of touch.
N_TRANSMISSIONS_MAX = 24
# A notice that expires sooner than this is not sent. The value exceeds the delay of
# any message, so that no notice expires on its way.
REMAINING_MIN_MS = 1_000.0
# Interval at which the registry is polled for losses that this instance observed.
POLL_INTERVAL_MS = 100.0
# Time in which an instance that starts hears from a peer, if it can reach any.
FIRST_DIGEST_TIMEOUT_MS = 1_500.0
# An instance that was out of touch may return with a quarantine that was lifted
# meanwhile, so a lift is kept for as long as a quarantine.
LIFT_RETENTION_MS = RETENTION_MS


@dataclass(slots=True)
class _NoticeState:
    """The last notice of a fingerprint that was created or received."""

    sequence: int
    replica_names: frozenset[str]
    expires_ms: float
    n_sent: int = 0


class QuarantineExchange:
    """Exchanges notices of replica losses and of lifted quarantines with peers.

    ``zone_of`` and ``shard_of`` return the availability zone and the shard of a
    replica by its name, and ``has_peers`` whether the fleet has other instances, or
    None while that is unknown. A notice that is already known changes nothing.
    Otherwise a notice that returns from a peer could extend a quarantine or restore a
    lifted one.
    """

    def __init__(
        self,
        registry: QuarantineRegistry,
        clock: Clock,
        disseminate: Callable[[int], Awaitable[None]],
        zone_of: Callable[[str], str] = lambda replica_name: replica_name,
        shard_of: Callable[[str], str | None] = lambda replica_name: None,
        has_peers: Callable[[], bool | None] = lambda: None,
    ) -> None:
        self._zone_of = zone_of
        self._shard_of = shard_of
        self._has_peers = has_peers
        self._serves_at_ms = clock.now_ms() + FIRST_DIGEST_TIMEOUT_MS
        # Incarnations of the peers that have sent a digest.
        self._incarnations: dict[str, int] = {}
        self._registry = registry
        self._clock = clock
        self._disseminate = disseminate
        self._notices: dict[str, _NoticeState] = {}
        self._has_unsent_notices = False
        registry.add_listener(self._on_change)

    def _on_change(
        self, fingerprint: str, state: SuspicionState, is_local: bool
    ) -> None:
        """Create a lift notice for a suspicion that this instance cleared."""
        if (
            state is SuspicionState.CLEARED
            and is_local
            and fingerprint in self._notices
        ):
            self._create_notice(
                fingerprint, frozenset(), self._clock.now_ms() + LIFT_RETENTION_MS
            )
            self._has_unsent_notices = True

    async def run(self) -> None:
        """Send new notices to peers until cancelled."""
        while True:
            await self._clock.sleep_ms(POLL_INTERVAL_MS)
            is_urgent = self._record_own_losses() or self._has_unsent_notices
            if is_urgent or not self.may_serve():
                self._has_unsent_notices = False
                await self._disseminate(N_URGENT_NOTICE_PEERS)

    def may_serve(self) -> bool:
        """Return whether requests may be served with the notices received so far.

        An instance that starts would run quarantined requests before a peer has told
        it of them. If it hears from none, it serves after some time nevertheless.
        """
        return (
            bool(self._incarnations)
            or self._has_peers() is False
            or self._clock.now_ms() >= self._serves_at_ms
        )

    def suspicions(self) -> tuple[Suspicion, ...]:
        """Return the suspicions of requests during which replicas were lost."""
        return self._registry.suspicions(self._clock.now_ms())

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is quarantined now."""
        return self._registry.is_quarantined(fingerprint, self._clock.now_ms())

    async def lift(self, fingerprint: str) -> bool:
        """End a quarantine on all instances; return whether it was known here."""
        was_known = self._registry.lift(fingerprint)
        self._create_notice(
            fingerprint, frozenset(), self._clock.now_ms() + LIFT_RETENTION_MS
        )
        await self._disseminate(N_URGENT_NOTICE_PEERS)
        return was_known

    def add_to(self, digest: PeerDigest) -> PeerDigest:
        """Return the digest with the quarantine notices added."""
        self._record_own_losses()
        now_ms = self._clock.now_ms()
        by_n_sent = sorted(
            (entry.n_sent, name)
            for name, entry in self._notices.items()
            if entry.expires_ms - now_ms >= REMAINING_MIN_MS
        )
        n_new = sum(n_sent < N_TRANSMISSIONS_MAX for n_sent, _ in by_n_sent)
        n_chosen = min(n_new + 1, N_NOTICES_MAX)
        chosen = [name for _, name in by_n_sent[:n_chosen]]
        return replace(
            digest,
            quarantines=tuple(self._to_port_notice(name, now_ms) for name in chosen),
        )

    def _to_port_notice(self, fingerprint: str, now_ms: float) -> QuarantineNotice:
        entry = self._notices[fingerprint]
        entry.n_sent += 1
        names = tuple(sorted(entry.replica_names)[:N_REPLICA_NAMES_MAX])
        return QuarantineNotice(
            fingerprint, names, entry.expires_ms - now_ms, entry.sequence
        )

    def receive(self, digest: PeerDigest) -> None:
        """Apply the quarantine notices of a peer."""
        self._record_own_losses()
        if digest.incarnation > self._incarnations.get(digest.sender, -1):
            # The sender has just started, and the answer to it has what it lacks.
            self._incarnations[digest.sender] = digest.incarnation
            for entry in self._notices.values():
                entry.n_sent = 0
        for notice in digest.quarantines:
            self._apply_notice(notice)

    def _apply_notice(self, notice: QuarantineNotice) -> None:
        now_ms = self._clock.now_ms()
        entry = self._notices.get(notice.fingerprint)
        if notice.expires_in_ms <= 0.0:
            return
        names = frozenset(notice.replica_names)
        is_newer = entry is None or notice.sequence > entry.sequence
        if not names:
            if is_newer:
                self._registry.lift(notice.fingerprint)
                self._record_received(notice, names, now_ms)
            return
        known_names = frozenset() if entry is None else entry.replica_names
        is_lifted = entry is not None and not entry.replica_names
        if names <= known_names or (is_lifted and not is_newer):
            return
        expires_ms = now_ms + notice.expires_in_ms
        all_names = names | known_names
        # Losses in different zones, observed by two instances, are not caused by the
        # outage of a zone, so together they are sufficient evidence.
        replica_names = {name.partition(INCARNATION_MARK)[0] for name in all_names}
        is_evidence = len({self._zone_of(name) for name in replica_names}) > 1
        offered = all_names if is_evidence else names
        shard_ids = filter(None, map(self._shard_of, replica_names))
        self._registry.merge(notice.fingerprint, offered, expires_ms, now_ms, shard_ids)
        self._record_received(notice, all_names, now_ms)

    def _record_received(
        self, notice: QuarantineNotice, names: frozenset[str], now_ms: float
    ) -> None:
        entry = self._notices.get(notice.fingerprint)
        sequence = max(notice.sequence, 0 if entry is None else entry.sequence)
        self._notices[notice.fingerprint] = _NoticeState(
            sequence, names, now_ms + notice.expires_in_ms
        )
        self._has_unsent_notices = True

    def _record_own_losses(self) -> bool:
        """Create notices of new losses in the registry; return whether any are new."""
        now_ms = self._clock.now_ms()
        has_new_losses = False
        for suspicion in self._registry.suspicions(now_ms):
            names = frozenset(suspicion.replica_names)
            entry = self._notices.get(suspicion.fingerprint)
            if entry is None or not names <= entry.replica_names:
                self._create_notice(suspicion.fingerprint, names, suspicion.expires_ms)
                has_new_losses = True
        self._remove_expired(now_ms)
        return has_new_losses

    def _create_notice(
        self, fingerprint: str, names: frozenset[str], expires_ms: float
    ) -> None:
        entry = self._notices.get(fingerprint)
        last_sequence = 0 if entry is None else entry.sequence
        sequence = max(last_sequence + 1, int(self._clock.wall_ms()))
        self._notices[fingerprint] = _NoticeState(sequence, names, expires_ms)

    def _remove_expired(self, now_ms: float) -> None:
        expired = [
            name for name, entry in self._notices.items() if entry.expires_ms <= now_ms
        ]
        for name in expired:
            del self._notices[name]
