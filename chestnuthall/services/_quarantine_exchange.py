"""Quarantines of crashing requests, exchanged with peers."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from chestnuthall.core.quarantine import (
    QuarantineRegistry,
    Suspicion,
    SuspicionState,
)
from chestnuthall.ports import Clock, PeerDigest, QuarantineNotice
from chestnuthall.services._membership import N_URGENT_PEERS

N_NOTICES_MAX = 8
N_REPLICA_NAMES_MAX = 4
N_TRANSMISSIONS_MAX = 24
# Longer than any message takes; a notice that ends sooner is not sent.
REMAINING_MIN_MS = 1_000.0
# How often the register is searched for losses that this instance saw.
LOOK_INTERVAL_MS = 100.0
# A lifted quarantine is told until every peer has heard of it.
LIFTED_MS = 60_000.0


@dataclass(slots=True)
class _Told:
    """What was last told or heard of one fingerprint."""

    sequence: int
    replica_names: frozenset[str]
    expires_ms: float
    n_sent: int = 0


class QuarantineExchange:
    """Tells peers of losses and of lifted quarantines, and takes in theirs.

    ``zone_of`` returns the availability zone of a replica by its name. A notice
    that is already known changes nothing, so that an echo cannot
    prolong a quarantine or put a lifted one back.
    """

    def __init__(
        self,
        registry: QuarantineRegistry,
        clock: Clock,
        disseminate: Callable[[int], Awaitable[None]],
        zone_of: Callable[[str], str] = lambda replica_name: replica_name,
    ) -> None:
        self._zone_of = zone_of
        self._registry = registry
        self._clock = clock
        self._disseminate = disseminate
        self._told: dict[str, _Told] = {}
        self._must_spread = False
        registry.on_change(self._on_change)

    def _on_change(
        self, fingerprint: str, state: SuspicionState, is_local: bool
    ) -> None:
        """Tell peers that a request was cleared here, as a lift of its suspicion."""
        if state is SuspicionState.CLEARED and is_local and fingerprint in self._told:
            self._tell(fingerprint, frozenset(), self._clock.now_ms() + LIFTED_MS)
            self._must_spread = True

    async def run(self) -> None:
        """Tell peers at once of what is new, until cancelled."""
        while True:
            await self._clock.sleep_ms(LOOK_INTERVAL_MS)
            if self._note_own_losses() or self._must_spread:
                self._must_spread = False
                await self._disseminate(N_URGENT_PEERS)

    def suspicions(self) -> tuple[Suspicion, ...]:
        """Return the fingerprints that have cost replicas."""
        return self._registry.suspicions(self._clock.now_ms())

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is refused now."""
        return self._registry.is_quarantined(fingerprint, self._clock.now_ms())

    async def lift(self, fingerprint: str) -> bool:
        """End a quarantine here and at all peers; return whether it was known."""
        was_known = self._registry.lift(fingerprint)
        self._tell(fingerprint, frozenset(), self._clock.now_ms() + LIFTED_MS)
        await self._disseminate(N_URGENT_PEERS)
        return was_known

    def add_to(self, digest: PeerDigest) -> PeerDigest:
        """Return the digest with the quarantine notices added."""
        self._note_own_losses()
        now_ms = self._clock.now_ms()
        pending = sorted(
            (told.n_sent, name)
            for name, told in self._told.items()
            if told.n_sent < N_TRANSMISSIONS_MAX
            and told.expires_ms - now_ms >= REMAINING_MIN_MS
        )
        chosen = [name for _, name in pending[:N_NOTICES_MAX]]
        return replace(
            digest, quarantines=tuple(self._notice(name, now_ms) for name in chosen)
        )

    def _notice(self, fingerprint: str, now_ms: float) -> QuarantineNotice:
        told = self._told[fingerprint]
        told.n_sent += 1
        names = tuple(sorted(told.replica_names)[:N_REPLICA_NAMES_MAX])
        return QuarantineNotice(
            fingerprint, names, told.expires_ms - now_ms, told.sequence
        )

    def receive(self, digest: PeerDigest) -> None:
        """Take in the quarantine notices of a peer."""
        self._note_own_losses()
        for notice in digest.quarantines:
            self._take_in(notice)

    def _take_in(self, notice: QuarantineNotice) -> None:
        now_ms = self._clock.now_ms()
        told = self._told.get(notice.fingerprint)
        if notice.expires_in_ms <= 0.0:
            return
        names = frozenset(notice.replica_names)
        is_newer = told is None or notice.sequence > told.sequence
        if not names:
            if is_newer:
                self._registry.lift(notice.fingerprint)
                self._note(notice, names, now_ms)
            return
        known = frozenset() if told is None else told.replica_names
        is_lifted = told is not None and not told.replica_names
        if names <= known or (is_lifted and not is_newer):
            return
        expires_ms = now_ms + notice.expires_in_ms
        blamed = names | known
        # Losses that two instances saw in different zones are no zone outage, so
        # together they are evidence enough.
        is_evidence = len({self._zone_of(name) for name in blamed}) > 1
        offered = blamed if is_evidence else names
        self._registry.merge(notice.fingerprint, offered, expires_ms, now_ms)
        self._note(notice, blamed, now_ms)

    def _note(
        self, notice: QuarantineNotice, names: frozenset[str], now_ms: float
    ) -> None:
        told = self._told.get(notice.fingerprint)
        sequence = max(notice.sequence, 0 if told is None else told.sequence)
        self._told[notice.fingerprint] = _Told(
            sequence, names, now_ms + notice.expires_in_ms
        )
        self._must_spread = True

    def _note_own_losses(self) -> bool:
        """Find losses that only the register knows; return whether any is new."""
        now_ms = self._clock.now_ms()
        has_news = False
        for suspicion in self._registry.suspicions(now_ms):
            names = frozenset(suspicion.replica_names)
            told = self._told.get(suspicion.fingerprint)
            if told is None or not names <= told.replica_names:
                self._tell(suspicion.fingerprint, names, suspicion.expires_ms)
                has_news = True
        self._forget(now_ms)
        return has_news

    def _tell(self, fingerprint: str, names: frozenset[str], expires_ms: float) -> None:
        told = self._told.get(fingerprint)
        known = 0 if told is None else told.sequence
        sequence = max(known + 1, int(self._clock.wall_ms()))
        self._told[fingerprint] = _Told(sequence, names, expires_ms)

    def _forget(self, now_ms: float) -> None:
        old = [name for name, told in self._told.items() if told.expires_ms <= now_ms]
        for name in old:
            del self._told[name]
