"""Fleet membership, and the digests that are exchanged with peers."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from functools import singledispatchmethod
from random import Random
from typing import Protocol

from chestnuthall.core.fanout import PartialAnswer
from chestnuthall.core.membership import (
    AddressReused,
    CountsChanged,
    DigestReceived,
    FleetCounts,
    IndirectProbe,
    InstanceListRead,
    LeaveAnnounced,
    LeaveFinished,
    ListedInstance,
    MemberRecord,
    MembershipAction,
    MembershipEvent,
    MembershipMachine,
    MembershipSettings,
    MemberState,
    Probe,
    ProbeAnswered,
    ProbeFailed,
    Superseded,
    Tick,
)
from chestnuthall.core.results import NOT_READY, Failure
from chestnuthall.ports import (
    Clock,
    InstanceListEntry,
    InstanceRole,
    MemberUpdate,
    PeerConfiguration,
    PeerDigest,
    PeerTransport,
    ShardSetCall,
)
from chestnuthall.services._configuration import ConfigurationManager
from chestnuthall.services._identity import InstanceIdentity
from chestnuthall.services._instance_list import InstanceList

_log = logging.getLogger(__name__)

# Number of peers to which an instance sends urgent updates and notices. At 1,900
# instances, five peers miss 0.7% of the fleet and three peers 5%; with three, some
# instances are missed by the next round of probes too and notified later than 3 s.
N_URGENT_NOTICE_PEERS = 5

CountsListener = Callable[[FleetCounts], None]
SupersededListener = Callable[[], None]
ShardSetHandler = Callable[[ShardSetCall], Awaitable[PartialAnswer | Failure]]
_STATES = {state.value: state for state in MemberState}


class DigestSection(Protocol):
    """A service that exchanges a section of the digest with each probe."""

    def add_to(self, digest: PeerDigest) -> PeerDigest:
        """Return the digest with this service's section added."""
        ...

    def receive(self, digest: PeerDigest) -> None:
        """Process this service's section of a peer's digest."""
        ...


