"""A loopback proxy that delays, blocks or resets the connections through it."""

import asyncio
import socket
import struct
from enum import Enum

N_CHUNK_BYTES = 65_536


class Mode(Enum):
    """How bytes are forwarded.

    ``SILENT`` blocks both directions, ``ONE_WAY`` only that from the target.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"


class FaultProxy:
    """Forwards connections to a local port, according to its mode."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.mode = Mode.PASS
        self.delay_s = 0.05
        self.port = 0
        self._writers = set()
        self._tasks = set()
        self._server = None
        self._is_passing = asyncio.Event()
        self._is_passing.set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def set_mode(self, mode):
        """Set the mode of open and new connections."""
        self.mode = mode
        if mode in (Mode.PASS, Mode.DELAY):
            self._is_passing.set()
        else:
            self._is_passing.clear()

    def reset_all(self):
        """Reset every open connection."""
        for writer in tuple(self._writers):
            sock = writer.get_extra_info("socket")
            # The descriptor of a connection that is already closed is -1.
            if sock is not None and sock.fileno() >= 0:
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
        except OSError:
            writer.close()
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, is_towards_target=True),
                self._forward(target_reader, writer, is_towards_target=False),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for end in (writer, target_writer):
                self._writers.discard(end)
                end.close()
            self._tasks.discard(task)

    async def _forward(self, reader, writer, is_towards_target):
        while data := await reader.read(N_CHUNK_BYTES):
            if self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            is_blocked = self.mode is Mode.SILENT or (
                self.mode is Mode.ONE_WAY and not is_towards_target
            )
            if is_blocked:
                await self._is_passing.wait()
            writer.write(data)
            await writer.drain()
        writer.close()

    async def close(self):
        self._server.close()
        self._is_passing.set()
        for writer in tuple(self._writers):
            writer.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
