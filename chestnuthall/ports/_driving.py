"""What the front ends call: the services, as seen from outside."""

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
