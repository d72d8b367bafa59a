"""The state machine of failure detection and membership."""

from dataclasses import dataclass, replace
from functools import singledispatchmethod
from random import Random

from chestnuthall.core.membership._dissemination import DisseminationQueue
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
from chestnuthall.core.membership._table import Member, MemberTable


@dataclass(slots=True)
class _PendingProbe:
    """A probe without an outcome yet.

    ``n_indirect`` is the number of indirect probes without a result; it is 0
    while the direct probe is under way.
    """

    name: str
    incarnation: int
    n_indirect: int = 0


class MembershipMachine:
    """Failure detector and membership list of one instance, as in SWIM.

    One instance is probed per interval, in random order. If it does not answer,
    ``n_helpers`` other instances probe it too; if they fail as well it becomes
    suspected, and is declared dead unless it refutes the suspicion in time.
    """

    def __init__(
        self, own: MemberRecord, settings: MembershipSettings, random: Random
    ) -> None:
        self._own = own
        self._settings = settings
        self._random = random
        self._table = MemberTable(random)
        self._dissemination = DisseminationQueue()
        self._probes: dict[int, _PendingProbe] = {}
        self._n_probes = 0
        self._suspects: set[str] = set()
        self._anti_entropy_names: list[str] = []
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
        """The record of this instance, as sent to its peers."""
        return self._own

    @property
    def counts(self) -> FleetCounts:
        """The fleet counts after the last event."""
        return self._counts

    def members(self) -> list[MemberRecord]:
        """Return the records of the other instances, without dead ones."""
        return [member.record for member in self._table.active()]

    def record_of(self, name: str) -> MemberRecord | None:
        """Return the record of another instance, dead or not, or None."""
        member = self._table.get(name)
        return None if member is None else member.record

    def handle(self, event: MembershipEvent) -> list[MembershipAction]:
        """Apply one event and return the resulting actions."""
        self._actions = []
        self._record_event_time(event.now_ms)
        self._handle_event(event)
        counts = self._table.counts(self._own.state is not MemberState.ALIVE)
        if counts != self._counts:
            self._counts = counts
            self._actions.append(CountsChanged(counts))
        return self._actions

    def _record_event_time(self, now_ms: float) -> None:
        if self._started_ms is None:
            self._started_ms = now_ms
            self._last_contact_ms = now_ms
            self._next_probe_ms = now_ms
        elif now_ms - self._last_event_ms > self._settings.pause_min_ms:
            self._compensate_pause(now_ms, now_ms - self._last_event_ms)
        self._last_event_ms = now_ms

    def _compensate_pause(self, now_ms: float, paused_ms: float) -> None:
        """Discard pending probes and extend timers by a pause of this process.

        Answers missed during the pause say nothing about the other instances.
        """
        self._probes.clear()
        self._last_contact_ms += paused_ms
        self._next_probe_ms = now_ms
        for name in self._suspects:
            member = self._table.get(name)
            if member is not None:
                member.suspect_until_ms += paused_ms

    @singledispatchmethod
    def _handle_event(self, event: MembershipEvent) -> None:
        raise TypeError(f"not a membership event: {type(event).__name__}")

    @_handle_event.register
    def _(self, event: Tick) -> None:
        self._expire_suspicions(event.now_ms)
        if event.now_ms < self._next_probe_ms or self._has_left:
            return
        interval_ms = self._settings.interval_ms(self._counts.n_live)
        # The jitter prevents instances that started together from probing in step.
        self._next_probe_ms = event.now_ms + interval_ms * self._random.uniform(0.9, 1)
        self._remove_old_dead(event.now_ms)
        self._start_probe()

    @_handle_event.register
    def _(self, event: ProbeAnswered) -> None:
        self._probes.pop(event.probe_id, None)
        self._record_contact(event.now_ms)

    @_handle_event.register
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
        is_indirect = probe.n_indirect == 1
        if not is_indirect and self._start_indirect_probes(
            event.probe_id, probe, member
        ):
            return
        del self._probes[event.probe_id]
        if member.record.incarnation == probe.incarnation:
            self._handle_unanswered_probe(member, event.now_ms)

    @_handle_event.register
    def _(self, event: DigestReceived) -> None:
        self._record_contact(event.now_ms)
        self._merge(event.sender, event.now_ms)
        for update in event.updates:
            self._merge(update, event.now_ms)

    @_handle_event.register
    def _(self, event: AddressReused) -> None:
        probe = self._probes.pop(event.probe_id, None)
        self._record_contact(event.now_ms)
        member = None if probe is None else self._table.get(probe.name)
        if probe is None or member is None or member.is_dead:
            return
        if member.record.incarnation == probe.incarnation:
            self._disseminate(self._set_state(member, MemberState.DEAD, event.now_ms))

    @_handle_event.register
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
                self._table.recount(member)
        for item in listed.values():
            self._merge_listed(item)

    @_handle_event.register
    def _(self, event: LeaveAnnounced) -> None:
        self._own = replace(
            self._own,
            state=MemberState.LEAVING,
            incarnation=self._own.incarnation + 1,
        )

    @_handle_event.register
    def _(self, event: LeaveFinished) -> None:
        self._has_left = True
        self._own = replace(self._own, state=MemberState.DEAD)

    def _merge_listed(self, item: ListedInstance) -> None:
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
        self._table.recount(member)

    # Probing

    def _start_probe(self) -> None:
        member: Member | None = None
        n_between = self._settings.n_probes_between_unreachable
        if self._n_probes % n_between == n_between - 1:
            member = self._table.unreachable_target()
        if member is None:
            member = self._table.next_target() or self._table.unreachable_target()
        if member is not None:
            self._send_probe(member)

    def _send_probe(self, member: Member) -> None:
        self._n_probes += 1
        record = member.record
        self._probes[self._n_probes] = _PendingProbe(record.name, record.incarnation)
        self._actions.append(Probe(self._n_probes, record.name, member.probe_address))

    def _start_indirect_probes(
        self, probe_id: int, probe: _PendingProbe, member: Member
    ) -> bool:
        if member.is_dead or member.is_joining:
            return False
        helpers = self._table.helpers(probe.name, self._settings.n_helpers)
        probe.n_indirect = len(helpers)
        for helper in helpers:
            self._actions.append(
                IndirectProbe(probe_id, helper.record.address, member.record.address)
            )
        return bool(helpers)

    def _handle_unanswered_probe(self, member: Member, now_ms: float) -> None:
        if member.is_dead or self._is_isolated(now_ms):
            return
        if member.is_joining:
            member.n_join_failures += 1
            if member.n_join_failures >= self._settings.n_join_failures_max:
                self._set_state(member, MemberState.DEAD, now_ms)
        elif member.record.state is MemberState.LEAVING:
            self._disseminate(self._set_state(member, MemberState.DEAD, now_ms))
        elif member.record.state is MemberState.ALIVE:
            self._disseminate(self._set_state(member, MemberState.SUSPECT, now_ms))

    # Isolation and suspicion

    def _is_isolated(self, now_ms: float) -> bool:
        """Return whether this instance is probably isolated from the fleet.

        That is assumed after ``isolation_ms`` without contact with any peer.
        """
        return now_ms - self._last_contact_ms > self._settings.isolation_ms

    def _record_contact(self, now_ms: float) -> None:
        if self._is_isolated(now_ms):
            until_ms = now_ms + self._settings.suspicion_ms(self._counts.n_live)
            for name in self._suspects:
                member = self._table.get(name)
                if member is not None:
                    member.suspect_until_ms = until_ms
        self._last_contact_ms = now_ms

    def _expire_suspicions(self, now_ms: float) -> None:
        is_isolated = self._is_isolated(now_ms)
        for name in tuple(self._suspects):
            member = self._table.get(name)
            if member is None or member.record.state is not MemberState.SUSPECT:
                self._suspects.discard(name)
                continue
            # While this instance is isolated, it keeps the suspected instances
            # that the platform still lists.
            is_exempt = is_isolated and member.is_listed
            if now_ms < member.suspect_until_ms or is_exempt:
                continue
            if member.is_final_probe_sent:
                self._disseminate(self._set_state(member, MemberState.DEAD, now_ms))
            else:
                self._send_final_probe(member, now_ms)

    def _send_final_probe(self, member: Member, now_ms: float) -> None:
        """Probe a suspected instance once more before it is declared dead.

        The probe informs it of the suspicion, in case no gossip did in time.
        """
        member.is_final_probe_sent = True
        member.suspect_until_ms = now_ms + 2.0 * self._settings.probe_timeout_ms
        self._send_probe(member)

    def _remove_old_dead(self, now_ms: float) -> None:
        oldest_kept_ms = now_ms - self._settings.dead_retention_ms
        for member in list(self._table):
            is_expired = member.is_dead and member.dead_since_ms < oldest_kept_ms
            if is_expired and not member.is_listed:
                self._table.remove(member.record.name)

    # Updates

    def _set_state(self, member: Member, state: MemberState, now_ms: float) -> Member:
        self._apply_update(member, replace(member.record, state=state), now_ms)
        return member

    def _apply_update(
        self, member: Member, record: MemberRecord, now_ms: float
    ) -> None:
        member.record = record
        member.n_join_failures = 0
        self._suspects.discard(record.name)
        if record.state is MemberState.SUSPECT:
            suspicion_ms = self._settings.suspicion_ms(self._counts.n_live)
            member.suspect_until_ms = now_ms + suspicion_ms
            member.is_final_probe_sent = False
            self._suspects.add(record.name)
        elif record.state is MemberState.DEAD:
            member.dead_since_ms = now_ms
        self._table.recount(member)

    def _disseminate(self, member: Member) -> None:
        if member.record.incarnation > 0:
            self._dissemination.add(member.record.name)

    def _merge(self, update: MemberRecord, now_ms: float) -> None:
        if update.name == self._own.name:
            self._merge_own_update(update, now_ms)
            return
        if update.incarnation <= 0:
            return
        member = self._table.get(update.name)
        if member is None:
            member = Member(update)
            self._table.add(member)
        elif not replaces(update, member.record):
            return
        self._apply_update(member, update, now_ms)
        self._disseminate(member)

    def _merge_own_update(self, update: MemberRecord, now_ms: float) -> None:
        if not replaces(update, self._own) or self._has_left:
            return
        assert self._started_ms is not None
        is_recently_started = (
            now_ms - self._started_ms < self._settings.restart_window_ms
        )
        has_other_address = update.address != self._own.address
        is_running = update.state in (MemberState.ALIVE, MemberState.LEAVING)
        if is_running and has_other_address and not is_recently_started:
            if not self._is_superseded:
                self._is_superseded = True
                self._actions.append(Superseded(update.address))
            return
        self._own = replace(self._own, incarnation=update.incarnation + 1)

    def select_updates(self, recipient_name: str = "") -> list[MemberRecord]:
        """Return the records for one message and count their transmissions.

        The own record comes first. A record of the recipient that is not alive
        is always included, so that the recipient can refute it at once.
        """
        settings = self._settings
        names = self._dissemination.select_names(
            settings.n_updates_max, settings.n_transmissions(self._counts.n_live)
        )
        chosen = dict.fromkeys(names)
        recipient = self._table.get(recipient_name)
        if recipient is not None and recipient.record.state is not MemberState.ALIVE:
            chosen[recipient_name] = None
        repaired_name = self._next_anti_entropy_name()
        if repaired_name is not None:
            chosen[repaired_name] = None
        found = (self._table.get(name) for name in chosen)
        known = [member.record for member in found if member is not None]
        return [self._own, *(record for record in known if record.incarnation > 0)]

    def _next_anti_entropy_name(self) -> str | None:
        """Return the next name in turn, or None if no other instance is known.

        Sending every record in turn repairs updates that were lost.
        """
        if not self._anti_entropy_names:
            self._anti_entropy_names = [member.record.name for member in self._table]
            self._random.shuffle(self._anti_entropy_names)
        return self._anti_entropy_names.pop() if self._anti_entropy_names else None
