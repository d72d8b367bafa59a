"""Routes of the operators' interface: drains and quarantines."""

from collections.abc import Callable
from urllib.parse import parse_qs

from pydantic import BaseModel, ConfigDict, ValidationError

from chestnuthall.adapters.callers._encode import encode_json, encode_outcome
from chestnuthall.adapters.http import HttpRequest, HttpResponse
from chestnuthall.core.quarantine import QuarantineRegister
from chestnuthall.core.results import INVALID_REQUEST, NOT_FOUND
from chestnuthall.ports import Clock

_JSON = {b"content-type": b"application/json"}

UpstreamDrainer = Callable[[str], bool]


class DrainModel(BaseModel):
    """Body of ``POST /v1/admin/drain``; without a name the instance leaves."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    upstream: str = ""


class AdminRoutes:
    """Serves operators' requests that change what the instance does."""

    def __init__(
        self,
        *,
        quarantine: QuarantineRegister,
        clock: Clock,
        drain_upstream: UpstreamDrainer,
        announce_leave: Callable[[], None],
    ) -> None:
        self._quarantine = quarantine
        self._clock = clock
        self._drain_upstream = drain_upstream
        self._announce_leave = announce_leave
        self.table = {
            ("POST", "/v1/admin/drain"): self._serve_drain,
            ("GET", "/v1/admin/quarantines"): self._serve_quarantines,
            ("DELETE", "/v1/admin/quarantines"): self._serve_lift,
        }

    async def _serve_drain(self, request: HttpRequest) -> HttpResponse:
        try:
            model = DrainModel.model_validate_json(request.body or b"{}")
        except ValidationError as error:
            return encode_outcome(INVALID_REQUEST.because(str(error)))
        if not model.upstream:
            self._announce_leave()
        elif not self._drain_upstream(model.upstream):
            reason = f"no upstream named {model.upstream!r}"
            return encode_outcome(NOT_FOUND.because(reason))
        return HttpResponse(200, dict(_JSON), encode_json({"drained": True}))

    async def _serve_quarantines(self, request: HttpRequest) -> HttpResponse:
        now_ms = self._clock.now_ms()
        entries = [
            {
                "fingerprint": item.fingerprint,
                "replica_names": sorted(item.replica_names),
                "expires_in_ms": item.expires_ms - now_ms,
                "is_refused": self._quarantine.is_quarantined(item.fingerprint, now_ms),
            }
            for item in self._quarantine.suspicions(now_ms)
        ]
        return HttpResponse(200, dict(_JSON), encode_json({"quarantines": entries}))

    async def _serve_lift(self, request: HttpRequest) -> HttpResponse:
        fingerprint = parse_qs(request.query).get("fingerprint", [""])[0]
        if not fingerprint:
            reason = "the query string has no fingerprint"
            return encode_outcome(INVALID_REQUEST.because(reason))
        lifted = self._quarantine.lift(fingerprint)
        return HttpResponse(200, dict(_JSON), encode_json({"lifted": lifted}))
