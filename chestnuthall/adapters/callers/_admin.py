"""Routes for operators: drains and quarantines."""

from collections.abc import Awaitable, Callable
from dataclasses import asdict
from typing import Annotated
from urllib.parse import parse_qs

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from chestnuthall.adapters.callers._encode import encode_json, encode_outcome
from chestnuthall.adapters.http import HttpRequest, HttpResponse
from chestnuthall.core.results import INVALID_REQUEST, Failure
from chestnuthall.ports import InstanceAdminService

Route = Callable[[HttpRequest], Awaitable[HttpResponse]]
Name = Annotated[str, Field(min_length=1, max_length=128)]

_JSON = {b"content-type": b"application/json"}


class DrainModel(BaseModel):
    """Body of ``POST /v1/admin/drain``: the name of an instance or a replica.

    If ``drain`` is false, the drain of the replica is ended.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    instance: Name | None = None
    replica: Name | None = None
    drain: bool = True

    @model_validator(mode="after")
    def _check_target(self) -> "DrainModel":
        if (self.instance is None) == (self.replica is None):
            raise ValueError("give either an instance or a replica")
        if self.instance is not None and not self.drain:
            raise ValueError("the drain of an instance cannot be ended")
        return self


class AdminRoutes:
    """Dispatches HTTP requests of operators to the administration service."""

    def __init__(self, administration: InstanceAdminService) -> None:
        self._administration = administration

    def routes(self) -> dict[tuple[str, str], Route]:
        """Return the routes by method and path."""
        return {
            ("POST", "/v1/admin/drain"): self._serve_drain,
            ("GET", "/v1/admin/quarantines"): self._serve_quarantines,
            ("DELETE", "/v1/admin/quarantines"): self._serve_lift,
        }

    async def _serve_drain(self, request: HttpRequest) -> HttpResponse:
        try:
            model = DrainModel.model_validate_json(request.body)
        except ValidationError as error:
            return encode_outcome(INVALID_REQUEST.with_reason(str(error)))
        failure = self._drain(model)
        if failure is not None:
            return encode_outcome(failure)
        return _respond(model.model_dump(exclude_none=True))

    def _drain(self, model: DrainModel) -> Failure | None:
        if model.instance is not None:
            return self._administration.drain_instance(model.instance)
        assert model.replica is not None
        if model.drain:
            return self._administration.drain_replica(model.replica)
        self._administration.resume_replica(model.replica)
        return None

    async def _serve_quarantines(self, request: HttpRequest) -> HttpResponse:
        statuses = self._administration.quarantines()
        return _respond({"quarantines": [asdict(item) for item in statuses]})

    async def _serve_lift(self, request: HttpRequest) -> HttpResponse:
        fingerprints = parse_qs(request.query).get("fingerprint", [])
        if len(fingerprints) != 1:
            return encode_outcome(INVALID_REQUEST.with_reason("give one fingerprint"))
        failure = await self._administration.lift_quarantine(fingerprints[0])
        if failure is not None:
            return encode_outcome(failure)
        return _respond({"lifted": fingerprints[0]})


def _respond(body: object) -> HttpResponse:
    return HttpResponse(200, dict(_JSON), encode_json(body))
