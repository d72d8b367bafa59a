"""The state machine of failure detection and membership."""

from dataclasses import dataclass, replace
from functools import singledispatchmethod
from random import Random

from chestnuthall.core.membership._events import (
    AddressReused,
    CountsChanged,
    DigestReceived,
    IndirectProbe,
    InstanceListRead,
    LeaveAnnounced,
    LeaveFinished,
    MembershipAction,
    MembershipEvent,
    Probe,
    ProbeAnswered,
    ProbeFailed,
    Superseded,
    Tick,
)
from chestnuthall.core.membership._records import (
    FleetCounts,
    ListedInstance,
    MemberRecord,
    MemberState,
    replaces,
)
from chestnuthall.core.membership._settings import MembershipSettings
from chestnuthall.core.membership._spread import SpreadQueue
from chestnuthall.core.membership._table import Member, MemberTable


@dataclass(slots=True)
class _RunningProbe:
    """A probe without an outcome; ``n_indirect`` helpers still have to answer."""

    name: str
    incarnation: int
    n_indirect: int = 0


class MembershipMachine:
    """Decides whom to probe, and which instances are there.

    One random instance is probed per interval. Without an answer, two others
    probe it too; if they fail as well it is suspected, and removed when it
    does not answer the suspicion in time.
    """

    def __init__(
        self, own: MemberRecord, settings: MembershipSettings, random: Random
    ) -> None:
        self._own = own
        self._settings = settings
        self._random = random
        self._table = MemberTable(random)
        self._spread = SpreadQueue()
        self._probes: dict[int, _RunningProbe] = {}
        self._n_probes = 0
        self._suspects: set[str] = set()
        self._filler: list[str] = []
        self._counts = FleetCounts()
        self._has_left = False
        self._is_superseded = False
        self._started_ms: float | None = None
        self._last_event_ms = 0.0
        self._last_contact_ms = 0.0
        self._next_probe_ms = 0.0
        self._actions: list[MembershipAction] = []

    @property
    def own(self) -> MemberRecord:
        """What this instance says about itself."""
        return self._own

    @property
    def counts(self) -> FleetCounts:
        """The counts after the last event."""
        return self._counts

    def members(self) -> list[MemberRecord]:
        """Return the other instances that are not known to be dead."""
        return [member.record for member in self._table.running()]

    def record_of(self, name: str) -> MemberRecord | None:
        """Return what is held about another instance, dead ones included."""
        member = self._table.get(name)
        return None if member is None else member.record

    def handle(self, event: MembershipEvent) -> list[MembershipAction]:
        """Take one event and return what has to be done."""
        self._actions = []
        self._note_time(event.now_ms)
        self._on(event)
        counts = self._table.counts(self._own.state is not MemberState.ALIVE)
        if counts != self._counts:
            self._counts = counts
            self._actions.append(CountsChanged(counts))
        return self._actions

    def _note_time(self, now_ms: float) -> None:
        if self._started_ms is None:
            self._started_ms = now_ms
            self._last_contact_ms = now_ms
            self._next_probe_ms = now_ms
        elif now_ms - self._last_event_ms > self._settings.pause_ms:
            self._forgive_pause(now_ms, now_ms - self._last_event_ms)
        self._last_event_ms = now_ms

    def _forgive_pause(self, now_ms: float, paused_ms: float) -> None:
        """Draw no conclusion from answers that were missed while paused."""
        self._probes.clear()
        self._last_contact_ms += paused_ms
        self._next_probe_ms = now_ms
        for name in self._suspects:
            member = self._table.get(name)
            if member is not None:
                member.suspect_until_ms += paused_ms

    @singledispatchmethod
    def _on(self, event: MembershipEvent) -> None:
        raise TypeError(f"not a membership event: {type(event).__name__}")

    @_on.register
    def _(self, event: Tick) -> None:
        self._remove_expired(event.now_ms)
        if event.now_ms < self._next_probe_ms or self._has_left:
            return
        interval_ms = self._settings.interval_ms(self._counts.n_live)
        # Jitter keeps instances that started together from probing together.
        self._next_probe_ms = event.now_ms + interval_ms * self._random.uniform(0.9, 1)
        self._forget_old(event.now_ms)
        self._start_probe()

    @_on.register
    def _(self, event: ProbeAnswered) -> None:
        self._probes.pop(event.probe_id, None)
        self._note_contact(event.now_ms)

    @_on.register
    def _(self, event: ProbeFailed) -> None:
        probe = self._probes.get(event.probe_id)
        if probe is None:
            return
        if probe.n_indirect > 1:
            probe.n_indirect -= 1
            return
        member = self._table.get(probe.name)
        if member is None:
            del self._probes[event.probe_id]
            return
        has_asked = probe.n_indirect == 1
        if not has_asked and self._ask_helpers(event.probe_id, probe, member):
            return
        del self._probes[event.probe_id]
        if member.record.incarnation == probe.incarnation:
            self._on_unanswered(member, event.now_ms)

    @_on.register
    def _(self, event: DigestReceived) -> None:
        self._note_contact(event.now_ms)
        self._merge(event.sender, event.now_ms)
        for record in event.records:
            self._merge(record, event.now_ms)

    @_on.register
    def _(self, event: AddressReused) -> None:
        probe = self._probes.pop(event.probe_id, None)
        self._note_contact(event.now_ms)
        member = None if probe is None else self._table.get(probe.name)
        if probe is None or member is None or member.is_dead:
            return
        if member.record.incarnation == probe.incarnation:
            self._pass_on(self._set_news(member, MemberState.DEAD, event.now_ms))

    @_on.register
    def _(self, event: InstanceListRead) -> None:
        listed = {item.name: item for item in event.listed}
        listed.pop(self._own.name, None)
        for member in list(self._table):
            name = member.record.name
            member.is_listed = name in listed
            if not member.is_listed:
                member.leaving_incarnation = None
                if member.record.incarnation == 0:
                    self._table.remove(name)
                    continue
                self._table.count_again(member)
        for item in listed.values():
            self._note_listed(item)

    @_on.register
    def _(self, event: LeaveAnnounced) -> None:
        self._own = replace(
            self._own,
            state=MemberState.LEAVING,
            incarnation=self._own.incarnation + 1,
        )

    @_on.register
    def _(self, event: LeaveFinished) -> None:
        self._has_left = True
        self._own = replace(self._own, state=MemberState.DEAD)

    def _note_listed(self, item: ListedInstance) -> None:
        member = self._table.get(item.name)
        if member is None:
            record = MemberRecord(
                item.name, item.address, item.zone, MemberState.ALIVE, 0
            )
            member = Member(record)
            self._table.add(member)
        elif member.record.incarnation == 0 and member.record.address != item.address:
            member.record = replace(
                member.record, address=item.address, state=MemberState.ALIVE
            )
            member.n_join_failures = 0
        member.is_listed = True
        member.listed_address = item.address
        if not item.is_leaving:
            member.leaving_incarnation = None
        elif member.leaving_incarnation is None:
            member.leaving_incarnation = member.record.incarnation
        self._table.count_again(member)

    # Probing

    def _start_probe(self) -> None:
        member: Member | None = None
        n_between = self._settings.n_probes_between_unreachable
        if self._n_probes % n_between == n_between - 1:
            member = self._table.unreachable_target()
        if member is None:
            member = self._table.next_target() or self._table.unreachable_target()
        if member is not None:
            self._probe(member)

    def _probe(self, member: Member) -> None:
        self._n_probes += 1
        record = member.record
        self._probes[self._n_probes] = _RunningProbe(record.name, record.incarnation)
        self._actions.append(Probe(self._n_probes, record.name, member.probe_address))

    def _ask_helpers(self, probe_id: int, probe: _RunningProbe, member: Member) -> bool:
        if member.is_dead or member.is_joining:
            return False
        helpers = self._table.helpers(probe.name, self._settings.n_helpers)
        probe.n_indirect = len(helpers)
        for helper in helpers:
            self._actions.append(
                IndirectProbe(probe_id, helper.record.address, member.record.address)
            )
        return bool(helpers)

    def _on_unanswered(self, member: Member, now_ms: float) -> None:
        if member.is_dead or self._is_isolated(now_ms):
            return
        if member.is_joining:
            member.n_join_failures += 1
            if member.n_join_failures >= self._settings.n_join_failures_max:
                self._set_news(member, MemberState.DEAD, now_ms)
        elif member.record.state is MemberState.LEAVING:
            self._pass_on(self._set_news(member, MemberState.DEAD, now_ms))
        elif member.record.state is MemberState.ALIVE:
            self._pass_on(self._set_news(member, MemberState.SUSPECT, now_ms))

    # Time

    def _is_isolated(self, now_ms: float) -> bool:
        """Return whether nobody was heard of for so long that the fault is here."""
        return now_ms - self._last_contact_ms > self._settings.isolation_ms

    def _note_contact(self, now_ms: float) -> None:
        if self._is_isolated(now_ms):
            until_ms = now_ms + self._settings.suspicion_ms(self._counts.n_live)
            for name in self._suspects:
                member = self._table.get(name)
                if member is not None:
                    member.suspect_until_ms = until_ms
        self._last_contact_ms = now_ms

    def _remove_expired(self, now_ms: float) -> None:
        is_isolated = self._is_isolated(now_ms)
        for name in tuple(self._suspects):
            member = self._table.get(name)
            if member is None or member.record.state is not MemberState.SUSPECT:
                self._suspects.discard(name)
                continue
            # While this instance hears nobody, the platform's word counts.
            is_kept = is_isolated and member.is_listed
            if now_ms < member.suspect_until_ms or is_kept:
                continue
            if member.is_last_probe_sent:
                self._pass_on(self._set_news(member, MemberState.DEAD, now_ms))
            else:
                self._probe_last_time(member, now_ms)

    def _probe_last_time(self, member: Member, now_ms: float) -> None:
        """Tell a suspected instance directly, in case nobody else did in time."""
        member.is_last_probe_sent = True
        member.suspect_until_ms = now_ms + 2.0 * self._settings.probe_timeout_ms
        self._probe(member)

    def _forget_old(self, now_ms: float) -> None:
        kept_since_ms = now_ms - self._settings.dead_kept_ms
        for member in list(self._table):
            is_old = member.is_dead and member.dead_since_ms < kept_since_ms
            if is_old and not member.is_listed:
                self._table.remove(member.record.name)

    # News

    def _set_news(self, member: Member, state: MemberState, now_ms: float) -> Member:
        self._apply(member, replace(member.record, state=state), now_ms)
        return member

    def _apply(self, member: Member, record: MemberRecord, now_ms: float) -> None:
        member.record = record
        member.n_join_failures = 0
        self._suspects.discard(record.name)
        if record.state is MemberState.SUSPECT:
            suspicion_ms = self._settings.suspicion_ms(self._counts.n_live)
            member.suspect_until_ms = now_ms + suspicion_ms
            member.is_last_probe_sent = False
            self._suspects.add(record.name)
        elif record.state is MemberState.DEAD:
            member.dead_since_ms = now_ms
        self._table.count_again(member)

    def _pass_on(self, member: Member) -> None:
        if member.record.incarnation > 0:
            self._spread.add(member.record.name)

    def _merge(self, record: MemberRecord, now_ms: float) -> None:
        if record.name == self._own.name:
            self._hear_of_self(record, now_ms)
            return
        if record.incarnation <= 0:
            return
        member = self._table.get(record.name)
        if member is None:
            member = Member(record)
            self._table.add(member)
        elif not replaces(record, member.record):
            return
        self._apply(member, record, now_ms)
        self._pass_on(member)

    def _hear_of_self(self, record: MemberRecord, now_ms: float) -> None:
        if not replaces(record, self._own) or self._has_left:
            return
        assert self._started_ms is not None
        is_newcomer = now_ms - self._started_ms < self._settings.restart_window_ms
        is_elsewhere = record.address != self._own.address
        is_running = record.state in (MemberState.ALIVE, MemberState.LEAVING)
        if is_running and is_elsewhere and not is_newcomer:
            if not self._is_superseded:
                self._is_superseded = True
                self._actions.append(Superseded(record.address))
            return
        self._own = replace(self._own, incarnation=record.incarnation + 1)

    def select_updates(self, recipient_name: str = "") -> list[MemberRecord]:
        """Return the news for one message, counted as passed on once more.

        The own news comes first, then what is said against the recipient, so
        that it can answer at once.
        """
        settings = self._settings
        names = self._spread.take(
            settings.n_updates_max, settings.n_transmissions(self._counts.n_live)
        )
        chosen = dict.fromkeys(names)
        recipient = self._table.get(recipient_name)
        if recipient is not None and recipient.record.state is not MemberState.ALIVE:
            chosen[recipient_name] = None
        filler = self._next_filler()
        if filler is not None:
            chosen[filler] = None
        held = (self._table.get(name) for name in chosen)
        known = [member.record for member in held if member is not None]
        return [self._own, *(record for record in known if record.incarnation > 0)]

    def _next_filler(self) -> str | None:
        """Return one name in turn, which repairs news that was lost."""
        if not self._filler:
            self._filler = [member.record.name for member in self._table]
            self._random.shuffle(self._filler)
        return self._filler.pop() if self._filler else None
