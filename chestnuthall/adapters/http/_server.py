"""An HTTP/1.1 server with limits on headers, bodies and connections."""

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

from chestnuthall.adapters.http._messages import (
    DropConnection,
    HttpRequest,
    HttpResponse,
)
from chestnuthall.adapters.http._reception import REQUESTS, ReceptionBudget
from chestnuthall.adapters.http._turns import Turns
from chestnuthall.adapters.http._writing import BodyWriter
from chestnuthall.core.intake import ConnectionState, connection_to_replace

_log = logging.getLogger(__name__)

# Buffers of the kernel for a connection. What has been received and not been read
# counts as memory of the process, and a client may fill the buffer while its last
# request runs.
RECEIVE_BUFFER_BYTES = 16 * 1024
SEND_BUFFER_BYTES = 64 * 1024
# Requests sent ahead of a response are read up to this size; then reading pauses.
N_AHEAD_BYTES_MAX = 16 * 1024
# Memory of a connection, of one whose kernel buffer may be full, of a running request
# and of each of its headers.
CONNECTION_BYTES = 8 * 1024
FULL_CONNECTION_BYTES = 48 * 1024
REQUEST_BYTES = 16 * 1024
HEADER_BYTES = 256
# Events of one connection that are handled before others have their turn.
N_EVENTS_PER_TURN = 16
N_BACKLOG_MAX = 1_024
_REFUSED_STATUS = 503

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

    ``limits_kernel_buffers`` bounds what the kernel holds for each connection. Once
    there are ``n_connections_max``, a new connection replaces the one whose last
    request ended the longest time ago. One that runs a request is replaced only if its
    client has sent the next one already.
    """

    n_header_bytes_max: int = 16 * 1024
    n_body_bytes_max: int = 1024 * 1024
    n_connections_max: int = 1024
    idle_timeout_ms: float = 75_000.0
    accept_delay_ms: float = 0.0
    header_timeout_ms: float | None = None
    cancels_at_eof: bool = False
    limits_kernel_buffers: bool = False


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
        self.turns = Turns()
        self.n_connections_replaced = 0
        self.n_requests_refused = 0
        # Ordered by the end of the last request, the earliest first.
        self._connections: dict[_ServerConnection, None] = {}
        self._server: asyncio.Server | None = None
        self._activity_ended = asyncio.Event()

    async def start(self, host: str, port: int) -> int:
        """Start listening; return the port, which the system chooses for port 0."""
        loop = asyncio.get_running_loop()
        self.is_closing = self._has_stopped = False
        self._server = await loop.create_server(
            lambda: _ServerConnection(self),
            host,
            port,
            # The event loop accepts as many connections as the backlog at once.
            backlog=min(N_BACKLOG_MAX, self.limits.n_connections_max),
            start_serving=False,
        )
        if self.limits.limits_kernel_buffers:
            for listener in self._server.sockets:
                # Connections inherit the sizes, which have to be set before they open.
                _set_buffer_sizes(listener)
        await self._server.start_serving()
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
            replaced = connection_to_replace(
                (item, item.state, item.has_requests_ahead)
                for item in self._connections
            )
            if replaced is None:
                return False
            self.n_connections_replaced += 1
            self.discard(replaced)
            replaced.give_up()
        self._connections[connection] = None
        self.n_connections_peak = max(self.n_connections_peak, self.n_connections)
        return True

    def discard(self, connection: "_ServerConnection") -> None:
        """Unregister a closed connection."""
        self._connections.pop(connection, None)
        self._activity_ended.set()

    def on_request_ended(self, connection: "_ServerConnection") -> None:
        """Note the end of the last request of a connection."""
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None

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
            is_serving = any(
                item.state is ConnectionState.RUNNING for item in self._connections
            )
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
    """One connection; responses are sent in the order of the requests.

    The next request is read only once the client has taken the last response, and
    reading pauses while a client sends requests ahead.
    """

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.n_header_bytes_max
        )
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._has_head_method = False
        self._body = bytearray()
        self._n_ahead_bytes = 0
        self._n_running_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._is_head_timer_running = False
        self._writer: BodyWriter | None = None
        self._must_close = False
        self._awaits_turn = False
        self._is_reading_paused = False

    @property
    def state(self) -> ConnectionState:
        """What the connection is doing."""
        if self._task is not None:
            return ConnectionState.RUNNING
        if self._writer is not None and self._writer.is_paused:
            return ConnectionState.SENDING
        return ConnectionState.RECEIVING

    @property
    def has_requests_ahead(self) -> bool:
        """Whether the client sent more while its request was running."""
        return len(self._h11.trailing_data[0]) > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._writer = BodyWriter(transport)
        if not self._server.add(self):
            transport.abort()
            return
        # Any response that the kernel does not take at once counts as unread.
        transport.set_write_buffer_limits(high=0)
        self._hold(CONNECTION_BYTES)
        self._start_idle_timer()
        delay_ms = self._server.limits.accept_delay_ms
        if delay_ms > 0.0:
            self._pause_reading()
            loop = asyncio.get_running_loop()
            loop.call_later(delay_ms / 1000.0, self._resume_reading)

    def _pause_reading(self) -> None:
        assert self._transport is not None
        self._is_reading_paused = True
        self._transport.pause_reading()

    def _resume_reading(self) -> None:
        transport = self._transport
        if not self._is_reading_paused or transport is None or transport.is_closing():
            return
        self._is_reading_paused = False
        transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the running request; called by the event loop."""
        self._server.discard(self)
        self._server.reception.release(self)
        self._stop_idle_timer()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Note that the client has not taken all bytes; called by the event loop."""
        assert self._writer is not None
        self._writer.pause()

    def resume_writing(self) -> None:
        """Continue once the client has taken all bytes; called by the event loop."""
        assert self._writer is not None
        self._writer.resume()
        if self._task is None:
            self._stop_idle_timer()
            self._continue()

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

    def _limit_sending_time(self) -> None:
        """Abort the connection once its client takes nothing for the idle timeout."""
        assert self._writer is not None
        self._stop_idle_timer()
        self._idle_timer = asyncio.get_running_loop().call_later(
            self._server.limits.idle_timeout_ms / 1000.0,
            self._check_sending,
            self._writer.n_unsent_bytes,
        )

    def _check_sending(self, n_unsent_bytes: int) -> None:
        assert self._transport is not None
        assert self._writer is not None
        if self._writer.n_unsent_bytes >= n_unsent_bytes:
            self._transport.abort()
        else:
            self._limit_sending_time()

    def data_received(self, data: bytes) -> None:
        """Feed bytes to h11; called by the event loop."""
        try:
            self._h11.receive_data(data)
            if self.state is ConnectionState.RECEIVING and not self._awaits_turn:
                self._read_events()
            else:
                self._limit_requests_ahead(len(data))
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def _limit_requests_ahead(self, n_bytes: int) -> None:
        """Pause reading if a client sends much ahead of its response.

        It resumes when all that was read has been served.
        """
        self._n_ahead_bytes += n_bytes
        if self._n_ahead_bytes > N_AHEAD_BYTES_MAX and not self._is_reading_paused:
            self._pause_reading()
            self._hold(self._n_bytes_held())

    def _n_bytes_held(self) -> int:
        """Return the memory of the connection while a request runs or is answered."""
        n_bytes = FULL_CONNECTION_BYTES if self._is_reading_paused else CONNECTION_BYTES
        if self._task is not None:
            return n_bytes + self._n_running_bytes
        assert self._writer is not None
        return n_bytes + len(self._body) + self._writer.n_unsent_bytes

    def _hold(self, n_bytes: int) -> None:
        self._server.reception.hold(self, n_bytes, self.state)

    def eof_received(self) -> bool:
        """Close the connection if it is idle; called by the event loop.

        A running request still gets its response, unless ``cancels_at_eof`` is set.
        """
        self._h11.receive_data(b"")
        has_request = self._task is not None or self._awaits_turn
        if not has_request or self._server.limits.cancels_at_eof:
            self.close()
        return True

    def _read_events(self) -> None:
        for _ in range(N_EVENTS_PER_TURN):
            if self.state is not ConnectionState.RECEIVING:
                return
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._wait_for_data()
                return
            if isinstance(event, h11.ConnectionClosed):
                self.close()
                return
            self._read_event(event)
        if self.state is ConnectionState.RECEIVING:
            self._await_turn()

    def _await_turn(self) -> None:
        self._awaits_turn = True
        self._server.turns.add(self._read_further)

    def _read_further(self) -> None:
        """Continue with what has been received."""
        self._awaits_turn = False
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def _wait_for_data(self) -> None:
        n_unread_bytes = len(self._h11.trailing_data[0])
        self._n_ahead_bytes = 0
        self._limit_head_time(n_unread_bytes)
        self._resume_reading()
        self._hold(CONNECTION_BYTES + len(self._body) + n_unread_bytes)

    def _limit_head_time(self, n_unread_bytes: int) -> None:
        """Limit the time for the rest of a head that has partly arrived."""
        timeout_ms = self._server.limits.header_timeout_ms
        is_partial = self._h11.their_state is h11.IDLE and n_unread_bytes > 0
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
            self._has_head_method = event.method == b"HEAD"
            self._body = bytearray()
            if self._h11.they_are_waiting_for_100_continue:
                self._send_continue()
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._server.limits.n_body_bytes_max:
                raise h11.RemoteProtocolError("the request body is too large", 413)
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch_request()

    def drop_message(self, reason: str) -> None:
        """Refuse a request of which the body has arrived in part, or close."""
        if (
            self.state is ConnectionState.RECEIVING
            and self._h11.their_state is h11.SEND_BODY
        ):
            self._server.n_requests_refused += 1
            self._reject(_REFUSED_STATUS, reason)
        else:
            self.give_up()

    def _send_continue(self) -> None:
        assert self._transport is not None
        interim_response = h11.InformationalResponse(status_code=100, headers=[])
        self._transport.write(self._h11.send(interim_response) or b"")

    def _dispatch_request(self) -> None:
        assert self._head is not None
        self._stop_idle_timer()
        request = HttpRequest(
            self._head.method.decode("ascii"),
            self._head.target.decode("ascii", "replace"),
            dict(self._head.headers),
            bytes(self._body),
            tuple(self._head.headers),
        )
        self._head = None
        self._body = bytearray()
        self._n_running_bytes = _n_bytes_of(request)
        handler = self._server.handler
        if not self._server.reception.may_run(self, self._n_running_bytes):
            self._server.n_requests_refused += 1
            self._n_running_bytes = 0
            handler = self._refuse
        self._task = asyncio.get_running_loop().create_task(
            self._serve(handler, request)
        )
        self._hold(self._n_bytes_held())

    async def _refuse(self, request: HttpRequest) -> HttpResponse:
        """Answer a request that has not run, since others hold the memory for it."""
        return self._server.error_responder(
            _REFUSED_STATUS, "too many requests are running"
        )

    async def _serve(self, handler: Handler, request: HttpRequest) -> None:
        try:
            response = await handler(request)
        except DropConnection:
            self._task = None
            self.close()
            return
        except Exception:
            _log.exception("request handler failed")
            response = self._server.error_responder(500, "internal error")
        self._task = None
        try:
            self._send(response)
            self._continue()
        except Exception:
            # Open, the connection would leave the client waiting for a response.
            _log.exception("response cannot be sent")
            self.close()
        finally:
            self._server.on_request_completed()

    def _continue(self) -> None:
        """Go on after bytes were written, now or once the client has taken them."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self.state is ConnectionState.SENDING:
            self._limit_sending_time()
            self._hold(self._n_bytes_held())
        elif self._must_close:
            self.close()
        elif self._h11.our_state is h11.SEND_RESPONSE:
            # An interim response was taken; the request has not arrived yet.
            self._start_idle_timer()
            self._read_further()
        else:
            self._start_next_cycle()

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
        if response.body and not self._has_head_method:
            # The body has the announced length, so it is sent as it is.
            self._h11.send_with_data_passthrough(h11.Data(data=response.body))
            body = response.body
        else:
            body = b""
        self._h11.send(h11.EndOfMessage())
        self._write(response, data, body)

    def _make_head(self, response: HttpResponse) -> h11.Response:
        """Return the head of a response; raises if HTTP has none like it."""
        headers = [
            *response.all_headers,
            (b"content-length", b"%d" % len(response.body)),
        ]
        if self._server.is_closing or self._server.closes_connections:
            headers.append((b"connection", b"close"))
        return h11.Response(status_code=response.status, headers=headers)

    def _write(self, response: HttpResponse, head: bytes, body: bytes) -> None:
        """Write a response; a long body follows in pieces, as the client takes them."""
        assert self._transport is not None
        assert self._writer is not None
        must_close = False
        if self._server.output_filter is not None:
            data, must_close = self._server.output_filter(response, head + body)
            self._transport.write(data)
        else:
            self._writer.write(head, body)
        if must_close:
            self._transport.close()

    def _start_next_cycle(self) -> None:
        if self._h11.our_state is not h11.DONE or (
            self._h11.their_state is not h11.DONE
        ):
            self.close()
            return
        self._h11.start_next_cycle()
        self._server.on_request_ended(self)
        self._start_idle_timer()
        if self.has_requests_ahead:
            self._await_turn()
        else:
            self._read_further()

    def _reject(self, status: int, reason: str) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._body = bytearray()
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send(self._server.error_responder(status, reason))
        self.close()

    def close_if_idle(self) -> None:
        """Close the connection if it has no request in progress.

        A response is sent to its end first.
        """
        if self.state is ConnectionState.SENDING or (
            self._task is None and self._h11.their_state is h11.IDLE
        ):
            self.close()

    def give_up(self) -> None:
        """Close the connection without waiting for its client to read."""
        is_sending = self.state is ConnectionState.SENDING
        if is_sending and self._transport is not None:
            self._transport.abort()
        else:
            self.close()

    def close(self) -> None:
        """Close the connection once the client has taken its response."""
        self._stop_idle_timer()
        transport = self._transport
        if transport is None:
            return
        is_sending = self.state is ConnectionState.SENDING
        if self._writer is not None and self._writer.has_unwritten:
            self._must_close = True
        else:
            transport.close()
        if is_sending:
            self._limit_sending_time()


def _n_bytes_of(request: HttpRequest) -> int:
    """Estimate the memory of a request while it runs."""
    pairs = request.all_headers
    n_head_bytes = len(request.target) + sum(len(n) + len(v) for n, v in pairs)
    return REQUEST_BYTES + n_head_bytes + HEADER_BYTES * len(pairs) + len(request.body)


def _set_buffer_sizes(listener: asyncio.trsock.TransportSocket) -> None:
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
