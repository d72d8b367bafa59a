"""Messages between entry instances, and their transport."""

from dataclasses import dataclass
from typing import Protocol

from chestnuthall.core.fanout import PartialAnswer
from chestnuthall.core.results import Failure


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """News about one instance; a higher incarnation replaces a lower one.

    ``state`` is one of alive, suspect, leaving and dead.
    """

    name: str
    address: str
    zone: str
    state: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ClassUse:
    """Use of a group by a class on one instance, counted in shard calls.

    ``served_cost`` grows over the life of the instance; ``demand_cost`` is what
    callers asked for over the last seconds. The incarnation is the wall time at
    which the instance started, and the sequence the milliseconds since then.
    """

    instance: str
    incarnation: int
    sequence: int
    group: str
    class_name: str
    served_cost: float
    demand_cost: float


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """A replica that takes no new calls until ``expires_in_ms`` has passed.

    A higher ``sequence`` replaces a lower one. ``signal`` says what showed the
    drain: list, answer, health, refused or operator. ``is_over`` says that the
    replica takes calls again.
    """

    replica_name: str
    expires_in_ms: float
    sequence: int = 0
    signal: str = "answer"
    is_over: bool = False


@dataclass(frozen=True, slots=True)
class QuarantineNotice:
    """A request fingerprint with the replicas that were lost to it.

    No replica names say that the quarantine was lifted. A higher ``sequence``
    replaces a lower one.
    """

    fingerprint: str
    replica_names: tuple[str, ...]
    expires_in_ms: float
    sequence: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerDigest:
    """What one instance tells another with each probe."""

    sender: str
    sender_address: str
    incarnation: int
    configuration_revision: int
    configuration_digest: str
    members: tuple[MemberUpdate, ...] = ()
    uses: tuple[ClassUse, ...] = ()
    drains: tuple[DrainNotice, ...] = ()
    quarantines: tuple[QuarantineNotice, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerConfiguration:
    """The document that a peer has in force."""

    environment: str
    revision: int
    digest: str
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardSetCall:
    """A search of some shards of one snapshot, run by a peer.

    ``remaining_ms`` is what is left of the caller's deadline, because clocks
    of instances differ.
    """

    call_id: str
    group: str
    class_name: str
    snapshot_id: int
    shard_ids: tuple[str, ...]
    remaining_ms: float
    query: str
    n_hits_max: int
    fingerprint: str


class PeerTransport(Protocol):
    """Calls to other entry instances; every failure is returned."""

    async def exchange(
        self, address: str, digest: PeerDigest, timeout_ms: float
    ) -> PeerDigest | Failure:
        """Probe a peer and exchange digests."""
        ...

    async def probe_for(
        self, address: str, target_address: str, timeout_ms: float
    ) -> bool | Failure:
        """Ask a peer to probe another one; return whether that one answered."""
        ...

    async def fetch_configuration(
        self, address: str, timeout_ms: float
    ) -> PeerConfiguration | Failure:
        """Return the configuration that a peer has in force."""
        ...

    async def query_shards(
        self, address: str, call: ShardSetCall, timeout_ms: float
    ) -> PartialAnswer | Failure:
        """Ask a peer to answer for a set of shards."""
        ...


class PeerService(Protocol):
    """What the server for peers calls on this instance."""

    async def receive(self, digest: PeerDigest) -> PeerDigest:
        """Take in the digest of a peer and return the own one."""
        ...

    async def probe_for(self, target_address: str) -> bool:
        """Probe another instance on behalf of a peer."""
        ...

    def configuration(self) -> PeerConfiguration | None:
        """Return the configuration in force, or None before the first one."""
        ...

    async def query_shards(self, call: ShardSetCall) -> PartialAnswer | Failure:
        """Answer for a set of shards; the sum of such answers is the whole one."""
        ...