class Membership:
    """Performs the actions of the membership state machine."""

    def __init__(
        self,
        identity: InstanceIdentity,
        peers: PeerTransport,
        clock: Clock,
        configuration: ConfigurationManager,
        instances: InstanceList,
        random: Random,
        sections: Sequence[DigestSection] = (),
        settings: MembershipSettings | None = None,
    ) -> None:
        self._identity = identity
        self._peers = peers
        self._clock = clock
        self._configuration = configuration
        self._random = random
        self._sections = list(sections)
        self._settings = settings or MembershipSettings()
        # The start time makes the incarnation of a restarted instance higher
        # than that of its predecessor, without any stored state.
        incarnation = int(clock.wall_ms())
        self._machine = MembershipMachine(
            MemberRecord(
                identity.name,
                identity.peer_address,
                identity.zone,
                MemberState.ALIVE,
                incarnation,
            ),
            self._settings,
            random,
        )
        self._listeners: list[CountsListener] = []
        self._superseded_listeners: list[SupersededListener] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._fetching_revision = 0
        self._shard_set_handler: ShardSetHandler | None = None
        instances.add_listener(self._process_list)

    @property
    def identity(self) -> InstanceIdentity:
        """Name, peer address and zone of this instance."""
        return self._identity

    @property
    def incarnation(self) -> int:
        """Number that only this instance raises; higher after a restart."""
        return self._machine.own.incarnation

    @property
    def counts(self) -> FleetCounts:
        """Number of instances by state, including this one."""
        return self._machine.counts

    @property
    def n_instances(self) -> int:
        """Number of live instances of the fleet, including this one."""
        return max(1, self.counts.n_live)

    def add_section(self, section: DigestSection) -> None:
        """Add the section of a service to the digests."""
        self._sections.append(section)

    def add_listener(self, listener: CountsListener) -> None:
        """Add a listener that is called with the counts after each change."""
        self._listeners.append(listener)

    def on_superseded(self, listener: SupersededListener) -> None:
        """Call a listener when another process runs under the same name."""
        self._superseded_listeners.append(listener)

    def members(self) -> tuple[MemberUpdate, ...]:
        """Return the other instances that are not known to be dead."""
        return tuple(_update_of(record) for record in self._machine.members())

    def digest(self, recipient: str = "") -> PeerDigest:
        """Return the digest for a peer; its size is bounded."""
        in_force = self._configuration.in_force
        digest = PeerDigest(
            sender=self._identity.name,
            sender_address=self._identity.peer_address,
            incarnation=self._machine.own.incarnation,
            configuration_revision=self._configuration.revision,
            configuration_digest="" if in_force is None else in_force.digest,
            members=tuple(map(_update_of, self._machine.select_updates(recipient))),
        )
        for section in self._sections:
            digest = section.add_to(digest)
        return digest

    async def receive(self, digest: PeerDigest) -> PeerDigest:
        """Process the digest of a peer and return this instance's digest."""
        self._process_digest(digest)
        return self.digest(digest.sender)

    async def probe_indirectly(self, target_address: str) -> bool:
        """Probe another instance on behalf of a peer."""
        answer = await self._peers.exchange(
            target_address, self.digest(), self._settings.probe_timeout_ms
        )
        if isinstance(answer, Failure):
            return False
        self._process_digest(answer)
        return True

    def configuration(self) -> PeerConfiguration | None:
        """Return the configuration in force, or None before the first one."""
        in_force = self._configuration.in_force
        if in_force is None:
            return None
        return PeerConfiguration(
            in_force.environment,
            in_force.revision,
            in_force.digest,
            in_force.stored_text,
        )

    async def query_shards(self, call: ShardSetCall) -> PartialAnswer | Failure:
        """Answer for a set of shards, if the two-level fan-out is enabled."""
        if self._shard_set_handler is None:
            return NOT_READY.with_reason("the two-level fan-out is off")
        return await self._shard_set_handler(call)

    def set_shard_set_handler(self, handler: ShardSetHandler) -> None:
        """Set the handler that answers for sets of shards."""
        self._shard_set_handler = handler

    async def run(self) -> None:
        """Probe one peer per interval until cancelled."""
        try:
            while True:
                self._handle(Tick(self._clock.now_ms()))
                await self._clock.sleep_ms(self._settings.tick_ms)
        finally:
            for task in tuple(self._tasks):
                task.cancel()

    async def disseminate_now(self, n_peers: int) -> None:
        """Exchange digests with random peers at once, for urgent notices."""
        peers = self._machine.members()
        chosen = self._random.sample(peers, min(n_peers, len(peers)))
        await asyncio.gather(*(self._exchange_with(peer) for peer in chosen))

    async def announce_leave(self) -> None:
        """Notify peers that this instance is leaving."""
        self._handle(LeaveAnnounced(self._clock.now_ms()))
        await self.disseminate_now(N_URGENT_NOTICE_PEERS)

    async def finish_leave(self) -> None:
        """Notify peers that this instance has left, so that none probes it."""
        self._handle(LeaveFinished(self._clock.now_ms()))
        await self.disseminate_now(N_URGENT_NOTICE_PEERS)

    def _process_list(self, entries: tuple[InstanceListEntry, ...]) -> None:
        listed = tuple(
            ListedInstance(item.name, item.peer_address, item.zone, item.is_leaving)
            for item in entries
            if item.role is InstanceRole.ENTRY
        )
        self._handle(InstanceListRead(self._clock.now_ms(), listed))

    def _handle(self, event: MembershipEvent) -> None:
        for action in self._machine.handle(event):
            self._perform(action)

    @singledispatchmethod
    def _perform(self, action: MembershipAction) -> None:
        raise TypeError(f"not a membership action: {type(action).__name__}")

    @_perform.register
    def _(self, action: Probe) -> None:
        self._spawn(self._probe(action))

    @_perform.register
    def _(self, action: IndirectProbe) -> None:
        self._spawn(self._probe_indirectly(action))

    @_perform.register
    def _(self, action: CountsChanged) -> None:
        for listener in self._listeners:
            listener(action.counts)

    @_perform.register
    def _(self, action: Superseded) -> None:
        _log.error(
            "another process runs under this name", extra={"address": action.address}
        )
        for listener in self._superseded_listeners:
            listener()

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, action: Probe) -> None:
        answer = await self._peers.exchange(
            action.address, self.digest(action.name), self._settings.probe_timeout_ms
        )
        now_ms = self._clock.now_ms()
        if isinstance(answer, Failure):
            _log.info("peer did not answer", extra={"peer": action.name})
            self._handle(ProbeFailed(now_ms, action.probe_id))
            return
        if answer.sender == action.name:
            self._handle(ProbeAnswered(now_ms, action.probe_id))
        else:
            self._handle(AddressReused(now_ms, action.probe_id))
        self._process_digest(answer)

    async def _probe_indirectly(self, action: IndirectProbe) -> None:
        is_alive = await self._peers.probe_indirectly(
            action.helper_address,
            action.target_address,
            self._settings.indirect_timeout_ms,
        )
        outcome = ProbeAnswered if is_alive is True else ProbeFailed
        self._handle(outcome(self._clock.now_ms(), action.probe_id))

    async def _exchange_with(self, peer: MemberRecord) -> None:
        answer = await self._peers.exchange(
            peer.address, self.digest(peer.name), self._settings.probe_timeout_ms
        )
        if not isinstance(answer, Failure):
            self._process_digest(answer)

    def _process_digest(self, digest: PeerDigest) -> None:
        sender, others = _records_of(digest)
        self._handle(DigestReceived(self._clock.now_ms(), sender, others))
        for section in self._sections:
            section.receive(digest)
        # The answer to the peer does not wait for the configuration, because the
        # peer would take a slow answer for a failed probe.
        revision = digest.configuration_revision
        if revision > max(self._configuration.revision, self._fetching_revision):
            self._fetching_revision = revision
            self._spawn(self._fetch_configuration(digest))

    async def _fetch_configuration(self, digest: PeerDigest) -> None:
        try:
            fetched = await self._peers.fetch_configuration(
                digest.sender_address, self._settings.probe_timeout_ms
            )
        finally:
            self._fetching_revision = 0
        if not isinstance(fetched, Failure):
            self._configuration.offer_text(fetched.text, f"peer {digest.sender}")


def _update_of(record: MemberRecord) -> MemberUpdate:
    return MemberUpdate(
        record.name, record.address, record.zone, record.state.value, record.incarnation
    )


def _records_of(digest: PeerDigest) -> tuple[MemberRecord, tuple[MemberRecord, ...]]:
    """Return the sender's record of itself, and its records of other instances.

    Records with a state that this version does not know are skipped.
    """
    sender = MemberRecord(
        digest.sender, digest.sender_address, "", MemberState.ALIVE, digest.incarnation
    )
    others = []
    for item in digest.members:
        state = _STATES.get(item.state)
        if state is None:
            continue
        record = MemberRecord(
            item.name, item.address, item.zone, state, item.incarnation
        )
        if record.name == digest.sender:
            sender = record
        else:
            others.append(record)
    return sender, tuple(others)
