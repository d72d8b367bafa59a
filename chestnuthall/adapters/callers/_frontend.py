"""Routes of the HTTP interface of an instance."""

from collections.abc import Awaitable, Callable, Mapping

from chestnuthall.adapters.callers._encode import encode_json, encode_outcome
from chestnuthall.adapters.callers._models import read_request
from chestnuthall.adapters.http import HttpRequest, HttpResponse
from chestnuthall.core.results import (
    BAD_HTTP,
    BODY_TOO_LARGE,
    INTERNAL_ERROR,
    NOT_FOUND,
    RATE_LIMITED,
    Failure,
)
from chestnuthall.ports import (
    Clock,
    ConfigurationReceiver,
    RequestHandler,
    RequestTracker,
)

StatusReader = Callable[[], dict[str, object]]
Route = Callable[[HttpRequest], Awaitable[HttpResponse]]

_JSON = {b"content-type": b"application/json"}


class CallerFrontend:
    """Dispatches HTTP requests to the services of an instance."""

    def __init__(
        self,
        *,
        query: RequestHandler,
        configuration: ConfigurationReceiver,
        lifecycle: RequestTracker,
        clock: Clock,
        is_ready: Callable[[], bool],
        read_status: StatusReader,
        admin_routes: Mapping[tuple[str, str], Route] | None = None,
    ) -> None:
        self._query = query
        self._configuration = configuration
        self._lifecycle = lifecycle
        self._clock = clock
        self._is_ready = is_ready
        self._read_status = read_status
        self._routes: dict[tuple[str, str], Route] = {
            ("POST", "/v1/search"): self._serve_request,
            ("POST", "/v1/lookup"): self._serve_request,
            ("POST", "/v1/mutate"): self._serve_request,
            ("GET", "/v1/health"): self._serve_health,
            ("GET", "/v1/admin/status"): self._serve_status,
            ("POST", "/v1/admin/configuration"): self._serve_configuration,
            **(admin_routes or {}),
        }

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve one HTTP request."""
        route = self._routes.get((request.method, request.path))
        if route is None:
            return encode_outcome(
                NOT_FOUND.with_reason(f"no such path: {request.path}")
            )
        return await route(request)

    async def _serve_request(self, http_request: HttpRequest) -> HttpResponse:
        request = read_request(
            http_request.path, http_request.body, self._clock.now_ms()
        )
        if isinstance(request, Failure):
            return encode_outcome(request)
        self._lifecycle.begin_request()
        try:
            return encode_outcome(await self._query.serve(request))
        finally:
            self._lifecycle.end_request()

    async def _serve_health(self, http_request: HttpRequest) -> HttpResponse:
        is_ready = self._is_ready() and not self._lifecycle.is_leaving
        body = {
            "ready": is_ready,
            "leaving": self._lifecycle.is_leaving,
            "configuration_revision": self._configuration.revision,
        }
        return HttpResponse(200 if is_ready else 503, dict(_JSON), encode_json(body))

    async def _serve_status(self, http_request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, dict(_JSON), encode_json(self._read_status()))

    async def _serve_configuration(self, http_request: HttpRequest) -> HttpResponse:
        decision = self._configuration.offer_text(
            http_request.body.decode("utf-8", "replace"), "operator"
        )
        if isinstance(decision, Failure):
            return encode_outcome(decision)
        body = {
            "decision": decision.value,
            "configuration_revision": self._configuration.revision,
        }
        return HttpResponse(200, dict(_JSON), encode_json(body))


def encode_http_error(status: int, reason: str) -> HttpResponse:
    """Return the response to a request that the HTTP server failed to serve."""
    if status == 413:
        return encode_outcome(BODY_TOO_LARGE.with_reason(reason))
    if status == 503:
        return encode_outcome(RATE_LIMITED.with_reason(reason))
    if status >= 500:
        return encode_outcome(INTERNAL_ERROR.with_reason(reason))
    return encode_outcome(BAD_HTTP.with_reason(reason))
