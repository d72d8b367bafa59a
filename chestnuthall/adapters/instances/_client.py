"""Instance administration port over the operators' HTTP interface."""

import asyncio
import json
from typing import TypeVar
from urllib.parse import quote

from pydantic import BaseModel, ConfigDict, ValidationError

from chestnuthall.adapters.http import HttpRequest, HttpResponse, connect
from chestnuthall.core.results import (
    CALL_TIMED_OUT,
    NOT_FOUND,
    UPSTREAM_ERROR,
    Failure,
    failure_kind_from_code,
)
from chestnuthall.ports import InstanceStatus, QuarantineEntry

Model = TypeVar("Model", bound=BaseModel)


class _Model(BaseModel):
    # A newer instance may send fields that this client does not know.
    model_config = ConfigDict(extra="ignore", frozen=True)


class _StatusModel(_Model):
    instance: str
    zone: str
    environment: str
    ready: bool
    leaving: bool
    n_in_flight: int
    configuration_revision: int
    configuration_digest: str
    configuration_since_wall_ms: float = 0.0
    n_by_result: dict[str, int] = {}

    def to_port(self) -> InstanceStatus:
        return InstanceStatus(
            name=self.instance,
            zone=self.zone,
            environment=self.environment,
            is_ready=self.ready,
            is_leaving=self.leaving,
            n_in_flight=self.n_in_flight,
            revision=self.configuration_revision,
            digest=self.configuration_digest,
            since_wall_ms=self.configuration_since_wall_ms,
            n_by_result=tuple(sorted(self.n_by_result.items())),
        )


class _RevisionModel(_Model):
    configuration_revision: int


class _QuarantineModel(_Model):
    fingerprint: str
    replica_names: tuple[str, ...]
    expires_in_ms: float
    is_quarantined: bool


class _QuarantinesModel(_Model):
    quarantines: tuple[_QuarantineModel, ...]


class _LiftedModel(_Model):
    lifted: str


class _DrainedModel(_Model):
    drain: bool


class _HealthModel(_Model):
    draining: bool = False


class _FailureModel(_Model):
    result_code: int
    reason: str = ""


class HttpInstanceAdminClient:
    """Sends requests to instances by address, with one connection per request."""

    async def status(self, address: str, timeout_ms: float) -> InstanceStatus | Failure:
        """Return the status of an instance."""
        request = HttpRequest("GET", "/v1/admin/status")
        result = await self._request(address, request, _StatusModel, timeout_ms)
        return result if isinstance(result, Failure) else result.to_port()

    async def upstream_state(self, address: str, timeout_ms: float) -> str | Failure:
        """Return the state that an upstream reports: ready, draining or unwell."""
        request = HttpRequest("GET", "/v1/health")
        response = await _exchange(address, request, timeout_ms)
        if isinstance(response, Failure):
            return response
        try:
            model = _HealthModel.model_validate_json(response.body)
        except ValidationError:
            return UPSTREAM_ERROR.with_reason(f"{address} sent an invalid body")
        if model.draining:
            return "draining"
        return "ready" if response.status == 200 else "unwell"

    async def offer_configuration(
        self, address: str, stored_text: str, timeout_ms: float
    ) -> int | Failure:
        """Offer an accepted configuration; return the revision then in force."""
        request = _post("/v1/admin/configuration", stored_text)
        result = await self._request(address, request, _RevisionModel, timeout_ms)
        return result if isinstance(result, Failure) else result.configuration_revision

    async def drain_instance(
        self, address: str, name: str, timeout_ms: float
    ) -> Failure | None:
        """Start a graceful stop of the instance; the name must be its own."""
        return await self._drain(address, {"instance": name}, timeout_ms)

    async def drain_replica(
        self, address: str, name: str, timeout_ms: float
    ) -> Failure | None:
        """Stop new calls to a replica; the instance notifies its peers."""
        return await self._drain(address, {"replica": name}, timeout_ms)

    async def _drain(
        self, address: str, target: dict[str, str], timeout_ms: float
    ) -> Failure | None:
        request = _post("/v1/admin/drain", json.dumps(target))
        result = await self._request(address, request, _DrainedModel, timeout_ms)
        return result if isinstance(result, Failure) else None

    async def quarantines(
        self, address: str, timeout_ms: float
    ) -> tuple[QuarantineEntry, ...] | Failure:
        """Return the fingerprints that an instance suspects or has quarantined."""
        request = HttpRequest("GET", "/v1/admin/quarantines")
        result = await self._request(address, request, _QuarantinesModel, timeout_ms)
        if isinstance(result, Failure):
            return result
        return tuple(
            QuarantineEntry(
                item.fingerprint,
                item.replica_names,
                item.expires_in_ms,
                item.is_quarantined,
            )
            for item in result.quarantines
        )

    async def lift_quarantine(
        self, address: str, fingerprint: str, timeout_ms: float
    ) -> bool | Failure:
        """Lift the quarantine of a fingerprint; return False if there was none."""
        target = f"/v1/admin/quarantines?fingerprint={quote(fingerprint, safe='')}"
        request = HttpRequest("DELETE", target)
        result = await self._request(address, request, _LiftedModel, timeout_ms)
        if isinstance(result, Failure):
            return False if result.kind is NOT_FOUND else result
        return result.lifted == fingerprint

    async def _request(
        self, address: str, request: HttpRequest, model: type[Model], timeout_ms: float
    ) -> Model | Failure:
        response = await _exchange(address, request, timeout_ms)
        if isinstance(response, Failure):
            return response
        if response.status != 200:
            return _failure_from_response(response)
        try:
            return model.model_validate_json(response.body)
        except ValidationError:
            return UPSTREAM_ERROR.with_reason(f"{address} sent an invalid body")


def _post(target: str, text: str) -> HttpRequest:
    headers = {b"content-type": b"application/json"}
    return HttpRequest("POST", target, headers, text.encode())


def _failure_from_response(response: HttpResponse) -> Failure:
    try:
        model = _FailureModel.model_validate_json(response.body)
    except ValidationError:
        return UPSTREAM_ERROR.with_reason(f"status {response.status}")
    kind = failure_kind_from_code(model.result_code) or UPSTREAM_ERROR
    return kind.with_reason(model.reason)


async def _exchange(
    address: str, request: HttpRequest, timeout_ms: float
) -> HttpResponse | Failure:
    connection = await connect(address, timeout_ms)
    if isinstance(connection, Failure):
        return connection
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            return await connection.request(request)
    except TimeoutError:
        return CALL_TIMED_OUT.with_reason(f"{address} did not answer in time")
    finally:
        connection.close()
