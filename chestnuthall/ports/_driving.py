"""Driving ports: interfaces of the services that the front ends call."""

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
    """Receives configurations that operators or peers announce."""

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first one."""
        ...

    def offer_text(self, text: str, source: str) -> RevisionDecision | Failure:
        """Decode a stored configuration and apply it if it is newer."""
        ...


class RequestTracker(Protocol):
    """Tracks the requests in flight and whether the instance is leaving."""

    @property
    def is_leaving(self) -> bool:
        """Whether a graceful stop has begun."""
        ...

    @property
    def is_ending(self) -> bool:
        """Whether the stop has cancelled the requests that were still running."""
        ...

    def begin_request(self) -> None:
        """Record the start of a request by the current task."""
        ...

    def end_request(self) -> None:
        """Record the end of a request."""
        ...


class CallerServer(Protocol):
    """Operations of the server for callers that a graceful stop uses."""

    def announce_close(self) -> None:
        """Close each connection with its next response, which announces the close."""
        ...

    async def stop_listening(self) -> None:
        """Accept no further connections and close the idle ones."""
        ...

    async def wait_closed(self, linger_ms: float) -> None:
        """Wait until all running requests have ended.

        Then wait up to ``linger_ms`` for unread responses and incomplete requests.
        """
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineStatus:
    """A suspected or quarantined request, as shown to operators."""

    fingerprint: str
    replica_names: tuple[str, ...]
    expires_in_ms: float
    is_quarantined: bool


class InstanceAdminService(Protocol):
    """Operations of operators on one instance."""

    def drain_instance(self, name: str) -> Failure | None:
        """Begin a graceful stop if the name is that of this instance."""
        ...

    def drain_replica(self, name: str) -> Failure | None:
        """Stop new calls from the whole fleet to a replica, if it is known."""
        ...

    def resume_replica(self, name: str) -> None:
        """End the drain of a replica, regardless of its cause."""
        ...

    def quarantines(self) -> tuple[QuarantineStatus, ...]:
        """Return the suspected and quarantined requests."""
        ...

    async def lift_quarantine(self, fingerprint: str) -> Failure | None:
        """Lift the quarantine of a request over the whole fleet."""
        ...
