"""An HTTP/1.1 server with limits on headers, bodies and connections."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

from chestnuthall.adapters.http._messages import (
    DropConnection,
    HttpRequest,
    HttpResponse,
)
from chestnuthall.adapters.http._reception import REQUESTS, ReceptionBudget

_log = logging.getLogger(__name__)

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
ErrorResponder = Callable[[int, str], HttpResponse]
OutputFilter = Callable[[HttpResponse, bytes], tuple[bytes, bool]]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerLimits:
    """Limits that protect a server from its clients.

    ``idle_timeout_ms`` also limits the time in which a complete request has to
    arrive, and ``header_timeout_ms`` the time for its head alone. ``accept_delay_ms``
    is the cost of a new connection in emulators. With ``cancels_at_eof``, the end
    of a client's stream cancels its running request; otherwise the request is
    still answered.
    """

    n_header_bytes_max: int = 16 * 1024
    n_body_bytes_max: int = 1024 * 1024
    n_connections_max: int = 1024
    idle_timeout_ms: float = 75_000.0
    accept_delay_ms: float = 0.0
    header_timeout_ms: float | None = None
    cancels_at_eof: bool = False


def _plain_error(status: int, reason: str) -> HttpResponse:
    return HttpResponse(status, {b"content-type": b"text/plain"}, reason.encode())


class HttpServer:
    """Listens on one address and passes complete requests to a handler.

    An ``output_filter`` receives each response with its encoded bytes and returns
    the bytes to write and whether to close the connection after them; emulators
    use it to inject faulty responses.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        error_responder: ErrorResponder = _plain_error,
        output_filter: OutputFilter | None = None,
        reception: ReceptionBudget = REQUESTS,
    ) -> None:
        self.reception = reception
        self.handler = handler
        self.output_filter = output_filter
        self.limits = limits or ServerLimits()
        self.error_responder = error_responder
        self.is_closing = False
        self._has_stopped = False
        # While this is set, each connection is closed after its next response.
        self.closes_connections = False
        self.n_connections_peak = 0
        self._connections: set[_ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._activity_ended = asyncio.Event()

    async def start(self, host: str, port: int) -> int:
        """Start listening; return the port, which the system chooses for port 0."""
        loop = asyncio.get_running_loop()
        self.is_closing = self._has_stopped = False
        self._server = await loop.create_server(
            lambda: _ServerConnection(self), host, port, backlog=1024
        )
        port_bound: int = self._server.sockets[0].getsockname()[1]
        return port_bound

    @property
    def is_listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._server is not None and self._server.is_serving()

    @property
    def n_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def add(self, connection: "_ServerConnection") -> bool:
        """Register a new connection; return False if it has to be closed.

        The event loop may still hand over a connection that it accepted before the
        server stopped listening, after the others have been counted.
        """
        if self._has_stopped:
            return False
        if len(self._connections) >= self.limits.n_connections_max:
            return False
        self._connections.add(connection)
        self.n_connections_peak = max(self.n_connections_peak, self.n_connections)
        return True

    def discard(self, connection: "_ServerConnection") -> None:
        """Unregister a closed connection."""
        self._connections.discard(connection)
        self._activity_ended.set()

    def on_request_completed(self) -> None:
        """Wake ``wait_closed`` after a request has completed."""
        self._activity_ended.set()

    def announce_close(self) -> None:
        """Close each connection after its next response."""
        self.is_closing = True

    async def stop_listening(self) -> None:
        """Accept no further connections and close the idle ones."""
        self.announce_close()
        self._has_stopped = True
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.close_if_idle()

    async def wait_closed(self, linger_ms: float) -> None:
        """Wait for all running requests, then for the other connections to close.

        Other connections are those with a response that a slow client has not read
        yet, or with a request that has only partly arrived. Gives up on them after
        ``linger_ms`` in which none was closed.
        """
        while self._connections:
            self._activity_ended.clear()
            is_serving = any(item.is_serving for item in self._connections)
            timeout_s = None if is_serving else linger_ms / 1000.0
            try:
                async with asyncio.timeout(timeout_s):
                    await self._activity_ended.wait()
            except TimeoutError:
                return

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self.stop_listening()
        for connection in tuple(self._connections):
            connection.close()


class _ServerConnection(asyncio.Protocol):
    """One connection; responses are sent in the order of the requests."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.n_header_bytes_max
        )
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._n_body_bytes = 0
        self._n_pipelined_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._is_head_timer_running = False
        self._can_write = asyncio.Event()
        self._can_write.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._server.add(self):
            transport.abort()
            return
        self._start_idle_timer()
        delay_ms = self._server.limits.accept_delay_ms
        if delay_ms > 0.0:
            transport.pause_reading()
            loop = asyncio.get_running_loop()
            loop.call_later(delay_ms / 1000.0, self._resume_reading)

    def _resume_reading(self) -> None:
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the running request; called by the event loop."""
        self._server.discard(self)
        self._server.reception.release(self)
        self._stop_idle_timer()
        self._can_write.set()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Delay responses while the write buffer is full; called by the event loop."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Send delayed responses; called by the event loop."""
        self._can_write.set()

    def _start_idle_timer(self, timeout_ms: float | None = None) -> None:
        self._stop_idle_timer()
        loop = asyncio.get_running_loop()
        if timeout_ms is None:
            timeout_ms = self._server.limits.idle_timeout_ms
        self._idle_timer = loop.call_later(timeout_ms / 1000.0, self.close)

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def data_received(self, data: bytes) -> None:
        """Feed bytes to h11; called by the event loop."""
        if self._task is not None:
            self._limit_pipelining(len(data))
        try:
            self._h11.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def _limit_pipelining(self, n_bytes: int) -> None:
        """Pause reading if a client sends too much while its request is running."""
        self._n_pipelined_bytes += n_bytes
        if self._n_pipelined_bytes > self._server.limits.n_body_bytes_max:
            assert self._transport is not None
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Close the connection if it is idle; called by the event loop.

        A running request still gets its response, unless ``cancels_at_eof`` is set.
        """
        self._h11.receive_data(b"")
        if self._task is None or self._server.limits.cancels_at_eof:
            self.close()
        return True

    def _read_events(self) -> None:
        while self._task is None:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._limit_head_time()
                if self._n_body_bytes:
                    self._server.reception.hold(self, self._n_body_bytes)
                return
            if isinstance(event, h11.ConnectionClosed):
                self.close()
                return
            self._read_event(event)

    def _limit_head_time(self) -> None:
        """Limit the time for the rest of a head that has partly arrived."""
        timeout_ms = self._server.limits.header_timeout_ms
        is_partial = self._h11.their_state is h11.IDLE and self._h11.trailing_data[0]
        if timeout_ms is None or self._is_head_timer_running or not is_partial:
            return
        self._is_head_timer_running = True
        self._start_idle_timer(timeout_ms)

    def _read_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            if self._is_head_timer_running:
                self._is_head_timer_running = False
                self._start_idle_timer()
            if event.method == b"CONNECT":
                # A success would turn the connection into a tunnel.
                raise h11.RemoteProtocolError("CONNECT is not supported", 501)
            self._head = event
            self._body = []
            self._n_body_bytes = 0
            if self._h11.they_are_waiting_for_100_continue:
                self._send_continue()
        elif isinstance(event, h11.Data):
            self._body.append(bytes(event.data))
            self._n_body_bytes += len(event.data)
            if self._n_body_bytes > self._server.limits.n_body_bytes_max:
                raise h11.RemoteProtocolError("the request body is too large", 413)
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch_request()

    def drop_message(self, reason: str) -> None:
        """Refuse a request of which the body has arrived in part."""
        self._reject(503, reason)

    def _send_continue(self) -> None:
        assert self._transport is not None
        interim_response = h11.InformationalResponse(status_code=100, headers=[])
        self._transport.write(self._h11.send(interim_response) or b"")

    def _dispatch_request(self) -> None:
        assert self._head is not None
        self._server.reception.release(self)
        self._stop_idle_timer()
        request = HttpRequest(
            self._head.method.decode("ascii"),
            self._head.target.decode("ascii", "replace"),
            dict(self._head.headers),
            b"".join(self._body),
            tuple(self._head.headers),
        )
        self._body, self._n_body_bytes = [], 0
        self._task = asyncio.get_running_loop().create_task(self._serve(request))

    async def _serve(self, request: HttpRequest) -> None:
        try:
            response = await self._server.handler(request)
        except DropConnection:
            self._task = None
            self.close()
            return
        except Exception:
            _log.exception("request handler failed")
            response = self._server.error_responder(500, "internal error")
        await self._can_write.wait()
        self._task = None
        try:
            self._send(response)
            self._start_next_cycle()
        except Exception:
            # Open, the connection would leave the client waiting for a response.
            _log.exception("response cannot be sent")
            self.close()
        finally:
            self._server.on_request_completed()

    def _send(self, response: HttpResponse) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        try:
            head = self._make_head(response)
        except h11.LocalProtocolError as error:
            _log.warning(
                "response cannot be encoded",
                extra={"status": response.status, "reason": str(error)},
            )
            response = self._server.error_responder(500, "the response is invalid")
            head = self._make_head(response)
        data = self._h11.send(head) or b""
        is_head = self._head is not None and self._head.method == b"HEAD"
        if response.body and not is_head:
            data += self._h11.send(h11.Data(data=response.body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self._write(response, data)

    def _make_head(self, response: HttpResponse) -> h11.Response:
        """Return the head of a response; raises if HTTP has none like it."""
        headers = [
            *response.all_headers,
            (b"content-length", b"%d" % len(response.body)),
        ]
        if self._server.is_closing or self._server.closes_connections:
            headers.append((b"connection", b"close"))
        return h11.Response(status_code=response.status, headers=headers)

    def _write(self, response: HttpResponse, data: bytes) -> None:
        assert self._transport is not None
        must_close = False
        if self._server.output_filter is not None:
            data, must_close = self._server.output_filter(response, data)
        self._transport.write(data)
        if must_close:
            self._transport.close()

    def _start_next_cycle(self) -> None:
        if self._h11.our_state is not h11.DONE or (
            self._h11.their_state is not h11.DONE
        ):
            self.close()
            return
        self._h11.start_next_cycle()
        self._start_idle_timer()
        if self._n_pipelined_bytes:
            self._n_pipelined_bytes = 0
            self._resume_reading()
        try:
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def _reject(self, status: int, reason: str) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send(self._server.error_responder(status, reason))
        self.close()

    @property
    def is_serving(self) -> bool:
        """Whether a request is running or its response is waiting to be written."""
        return self._task is not None

    def close_if_idle(self) -> None:
        """Close the connection if it has no request in progress."""
        if self._task is None and self._h11.their_state is h11.IDLE:
            self.close()

    def close(self) -> None:
        """Close the connection once the written data has been sent."""
        self._stop_idle_timer()
        if self._transport is not None:
            self._transport.close()
