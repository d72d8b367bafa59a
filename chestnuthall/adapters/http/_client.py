"""HTTP/1.1 client connection that carries one request at a time."""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass

from chestnuthall.adapters.http._messages import HttpRequest, HttpResponse
from chestnuthall.adapters.http._reception import RESPONSES, ReceptionBudget
from chestnuthall.adapters.http._responses import (
    ResponseError,
    ResponseParser,
    ResponseTest,
    encode_head,
)
from chestnuthall.adapters.http._writing import BodyWriter
from chestnuthall.core.results import (
    ANSWER_CUT,
    CONNECTION_LOST,
    CONNECTION_REFUSED,
    NO_REPLICA,
    Failure,
)

# Subtracted from the idle timeout that the server announces: the server starts it
# when it sends its last byte, before that byte is received here.
KEEP_ALIVE_MARGIN_S = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class TcpKeepAlive:
    """Settings of the TCP keepalive probes that detect an unresponsive peer."""

    idle_s: int
    interval_s: int
    n_probes: int

    def apply(self, connection: socket.socket) -> None:
        """Enable the probes, and the same total timeout for unacknowledged data."""
        tcp = socket.IPPROTO_TCP
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        connection.setsockopt(tcp, socket.TCP_KEEPIDLE, self.idle_s)
        connection.setsockopt(tcp, socket.TCP_KEEPINTVL, self.interval_s)
        connection.setsockopt(tcp, socket.TCP_KEEPCNT, self.n_probes)
        timeout_ms = 1000 * (self.idle_s + self.interval_s * self.n_probes)
        connection.setsockopt(tcp, socket.TCP_USER_TIMEOUT, timeout_ms)


def keep_alive_timeout_s(value: bytes | None) -> float | None:
    """Return the timeout in seconds of a ``Keep-Alive`` header, or None.

    Examples
    --------
    >>> keep_alive_timeout_s(b"timeout=5, max=100"), keep_alive_timeout_s(b"max=2")
    (5.0, None)
    """
    for parameter in (value or b"").split(b","):
        name, _, number = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None


ResponseCallback = Callable[[HttpResponse | Failure], None]


