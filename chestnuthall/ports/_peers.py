"""Messages between entry instances, and their transport."""

from dataclasses import dataclass
from typing import Protocol

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
    """A replica that takes no new calls until ``expires_in_ms`` has passed."""

    replica_name: str
    expires_in_ms: float


@dataclass(frozen=True, slots=True)
class QuarantineNotice:
    """A request fingerprint with the replicas that were lost to it."""

    fingerprint: str
    replica_names: tuple[str, ...]
    expires_in_ms: float


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
