"""Connection losses per request fingerprint, and whether each is quarantined.

Losses in one wave of calls only make a request suspected, however many there
are, because the failure of a rack or zone makes one replica of many shards
unavailable at once. A suspected request then runs on one replica only, as a
probe outside the zones that lost replicas. If the probe is answered, the request
is cleared; if the replica is lost, the request is quarantined. The loss of a
second replica of the same shard in another zone counts as a lost probe, because
a hedge acts as a probe.

A replica that loses power closes no connection. Its loss is inferred from silence: no
replica of its shard has answered the request, and this one accepts no connection. A
partition or the failure of many replicas looks the same, so silence alone never
quarantines a request. It makes the request suspected at that shard, and an answer of a
replica of the shard clears it; only a probe, whose replica accepted a connection just
before, is evidence. A request that the shard answered shortly before is not suspected:
a popular one is in flight whenever replicas are lost.

An answer proves that a request leaves the replicas of its shard alive, and nothing
about other shards, whose replicas may have other data. Shards that have answered run a
suspected request as usual, and the probe goes to a shard that has not.

Neither a suspicion nor a quarantine ends by time: a request that crashes replicas
would crash more of them at each end. After some time a quarantined request is due
for a retest, one call by one instance of the fleet, and only an answer to it lifts the
quarantine. After ``n_retests_max`` retests the quarantine stays until it is lifted by
an operator.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from chestnuthall.core.model import Replica
from chestnuthall.core.quarantine._answers import RecentAnswers
from chestnuthall.core.quarantine._record import QuarantineRecord
from chestnuthall.core.quarantine._silence import SilenceTracker
from chestnuthall.core.quarantine._suspicion import (
    INCARNATION_MARK,
    RETENTION_MS,
    QuarantineSettings,
    Suspicion,
    SuspicionState,
    loss_name,
)

# Retention of clearances, so that a late notice of a peer does not make a cleared
# request suspected again.
CLEARED_RETENTION_MS = 10_000.0
# The next loss after this many clearances quarantines the request. Without the
# limit, a request that crashes only some of its runs would always be cleared.
N_CLEARED_MAX = 2
# Answered runs after which earlier clearances no longer count. A popular request is in
# flight whenever replicas are lost, whatever their reason.
N_ANSWERED_TRUSTED = 20
# How long the next probe waits for the check of the replica of the last one.
SILENCE_CHECK_MAX_MS = 1_500.0


@dataclass(slots=True)
class _Clearance:
    """Last clearance of a request, and the number of those that followed a loss.

    ``counted_ms`` is the time of the last one that is counted, and ``n_answered`` the
    number of runs since the last one that lost no replica and were answered.
    """

    cleared_ms: float
    n_cleared: int
    is_local: bool
    counted_ms: float
    n_answered: int = 0


Listener = Callable[[str, SuspicionState, bool], None]


class QuarantineRegistry:
    """Registry of suspected, cleared and quarantined requests.

    ``n_instances`` returns the number of instances of the fleet.
    """

    def __init__(
        self,
        settings: QuarantineSettings,
        n_instances: Callable[[], int] = lambda: 1,
    ) -> None:
        self._settings = settings
        self._suspicions: dict[str, Suspicion] = {}
        self._cleared: dict[str, _Clearance] = {}
        self._silences = SilenceTracker(n_instances)
        self._answers = RecentAnswers()
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
        is_silent: bool = False,
        answered_shard_ids: Iterable[str] = (),
    ) -> None:
        """Record a replica that was lost while it ran a request.

        ``is_probe`` says that the call started while the request was suspected, and
        ``is_silent`` that the loss was inferred from the silence of the replica.
        Replicas of the shards ``answered_shard_ids`` have answered the same run.
        The loss of a call that started before the request was cleared is ignored,
        because it belongs to the wave that the clearance covers.
        """
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is None:
            cleared = self._cleared.get(fingerprint)
            if cleared is not None and started_ms < cleared.cleared_ms:
                return
            suspicion = self._add_suspicion(
                fingerprint, loss_name(replica), now_ms, is_local=True
            )
            self._record_location(suspicion, replica, shard_id)
            suspicion.answered_shard_ids.update(answered_shard_ids)
            if self._n_cleared(fingerprint, now_ms) >= N_CLEARED_MAX:
                suspicion.replica_names.add("")
                self._quarantine(suspicion, now_ms, is_local=True)
            else:
                self._notify(fingerprint, SuspicionState.SUSPECTED, True)
            return
        was_silent, suspicion.is_silent = suspicion.is_silent, False
        first_loss_zone = suspicion.loss_zone_by_shard.get(shard_id)
        is_evidence = is_probe or first_loss_zone not in (None, replica.zone)
        self._record_location(suspicion, replica, shard_id)
        suspicion.answered_shard_ids.update(answered_shard_ids)
        suspicion.is_local = True
        if is_probe and suspicion.retest_owner:
            self._end_retest(suspicion)
        elif is_probe and not is_silent:
            suspicion.n_unanswered_probes += 1
        name = loss_name(replica)
        if is_probe and name in suspicion.replica_names:
            # The replica has restarted without a change of its incarnation.
            name = f"{name}{INCARNATION_MARK}{len(suspicion.replica_names)}"
        if not is_evidence or name in suspicion.replica_names:
            return
        if was_silent and not is_silent:
            # What silence suggested is no first loss beside one that was observed.
            suspicion.replica_names.clear()
        suspicion.replica_names.add(name)
        if len(suspicion.replica_names) >= self._settings.n_replicas_lost_max:
            self._quarantine(suspicion, now_ms, is_local=True)

    def begin_silence_check(self, fingerprint: str, shard_id: str) -> None:
        """Note that a replica which has not answered a request is being checked."""
        self._silences.begin_check(fingerprint, shard_id)

    def end_silence_check(self, fingerprint: str, shard_id: str) -> None:
        """Note that a check has ended."""
        self._silences.end_check(fingerprint, shard_id)

    def on_answered(self, fingerprint: str, shard_id: str, now_ms: float) -> None:
        """Record that a replica of a shard has run a request and survived.

        A request that crashes replicas crashes each one of the shard that runs it.
        """
        self._silences.on_answered(fingerprint, shard_id)
        self._answers.record(fingerprint, shard_id, now_ms)
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is None or suspicion.is_quarantined:
            return
        suspicion.answered_shard_ids.add(shard_id)
        if not suspicion.is_silent:
            return
        suspicion.shards_with_losses.discard(shard_id)
        if not suspicion.shards_with_losses:
            self.clear(fingerprint, now_ms)

    def on_probe_answered(self, fingerprint: str, shard_id: str, now_ms: float) -> None:
        """Record that the replica of a probe, or of the retry of a loss, survived.

        The request is cleared if a replica of the shard had been lost. Where losses
        occurred is unknown if a peer observed them.
        """
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is None:
            return
        shard_ids = suspicion.shards_with_losses
        if not shard_ids or shard_id in shard_ids:
            self.clear(fingerprint, now_ms)

    def record_silence(
        self,
        fingerprint: str,
        replica: Replica,
        shard_id: str,
        now_ms: float,
        started_ms: float,
        is_probe: bool = False,
        answered_shard_ids: Iterable[str] = (),
    ) -> None:
        """Record that a replica answers neither a request nor a new connection.

        Ignored if a replica of the shard has answered the request since the check
        began, and for the first suspicion if one has done so recently.
        """
        if not self._silences.is_checked(fingerprint, shard_id):
            return
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if is_probe and suspicion is not None:
            self.record_loss(
                fingerprint,
                replica,
                shard_id,
                now_ms,
                started_ms,
                is_probe=True,
                is_silent=True,
            )
            return
        if suspicion is not None:
            if suspicion.is_silent:
                suspicion.shards_with_losses.add(shard_id)
            return
        if self._answers.is_proven(fingerprint, shard_id, now_ms):
            return
        if not self._silences.try_suspect(now_ms):
            return
        suspicion = self._add_suspicion(
            fingerprint, loss_name(replica), now_ms, is_local=True
        )
        suspicion.is_silent = True
        suspicion.shards_with_losses.add(shard_id)
        suspicion.answered_shard_ids.update(answered_shard_ids)
        self._notify(fingerprint, SuspicionState.UNRESOLVED, True)

    def release_probe(self, fingerprint: str, run_id: str, now_ms: float) -> None:
        """Let another query run the next probe, if this run holds the last one."""
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is not None and suspicion.probe_owner == run_id:
            suspicion.probe_reserved_until_ms = now_ms

    def _end_retest(self, suspicion: Suspicion) -> None:
        """End a retest without an answer, which leaves the request quarantined."""
        suspicion.retest_owner = ""
        self._notify(suspicion.fingerprint, SuspicionState.QUARANTINED, True)

    def _record_location(
        self, suspicion: Suspicion, replica: Replica, shard_id: str
    ) -> None:
        suspicion.lost_names.add(loss_name(replica))
        suspicion.zones_with_losses.add(replica.zone)
        suspicion.shards_with_losses.add(shard_id)
        suspicion.loss_zone_by_shard.setdefault(shard_id, replica.zone)

    def _add_suspicion(
        self, fingerprint: str, replica_name: str, now_ms: float, is_local: bool
    ) -> Suspicion:
        self._remove_expired(now_ms)
        suspicion = Suspicion(
            fingerprint,
            now_ms + RETENTION_MS,
            {replica_name},
            is_local=is_local,
        )
        self._suspicions[fingerprint] = suspicion
        return suspicion

    def _quarantine(self, suspicion: Suspicion, now_ms: float, is_local: bool) -> None:
        if suspicion.is_quarantined:
            return
        suspicion.is_quarantined = True
        suspicion.retest_due_ms = now_ms + self._settings.retest_delay_ms(
            suspicion.n_retests
        )
        self._notify(suspicion.fingerprint, SuspicionState.QUARANTINED, is_local)

    def merge(
        self,
        fingerprint: str,
        replica_names: Iterable[str],
        expires_ms: float,
        now_ms: float,
        shard_ids: Iterable[str] = (),
    ) -> None:
        """Merge a notice received from a peer, with the shards of the replicas.

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
            if names - suspicion.replica_names and self.is_retest_due(
                fingerprint, now_ms
            ):
                # Only a retest can have lost another replica.
                self.count_retest(fingerprint, now_ms)
            suspicion.replica_names.update(names)
            suspicion.shards_with_losses.update(shard_ids)
            suspicion.expires_ms = max(suspicion.expires_ms, expires_ms)
            self._quarantine(suspicion, now_ms, is_local=False)
        elif suspicion is None and not self._n_cleared(fingerprint, now_ms):
            suspicion = self._add_suspicion(
                fingerprint, next(iter(names), ""), now_ms, is_local=False
            )
            suspicion.shards_with_losses.update(shard_ids)
            suspicion.expires_ms = expires_ms
            suspicion.probe_owner = "peer"
            suspicion.probe_reserved_until_ms = (
                now_ms + self._settings.probe_reservation_ms
            )
            self._notify(fingerprint, SuspicionState.SUSPECTED, False)

    def quarantine(self, fingerprint: str, now_ms: float) -> None:
        """Quarantine a request that a peer refuses as quarantined."""
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is None:
            suspicion = self._add_suspicion(fingerprint, "", now_ms, is_local=True)
        self._quarantine(suspicion, now_ms, is_local=True)

    def record(self, fingerprint: str, now_ms: float) -> QuarantineRecord | None:
        """Return what the fleet should know of a request, or None for nothing."""
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is None:
            return None
        return QuarantineRecord(
            fingerprint=fingerprint,
            replica_names=frozenset(suspicion.replica_names),
            lost_names=frozenset(suspicion.lost_names),
            zones=frozenset(suspicion.zones_with_losses),
            shard_ids=frozenset(suspicion.shards_with_losses),
            answered_shard_ids=frozenset(suspicion.answered_shard_ids),
            is_quarantined=suspicion.is_quarantined,
            n_retests=suspicion.n_retests,
            n_probes=suspicion.n_probes,
            n_unanswered_probes=suspicion.n_unanswered_probes,
        )

    def adopt(self, record: QuarantineRecord, now_ms: float) -> None:
        """Merge what the fleet knows of a request.

        Losses in several zones that two instances observed are sufficient evidence,
        as the failure of one zone does not explain them.
        """
        suspicion = self._find_unexpired(record.fingerprint, now_ms)
        if suspicion is None:
            suspicion = self._add_suspicion(
                record.fingerprint, "", now_ms, is_local=False
            )
            suspicion.replica_names.clear()
            if not record.is_quarantined:
                self._notify(record.fingerprint, SuspicionState.SUSPECTED, False)
            suspicion.is_silent = not record.is_quarantined and not record.lost_names
        has_own_losses = not suspicion.lost_names <= record.lost_names
        suspicion.replica_names |= record.replica_names
        suspicion.lost_names |= record.lost_names
        suspicion.zones_with_losses |= record.zones
        suspicion.shards_with_losses |= record.shard_ids
        suspicion.answered_shard_ids |= record.answered_shard_ids
        suspicion.n_unanswered_probes = max(
            suspicion.n_unanswered_probes, record.n_unanswered_probes
        )
        if record.n_probes > suspicion.n_probes:
            suspicion.n_probes = record.n_probes
            if not record.is_quarantined:
                self.reserve_probe_of_peer(record.fingerprint, now_ms)
        if record.n_retests > suspicion.n_retests:
            suspicion.n_retests = record.n_retests
            delay_ms = self._settings.retest_delay_ms(record.n_retests)
            suspicion.retest_due_ms = now_ms + delay_ms
        if record.is_quarantined:
            self._quarantine(suspicion, now_ms, is_local=False)
        elif has_own_losses and len(suspicion.zones_with_losses) > 1:
            self._quarantine(suspicion, now_ms, is_local=True)

    def keep(self, fingerprint: str) -> None:
        """Keep what is known of a request until it is cleared or lifted."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is not None:
            suspicion.expires_ms = float("inf")

    def _find_unexpired(self, fingerprint: str, now_ms: float) -> Suspicion | None:
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or suspicion.expires_ms <= now_ms:
            return None
        return suspicion

    def find(self, fingerprint: str, now_ms: float) -> Suspicion | None:
        """Return what is known of a suspected or quarantined request, or None."""
        return self._find_unexpired(fingerprint, now_ms)

    def is_quarantined(
        self, fingerprint: str, now_ms: float, request_id: str = ""
    ) -> bool:
        """Return whether a request is quarantined.

        The request that runs the retest, given by its id, is only suspected.
        """
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is None or not suspicion.is_quarantined:
            return False
        return not suspicion.retest_owner or suspicion.retest_owner != request_id

    def is_retest_due(self, fingerprint: str, now_ms: float) -> bool:
        """Return whether a quarantined request may be tried."""
        suspicion = self._find_unexpired(fingerprint, now_ms)
        return (
            suspicion is not None
            and suspicion.is_quarantined
            and not suspicion.retest_owner
            and now_ms >= suspicion.retest_due_ms
            and suspicion.n_retests + suspicion.n_unanswered_probes
            < self._settings.n_unanswered_trials_max
        )

    def count_retest(self, fingerprint: str, now_ms: float) -> None:
        """Count a retest before it starts, whatever its outcome will be."""
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is not None:
            suspicion.n_retests += 1
            delay_ms = self._settings.retest_delay_ms(suspicion.n_retests)
            suspicion.retest_due_ms = now_ms + delay_ms

    def begin_retest(self, fingerprint: str, request_id: str, now_ms: float) -> bool:
        """Let one request run in spite of its quarantine; return whether it may.

        A retest is counted before, by ``count_retest`` or by a record of the fleet.
        """
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is None or not suspicion.is_quarantined:
            return True
        if suspicion.retest_owner:
            return False
        suspicion.retest_owner = request_id
        suspicion.probe_reserved_until_ms = float("-inf")
        return True

    def is_suspected(self, fingerprint: str, now_ms: float) -> bool:
        """Return whether a request is suspected or quarantined."""
        return self._find_unexpired(fingerprint, now_ms) is not None

    def zones_with_losses(self, fingerprint: str, now_ms: float) -> frozenset[str]:
        """Return the zones in which runs of a suspected request lost replicas."""
        suspicion = self._find_unexpired(fingerprint, now_ms)
        return (
            frozenset() if suspicion is None else frozenset(suspicion.zones_with_losses)
        )

    def shards_with_losses(self, fingerprint: str, now_ms: float) -> frozenset[str]:
        """Return the shards of which runs of a suspected request lost replicas."""
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is None:
            return frozenset()
        return frozenset(suspicion.shards_with_losses)

    def proven_shards(self, fingerprint: str, now_ms: float) -> frozenset[str]:
        """Return the shards whose replicas run a suspected request and survive.

        There are none for a quarantined request: its retest is a single call.
        """
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is None or suspicion.is_quarantined:
            return frozenset()
        return frozenset(suspicion.answered_shard_ids - suspicion.shards_with_losses)

    def is_retest(self, fingerprint: str, request_id: str) -> bool:
        """Return whether a request runs as the retest of its quarantine."""
        suspicion = self._suspicions.get(fingerprint)
        return suspicion is not None and suspicion.retest_owner == request_id

    def try_reserve_probe(
        self, fingerprint: str, request_id: str, run_id: str, now_ms: float
    ) -> bool:
        """Reserve the probe of a suspected request; return whether that succeeded.

        It is reserved for one run: several may have the same request id.
        """
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is None or self.is_quarantined(fingerprint, now_ms, request_id):
            return False
        if (
            suspicion.probe_owner != run_id
            and suspicion.probe_reserved_until_ms > now_ms
        ):
            return False
        suspicion.probe_owner = run_id
        suspicion.is_local = True
        suspicion.probe_reserved_until_ms = now_ms + self._settings.probe_reservation_ms
        return True

    def reserve_probe_of_peer(self, fingerprint: str, now_ms: float) -> None:
        """Let queries wait for the probe that another instance has claimed."""
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is not None:
            suspicion.probe_owner = "peer"
            suspicion.probe_reserved_until_ms = now_ms + SILENCE_CHECK_MAX_MS

    def probe_reserved_until_ms(self, fingerprint: str) -> float:
        """Return the time at which the reservation of a probe expires."""
        suspicion = self._suspicions.get(fingerprint)
        return float("-inf") if suspicion is None else suspicion.probe_reserved_until_ms

    def end_run(
        self,
        fingerprint: str,
        request_id: str,
        run_id: str,
        now_ms: float,
        *,
        has_lost_replica: bool = False,
        is_answered: bool = False,
        has_unanswered_calls: bool = False,
        has_unanswered_probe: bool = False,
        is_probe_running: bool = False,
    ) -> None:
        """Record the end of a run that may have held the probe or the retest.

        The retest is held by the id of a request, the probe by that of a run.

        Another query can then run the probe, unless its replica has not answered and
        remains to be checked. Without a verdict, a request that lost
        replicas here stays suspected; it is quarantined if it has lost several and no
        replica answered it, or if several of its probes were left unanswered. With
        ``is_probe_running`` the probe of this run had too little time to count, or
        goes on and is recorded when it ends.
        """
        cleared = self._cleared.get(fingerprint)
        is_survived = is_answered and not has_lost_replica and not has_unanswered_calls
        if cleared is not None and is_survived:
            cleared.n_answered += 1
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is None:
            return
        if suspicion.probe_owner == run_id:
            check_ms = SILENCE_CHECK_MAX_MS if has_unanswered_probe else 0.0
            suspicion.probe_reserved_until_ms = now_ms + check_ms
        if suspicion.retest_owner == request_id:
            self._end_retest(suspicion)
        elif has_unanswered_probe and not is_probe_running:
            self.record_unanswered_probe(fingerprint, now_ms)
        if not has_lost_replica or suspicion.is_quarantined:
            return
        n_lost = len(suspicion.lost_names)
        if not is_answered and n_lost >= self._settings.n_unanswered_losses_max:
            suspicion.replica_names |= suspicion.lost_names
            self._quarantine(suspicion, now_ms, is_local=True)
        else:
            self._notify(fingerprint, SuspicionState.UNRESOLVED, True)

    def record_unanswered_probe(self, fingerprint: str, now_ms: float) -> None:
        """Record that a probe was sent and has ended without an answer or a loss."""
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is None or suspicion.retest_owner:
            return
        suspicion.n_unanswered_probes += 1
        if suspicion.is_quarantined:
            return
        if suspicion.n_unanswered_probes >= self._settings.n_unanswered_probes_max:
            # Peers take a notice with that many names for a quarantine.
            suspicion.replica_names.update(
                f"{INCARNATION_MARK}{number}"
                for number in range(self._settings.n_replicas_lost_max)
            )
            self._quarantine(suspicion, now_ms, is_local=True)
        else:
            self._notify(fingerprint, SuspicionState.UNRESOLVED, True)

    def clear(self, fingerprint: str, now_ms: float) -> None:
        """Clear a suspected request whose probe was answered."""
        self._clear(fingerprint, now_ms, is_local=True)

    def _clear(self, fingerprint: str, now_ms: float, is_local: bool) -> None:
        suspicion = self._find_unexpired(fingerprint, now_ms)
        if suspicion is None or (
            suspicion.is_quarantined and not suspicion.retest_owner
        ):
            return
        del self._suspicions[fingerprint]
        n_cleared, counted_ms = self._n_cleared(fingerprint, now_ms), now_ms
        if not suspicion.is_silent:
            n_cleared += 1
        elif n_cleared:
            counted_ms = self._cleared[fingerprint].counted_ms
        self._cleared[fingerprint] = _Clearance(now_ms, n_cleared, is_local, counted_ms)
        self._notify(fingerprint, SuspicionState.CLEARED, is_local)

    def _n_cleared(self, fingerprint: str, now_ms: float) -> int:
        cleared = self._cleared.get(fingerprint)
        if cleared is None or now_ms - cleared.counted_ms > CLEARED_RETENTION_MS:
            return 0
        if cleared.n_answered >= N_ANSWERED_TRUSTED:
            return 0
        return cleared.n_cleared

    def lift(self, fingerprint: str) -> bool:
        """Remove a fingerprint; return whether it was known."""
        if self._suspicions.pop(fingerprint, None) is None:
            return False
        self._notify(fingerprint, SuspicionState.LIFTED, False)
        return True

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
