"""What the operators' tool asks of instances, and of stored texts."""

from dataclasses import dataclass
from typing import Protocol

from chestnuthall.core.configuration import History, RevisionRecord
from chestnuthall.core.results import Failure


@dataclass(frozen=True, slots=True)
class InstanceSummary:
    """An entry of the platform's list; ``role`` is entry or upstream."""

    name: str
    role: str
    zone: str
    address: str
    state: str


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceStatus:
    """What an instance says about itself.

    ``n_by_result`` counts requests by name of result since the configuration
    came into force.
    """

    name: str
    zone: str
    environment: str
    is_ready: bool
    is_leaving: bool
    n_in_flight: int
    revision: int
    digest: str
    since_wall_ms: float = 0.0
    n_by_result: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """A fingerprint that an instance suspects or refuses."""

    fingerprint: str
    replica_names: tuple[str, ...]
    expires_in_ms: float
    is_refused: bool


class InstanceAdminClient(Protocol):
    """The operators' interface of an instance; every failure is returned."""

    async def status(self, address: str, timeout_ms: float) -> InstanceStatus | Failure:
        """Return the status of an instance."""
        ...

    async def upstream_state(self, address: str, timeout_ms: float) -> str | Failure:
        """Return ready, draining or unwell, as an upstream itself says."""
        ...

    async def announce(
        self, address: str, stored_text: str, timeout_ms: float
    ) -> int | Failure:
        """Offer an accepted configuration; return the revision then in force."""
        ...

    async def drain_instance(
        self, address: str, name: str, timeout_ms: float
    ) -> Failure | None:
        """Let an instance leave; the name must be its own."""
        ...

    async def drain_replica(
        self, address: str, name: str, timeout_ms: float
    ) -> Failure | None:
        """Stop new calls to a replica; the instance tells its peers."""
        ...

    async def quarantines(
        self, address: str, timeout_ms: float
    ) -> tuple[QuarantineEntry, ...] | Failure:
        """Return the fingerprints that an instance suspects or refuses."""
        ...

    async def lift_quarantine(
        self, address: str, fingerprint: str, timeout_ms: float
    ) -> bool | Failure:
        """Forget a fingerprint; return whether the instance knew it."""
        ...


class RevisionCodec(Protocol):
    """Text forms of a revision and of a history."""

    def encode_record(self, record: RevisionRecord) -> str:
        """Return the text of an ``environments`` object."""
        ...

    def decode_record(self, text: str) -> RevisionRecord | Failure:
        """Check the text of an ``environments`` object, its digest included."""
        ...

    def encode_history(self, history: History) -> str:
        """Return the text of an ``environment-history`` object."""
        ...

    def decode_history(self, text: str) -> History | Failure:
        """Check the text of an ``environment-history`` object."""
        ...
