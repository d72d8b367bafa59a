"""Messages between entry instances, and their transport."""

from dataclasses import dataclass
from typing import Protocol

from chestnuthall.core.fanout import PartialAnswer
from chestnuthall.core.results import Failure


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """Membership update about one instance.

    ``state`` is one of alive, suspect, leaving and dead. An update with a higher
    incarnation replaces one with a lower.
    """

    name: str
    address: str
    zone: str
    state: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ClassUse:
    """Use of a group by a class on one instance, counted in shard calls.

    ``served_cost`` accumulates from the start of the instance; ``demand_cost`` is
    the demand of callers over the last seconds. The incarnation is the wall-clock
    time at which the instance started, and the sequence is the number of
    milliseconds since then.
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
    """A replica that is sent no new calls until ``expires_in_ms`` has passed.

    A notice with a higher ``sequence`` replaces one with a lower. ``signal`` is the
    source of the information: list, answer, health, refused or operator.
    ``is_over`` means that the replica accepts calls again.
    """

    replica_name: str
    expires_in_ms: float
    sequence: int = 0
    signal: str = "answer"
    is_over: bool = False


@dataclass(frozen=True, slots=True)
class QuarantineNotice:
    """A request fingerprint with the replicas that were lost to it.

    A notice without replica names means that the quarantine was lifted. A notice
    with a higher ``sequence`` replaces one with a lower.
    """

    fingerprint: str
    replica_names: tuple[str, ...]
    expires_in_ms: float
    sequence: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerDigest:
    """State that one instance sends to another with each probe."""

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
    """The configuration that a peer has in force."""

    environment: str
    revision: int
    digest: str
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ShardSetCall:
    """A search of a shard set of one snapshot, run by a peer.

    ``remaining_ms`` is the time left until the caller's deadline. It is a duration
    because the clocks of instances differ.
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
    """Client for calls to other entry instances; returns every failure."""

    async def exchange(
        self, address: str, digest: PeerDigest, timeout_ms: float
    ) -> PeerDigest | Failure:
        """Probe a peer and exchange digests."""
        ...

    async def probe_indirectly(
        self, address: str, target_address: str, timeout_ms: float
    ) -> bool | Failure:
        """Probe an instance through a peer; return whether the instance answered."""
        ...

    async def fetch_configuration(
        self, address: str, timeout_ms: float
    ) -> PeerConfiguration | Failure:
        """Return the configuration that a peer has in force."""
        ...

    async def query_shards(
        self, address: str, call: ShardSetCall, timeout_ms: float
    ) -> PartialAnswer | Failure:
        """Run a search of a shard set on a peer."""
        ...


class PeerService(Protocol):
    """Operations of this instance that its server for peers calls."""

    async def receive(self, digest: PeerDigest) -> PeerDigest:
        """Process the digest of a peer and return that of this instance."""
        ...

    async def probe_indirectly(self, target_address: str) -> bool:
        """Probe another instance on behalf of a peer."""
        ...

    def configuration(self) -> PeerConfiguration | None:
        """Return the configuration in force, or None before the first one."""
        ...

    async def query_shards(self, call: ShardSetCall) -> PartialAnswer | Failure:
        """Search a shard set; the answers of all sets merge into the complete one."""
        ...
