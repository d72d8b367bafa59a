"""The other instances of the fleet, and what is exchanged with them."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from chestnuthall.core.results import Failure
from chestnuthall.ports import (
    Clock,
    MemberUpdate,
    ObjectStore,
    PeerConfiguration,
    PeerDigest,
    PeerTransport,
)
from chestnuthall.services._configuration import ConfigurationKeeper

_log = logging.getLogger(__name__)

INSTANCE_KIND = "instances"
EXCHANGE_INTERVAL_MS = 1_000.0
EXCHANGE_TIMEOUT_MS = 500.0
STORE_TIMEOUT_MS = 2_000.0
LIST_INTERVAL_MS = 5_000.0

InstanceListReader = Callable[[str], MemberUpdate | None]


class DigestPart(Protocol):
    """A service that has news to exchange with each probe."""

    def fill(self, digest: PeerDigest) -> PeerDigest:
        """Return the digest with this service's news added."""
        ...

    def absorb(self, digest: PeerDigest) -> None:
        """Take in the news of a peer."""
        ...


@dataclass(frozen=True, slots=True)
class Identity:
    """Name, peer address and availability zone of this instance."""

    name: str
    peer_address: str
    zone: str


class Membership:
    """Exchanges digests with peers and keeps the list of live instances."""

    def __init__(
        self,
        identity: Identity,
        store: ObjectStore,
        peers: PeerTransport,
        clock: Clock,
        configuration: ConfigurationKeeper,
        read_instance: InstanceListReader,
        random: Random,
        parts: Sequence[DigestPart] = (),
    ) -> None:
        self._parts = tuple(parts)
        self._identity = identity
        self._store = store
        self._peers = peers
        self._clock = clock
        self._configuration = configuration
        self._read_instance = read_instance
        self._random = random
        self._members: dict[str, MemberUpdate] = {}

    @property
    def n_instances(self) -> int:
        """Number of instances of the fleet, this one included."""
        return 1 + len(self._members)

    def members(self) -> tuple[MemberUpdate, ...]:
        """Return the other instances known."""
        return tuple(self._members.values())

    def digest(self) -> PeerDigest:
        """Return what this instance tells a peer."""
        in_force = self._configuration.in_force
        digest = PeerDigest(
            sender=self._identity.name,
            sender_address=self._identity.peer_address,
            incarnation=1,
            configuration_revision=self._configuration.revision,
            configuration_digest="" if in_force is None else in_force.digest,
            members=self.members(),
        )
        for part in self._parts:
            digest = part.fill(digest)
        return digest

    async def receive(self, digest: PeerDigest) -> PeerDigest:
        """Take in the digest of a peer and return the own one."""
        await self._take_in(digest)
        return self.digest()

    async def probe_for(self, target_address: str) -> bool:
        """Probe another instance on behalf of a peer."""
        answer = await self._peers.exchange(
            target_address, self.digest(), EXCHANGE_TIMEOUT_MS
        )
        return not isinstance(answer, Failure)

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

    async def _take_in(self, digest: PeerDigest) -> None:
        for part in self._parts:
            part.absorb(digest)
        if digest.configuration_revision <= self._configuration.revision:
            return
        fetched = await self._peers.fetch_configuration(
            digest.sender_address, EXCHANGE_TIMEOUT_MS
        )
        if isinstance(fetched, Failure):
            return
        self._configuration.offer_text(fetched.text, f"peer {digest.sender}")

    async def run(self) -> None:
        """Exchange digests with one peer an interval until cancelled."""
        await asyncio.gather(self._run_list(), self._run_exchange())

    async def _run_list(self) -> None:
        while True:
            await self._load_list()
            await self._clock.sleep_ms(LIST_INTERVAL_MS)

    async def _load_list(self) -> None:
        listed = await self._store.list_kind(INSTANCE_KIND, STORE_TIMEOUT_MS)
        if isinstance(listed, Failure):
            return
        updates = [self._read_instance(stored.value) for stored in listed]
        self._members = {
            update.name: update
            for update in updates
            if update is not None and update.name != self._identity.name
        }

    async def _run_exchange(self) -> None:
        while True:
            await self._clock.sleep_ms(EXCHANGE_INTERVAL_MS)
            if not self._members:
                continue
            await self._exchange_with(self._random.choice(list(self._members.values())))

    async def _exchange_with(self, peer: MemberUpdate) -> None:
        answer = await self._peers.exchange(
            peer.address, self.digest(), EXCHANGE_TIMEOUT_MS
        )
        if isinstance(answer, Failure):
            _log.warning("peer did not answer", extra={"peer": peer.name})
            return
        await self._take_in(answer)

    async def spread_now(self, n_peers: int) -> None:
        """Exchange digests at once with some peers; for urgent news."""
        peers = list(self._members.values())
        chosen = self._random.sample(peers, min(n_peers, len(peers)))
        await asyncio.gather(*(self._exchange_with(peer) for peer in chosen))
