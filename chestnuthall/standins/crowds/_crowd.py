"""Crowds of clients that break the rules of the protocol, and what they cost."""

import asyncio
import os
import socket
from collections.abc import Callable, Iterable
from pathlib import Path

from chestnuthall.standins.crowds._members import Sending

HOST = "127.0.0.1"
MB = 1024 * 1024
SAMPLE_INTERVAL_S = 0.02
# A crowd in which nothing was sent for this long has sent all that it can.
QUIET_S = 0.7
CROWD_TIMEOUT_S = 25.0


class ProcessWatch:
    """Samples of the memory and the sockets of a process that listens on some ports."""

    def __init__(
        self,
        pid: int,
        ports: Iterable[int],
        is_alive: Callable[[], bool],
        memory_mb: int,
        n_sockets_max: int,
    ) -> None:
        self._pid = pid
        self._ports = set(ports)
        self._is_alive = is_alive
        self._memory_mb = memory_mb
        self._n_sockets_max = n_sockets_max
        self.n_bytes_peak = 0
        self.n_unread_bytes_peak = 0
        self.n_sockets_peak = 0

    @property
    def is_alive(self) -> bool:
        """Whether the process is running."""
        return self._is_alive()

    def sample(self) -> None:
        """Measure memory, with the bytes that the kernel holds unread, and sockets."""
        if not self.is_alive:
            return
        n_unread_bytes = self._n_unread_bytes()
        self.n_unread_bytes_peak = max(self.n_unread_bytes_peak, n_unread_bytes)
        n_bytes = self._n_resident_bytes("VmRSS") + n_unread_bytes
        n_peak = max(n_bytes, self._n_resident_bytes("VmHWM"))
        self.n_bytes_peak = max(self.n_bytes_peak, n_peak)
        self.n_sockets_peak = max(self.n_sockets_peak, self._count_sockets())

    def _n_resident_bytes(self, field: str) -> int:
        for line in Path(f"/proc/{self._pid}/status").read_text().splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) * 1024
        return 0

    def _count_sockets(self) -> int:
        folder = f"/proc/{self._pid}/fd"
        n_sockets = 0
        for name in os.listdir(folder):
            try:
                n_sockets += os.readlink(f"{folder}/{name}").startswith("socket:")
            except FileNotFoundError:
                continue
        return n_sockets

    def _n_unread_bytes(self) -> int:
        """Sum the receive queues of the listeners' connections, accepted or not."""
        n_bytes = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            if int(local.partition(":")[2], 16) in self._ports and state != "0A":
                n_bytes += int(queues.partition(":")[2], 16)
        return n_bytes

    @property
    def exceeds_its_machine(self) -> bool:
        """Whether the process has ended or has gone beyond a bound."""
        return (
            not self.is_alive
            or self.n_bytes_peak > self._memory_mb * MB
            or self.n_sockets_peak > self._n_sockets_max
        )


class Member:
    """One client of a crowd, which sends what it can and reads nothing."""

    def __init__(self, sending: Sending) -> None:
        self._sending = sending
        self._socket: socket.socket | None = None
        self.n_sent_bytes = 0
        self.is_done = False

    async def connect(self, port: int) -> None:
        """Open the connection."""
        self._socket = socket.socket()
        self._socket.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(self._socket, (HOST, port))
        except OSError:
            self.is_done = True

    async def send(self) -> None:
        """Send as much as the process takes."""
        loop = asyncio.get_running_loop()
        try:
            for piece in self._sending.pieces():
                view = memoryview(piece)
                while view and not self.is_done:
                    n_sent = await self._send_some(loop, view)
                    self.n_sent_bytes += n_sent
                    view = view[n_sent:]
        except OSError:
            pass
        self.is_done = True

    async def _send_some(
        self, loop: asyncio.AbstractEventLoop, view: memoryview
    ) -> int:
        assert self._socket is not None
        try:
            return self._socket.send(view)
        except BlockingIOError:
            writable = loop.create_future()
            loop.add_writer(self._socket, _set_done, writable)
            try:
                await writable
            finally:
                loop.remove_writer(self._socket)
            return 0

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()


def _set_done(future: "asyncio.Future[None]") -> None:
    if not future.done():
        future.set_result(None)


class Crowd:
    """Members that all connect to one listener, and then all send at once."""

    def __init__(
        self, watch: ProcessWatch, port: int, sending: Sending, n_members: int
    ) -> None:
        self._process = watch
        self._port = port
        self._members = [Member(sending) for _ in range(n_members)]
        self._tasks: list[asyncio.Future[None]] = []

    async def act(self) -> None:
        """Connect and send until nothing more is taken; the connections stay open."""
        # A process that accepts no more connections leaves members waiting.
        connecting = [
            asyncio.ensure_future(member.connect(self._port))
            for member in self._members
        ]
        await self._watch(lambda: all(task.done() for task in connecting))
        for task in connecting:
            task.cancel()
        await asyncio.gather(*connecting, return_exceptions=True)
        self._tasks = [asyncio.ensure_future(x.send()) for x in self._members]
        await self._watch(lambda: all(member.is_done for member in self._members))

    async def _watch(self, has_ended: Callable[[], bool]) -> None:
        """Sample the process until the crowd is quiet or the process has failed."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + CROWD_TIMEOUT_S
        changed_s, last = loop.time(), None
        while loop.time() < ends_at_s and not self._process.exceeds_its_machine:
            self._process.sample()
            progress = (
                sum(x.n_sent_bytes for x in self._members),
                sum(x.is_done for x in self._members),
                has_ended(),
            )
            if progress != last:
                changed_s, last = loop.time(), progress
            if loop.time() - changed_s > QUIET_S:
                return
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def describe(self) -> str:
        """Return what the crowd did and what it cost, for the report of a failure."""
        process = self._process
        return (
            f"members done: {sum(x.is_done for x in self._members)}, "
            f"MB sent: {sum(x.n_sent_bytes for x in self._members) / MB:.1f}, "
            f"alive: {process.is_alive}, peak MB: {process.n_bytes_peak / MB:.1f}, "
            f"of these unread: {process.n_unread_bytes_peak / MB:.1f}, "
            f"sockets: {process.n_sockets_peak}"
        )

    async def leave(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for member in self._members:
            member.close()
