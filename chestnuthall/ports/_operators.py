"""Ports of the operators' tool: instances and stored documents."""

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
    """Status that an instance reports about itself.

    ``n_by_result`` is the number of requests by result name since the
    configuration came into force.
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
    """A fingerprint that an instance suspects or has quarantined."""

    fingerprint: str
    replica_names: tuple[str, ...]
    expires_in_ms: float
    is_refused: bool


class InstanceAdminClient(Protocol):
    """Client of an instance's operator interface; returns every failure."""

    async def status(self, address: str, timeout_ms: float) -> InstanceStatus | Failure:
        """Return the status of an instance."""
        ...

    async def upstream_state(self, address: str, timeout_ms: float) -> str | Failure:
        """Return the state that an upstream reports: ready, draining or unwell."""
        ...

    async def offer_configuration(
        self, address: str, stored_text: str, timeout_ms: float
    ) -> int | Failure:
        """Send an accepted configuration; return the revision then in force."""
        ...

    async def drain_instance(
        self, address: str, name: str, timeout_ms: float
    ) -> Failure | None:
        """Begin the graceful stop of an instance; the name must be its own."""
        ...

    async def drain_replica(
        self, address: str, name: str, timeout_ms: float
    ) -> Failure | None:
        """Stop new calls to a replica; the instance notifies its peers."""
        ...

    async def quarantines(
        self, address: str, timeout_ms: float
    ) -> tuple[QuarantineEntry, ...] | Failure:
        """Return the fingerprints that an instance suspects or has quarantined."""
        ...

    async def lift_quarantine(
        self, address: str, fingerprint: str, timeout_ms: float
    ) -> bool | Failure:
        """Lift a quarantine; return whether the instance knew the fingerprint."""
        ...


class RevisionCodec(Protocol):
    """Encodes and decodes the stored texts of revisions and histories."""

    def encode_record(self, record: RevisionRecord) -> str:
        """Return the text of an ``environments`` object."""
        ...

    def decode_record(self, text: str) -> RevisionRecord | Failure:
        """Decode the text of an ``environments`` object and verify its digest."""
        ...

    def encode_history(self, history: History) -> str:
        """Return the text of an ``environment-history`` object."""
        ...

    def decode_history(self, text: str) -> History | Failure:
        """Decode and validate the text of an ``environment-history`` object."""
        ...