class ClientConnection(asyncio.Protocol):
    """A persistent HTTP/1.1 connection for successive requests."""

    def __init__(self, reception: ReceptionBudget = RESPONSES) -> None:
        self._reception = reception
        self._parser: ResponseParser | None = None
        self._transport: asyncio.Transport | None = None
        self._writer: BodyWriter | None = None
        self._on_response: ResponseCallback | None = None
        self._host = b""
        self._on_free: Callable[[], None] | None = None
        self._usable_until_s = float("inf")
        self.is_open = False
        self.idle_since_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._writer = BodyWriter(transport)
        peer = transport.get_extra_info("peername")
        self._host = f"{peer[0]}:{peer[1]}".encode()
        self.is_open = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request; called by the event loop."""
        self.is_open = False
        self._discard_parser()
        self._complete_request(CONNECTION_LOST.with_reason("the connection was closed"))

    def pause_writing(self) -> None:
        """Delay the rest of a long request; called by the event loop."""
        assert self._writer is not None
        self._writer.pause()

    def resume_writing(self) -> None:
        """Send the rest of a long request; called by the event loop."""
        assert self._writer is not None
        self._writer.resume()

    def eof_received(self) -> bool:
        """Complete a response delimited by EOF; called by the event loop."""
        if self._parser is not None:
            response = self._parser.feed_eof()
            if response is not None:
                self._finish_response(response)
        return False

    def data_received(self, data: bytes) -> None:
        """Feed bytes to the parser; called by the event loop."""
        if self._parser is None:
            # Unsolicited bytes, such as a duplicate response, would be read as
            # the response to the next request.
            self.close()
            return
        try:
            response = self._parser.feed(data)
        except ResponseError as error:
            self.close()
            self._complete_request(
                CONNECTION_LOST.with_reason(f"invalid response: {error}")
            )
            return
        if response is not None:
            self._finish_response(response)
        else:
            self._reception.hold(self, self._parser.n_held_bytes)

    def drop_message(self, reason: str) -> None:
        """Give up a response that has arrived in part; its sender is running."""
        self.close()
        self._complete_request(ANSWER_CUT.with_reason(reason))

    def _discard_parser(self) -> None:
        """Free what has been received of a response."""
        if self._parser is not None:
            self._parser.close()
            self._parser = None
        self._reception.release(self)

    def _finish_response(self, response: HttpResponse) -> None:
        assert self._parser is not None
        self._update_keep_alive(response.headers.get(b"keep-alive"))
        assert self._writer is not None
        # A request that has not been sent to its end cannot be followed by another.
        is_reusable = self._parser.is_reusable and not self._writer.has_unwritten
        self._discard_parser()
        if not is_reusable:
            self.close()
        self._complete_request(response)

    def _update_keep_alive(self, value: bytes | None) -> None:
        """Update the time until which the connection may be reused."""
        timeout_s = keep_alive_timeout_s(value)
        if timeout_s is None:
            self._usable_until_s = float("inf")
            return
        margin_s = min(KEEP_ALIVE_MARGIN_S, timeout_s / 2.0)
        now_s = asyncio.get_running_loop().time()
        self._usable_until_s = now_s + timeout_s - margin_s

    def _complete_request(self, result: HttpResponse | Failure) -> None:
        on_response, self._on_response = self._on_response, None
        if on_response is not None:
            on_response(result)
        on_free, self._on_free = self._on_free, None
        if on_free is not None:
            on_free()

    def call_when_free(self, callback: Callable[[], None]) -> None:
        """Call back once the pending request has completed or the connection is lost.

        Used after a request was cancelled: its late response has to be read
        before the connection can carry another request.
        """
        if self._on_response is None:
            callback()
        else:
            self._on_free = callback

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and free for a request."""
        return (
            self.is_open
            and self._on_response is None
            and asyncio.get_running_loop().time() < self._usable_until_s
            and self._transport is not None
            and not self._transport.is_closing()
        )

    def send(
        self, request: HttpRequest, is_foreign: ResponseTest | None = None
    ) -> "asyncio.Future[HttpResponse | Failure]":
        """Write a request and return the future of its response.

        Responses for which ``is_foreign`` is true are discarded.

        Cancelling the future leaves the connection busy until the response
        has been read.
        """
        assert self._transport is not None
        future: asyncio.Future[HttpResponse | Failure]
        future = asyncio.get_running_loop().create_future()

        def set_result(result: HttpResponse | Failure) -> None:
            if not future.done():
                future.set_result(result)

        self.send_with_callback(request, set_result, is_foreign)
        return future

    def send_with_callback(
        self,
        request: HttpRequest,
        on_response: "ResponseCallback",
        is_foreign: ResponseTest | None = None,
    ) -> None:
        """Write a request and call back with its response or a failure.

        The callback runs inside ``data_received``, which saves an iteration of the
        event loop for each response of a search over many shards.
        """
        assert self._writer is not None
        head = encode_head(request, self._host)
        self._parser = ResponseParser(request.method, is_foreign)
        self._on_response = on_response
        self._writer.write(head, request.body)

    async def request(self, request: HttpRequest) -> HttpResponse | Failure:
        """Send a request and wait for its complete response."""
        return await self.send(request)

    def close(self) -> None:
        """Close the connection; a pending request fails."""
        self.is_open = False
        self._discard_parser()
        if self._transport is not None and self._writer is not None:
            self._writer.discard()
            self._transport.close()


async def connect(
    address: str, timeout_ms: float, probes: TcpKeepAlive | None = None
) -> ClientConnection | Failure:
    """Open a connection to ``host:port``; nothing is written to it."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(max(0.0, timeout_ms) / 1000.0):
            transport, connection = await loop.create_connection(
                ClientConnection, host, int(port)
            )
        if probes is not None:
            probes.apply(transport.get_extra_info("socket"))
    except TimeoutError:
        return NO_REPLICA.with_reason(f"connecting to {address} timed out")
    except ConnectionRefusedError:
        return CONNECTION_REFUSED.with_reason(f"{address} refused the connection")
    except OSError as error:
        return NO_REPLICA.with_reason(f"cannot connect to {address}: {error.strerror}")
    except (ValueError, OverflowError) as error:
        return NO_REPLICA.with_reason(f"{address} is not an address: {error!s}")
    return connection
