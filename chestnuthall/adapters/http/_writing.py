"""Writing of long bodies without copies of what the other end has not taken."""

import asyncio

# Size of the pieces in which long bodies are written.
N_PIECE_BYTES = 64 * 1024


class BodyWriter:
    """Writes messages to one transport, long bodies in pieces.

    The event loop copies bytes that the kernel does not take at once, and the same
    body may go to many replicas. So the next piece is written only once the kernel
    has taken the last one. The owner passes on the calls with which the event loop
    pauses and resumes writing.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._unwritten = memoryview(b"")
        self.is_paused = False

    @property
    def has_unwritten(self) -> bool:
        """Whether pieces of a body are still to be written."""
        return len(self._unwritten) > 0

    @property
    def n_unsent_bytes(self) -> int:
        """Number of bytes that the kernel has not taken."""
        return len(self._unwritten) + self._transport.get_write_buffer_size()

    def write(self, head: bytes, body: bytes) -> None:
        """Write a message, or the beginning of a long one."""
        if len(body) <= N_PIECE_BYTES:
            self._transport.write(head + body)
            return
        # With this the event loop pauses writing for any bytes that are left.
        self._transport.set_write_buffer_limits(high=0)
        self._unwritten = memoryview(body)
        self._transport.write(head)
        self._write_pieces()

    def pause(self) -> None:
        """Note that the kernel has not taken all bytes."""
        self.is_paused = True

    def resume(self) -> None:
        """Continue once the kernel has taken all bytes."""
        self.is_paused = False
        self._write_pieces()

    def discard(self) -> None:
        """Write nothing more."""
        self._unwritten = memoryview(b"")

    def _write_pieces(self) -> None:
        while self._unwritten and not self.is_paused:
            if self._transport.is_closing():
                self.discard()
                return
            piece = self._unwritten[:N_PIECE_BYTES]
            self._unwritten = self._unwritten[N_PIECE_BYTES:]
            self._transport.write(piece)
