"""What the front ends call: the services, as seen from outside."""

from dataclasses import dataclass
from typing import Protocol

from chestnuthall.core.configuration import RevisionDecision
from chestnuthall.core.model import Answer, Refusal, Request
from chestnuthall.core.results import Failure


class RequestHandler(Protocol):
    """Serves the requests of callers."""

    async def serve(self, request: Request) -> Answer | Refusal:
        """Serve a request; every expected failure is a ``Refusal``."""
        ...


class ConfigurationReceiver(Protocol):
    """Takes configurations that operators or peers announce."""

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first one."""
        ...

    def offer_text(self, text: str, source: str) -> RevisionDecision | Failure:
        """Read a stored configuration and apply it if it is newer."""
        ...


class RequestTracker(Protocol):
    """Knows the requests in flight and whether the instance is leaving."""

    @property
    def is_leaving(self) -> bool:
        """Whether a stop was announced."""
        ...

    def begin_request(self) -> None:
        """Note a request that has begun."""
        ...

    def end_request(self) -> None:
        """Note a request that has ended."""
        ...


class CallerServer(Protocol):
    """The listener for callers, as a graceful stop uses it."""

    def announce_close(self) -> None:
        """Tell each caller with its next response to close its connection."""
        ...

    async def stop_listening(self) -> None:
        """Accept no further connections and close the idle ones."""
        ...

    async def wait_closed(self, linger_ms: float) -> None:
        """Wait for all requests that run, then at most a while for the rest."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineStatus:
    """One request that has cost replicas, as operators see it."""

    fingerprint: str
    replica_names: tuple[str, ...]
    expires_in_ms: float
    is_quarantined: bool


class InstanceAdminService(Protocol):
    """What operators do to one instance."""

    def drain_instance(self, name: str) -> Failure | None:
        """Begin a graceful stop, if the name is that of this instance."""
        ...

    def drain_replica(self, name: str) -> Failure | None:
        """Stop new calls to a replica over the whole fleet, if it is known."""
        ...

    def resume_replica(self, name: str) -> None:
        """End the drain of a replica, whatever began it."""
        ...

    def quarantines(self) -> tuple[QuarantineStatus, ...]:
        """Return the requests that have cost replicas."""
        ...

    async def lift_quarantine(self, fingerprint: str) -> Failure | None:
        """Let a request run again over the whole fleet."""
        ...
