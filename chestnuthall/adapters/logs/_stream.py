"""A non-blocking text stream that loses lines while its pipe is full."""

import os
import select

# A writable pipe accepts at least this many bytes in one write without blocking.
N_PIPE_BYTES = 4096


class LossyStream:
    """Writes to a file descriptor only what it accepts without blocking.

    ``n_lost`` counts the writes that were lost because the pipe was full or closed.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.n_lost = 0

    def write(self, text: str) -> None:
        """Write a text, or count it as lost."""
        data = text.encode("utf-8", "replace")
        while data:
            if not self._is_writable():
                self.n_lost += 1
                return
            try:
                n_written = os.write(self._descriptor, data[:N_PIPE_BYTES])
            except OSError:
                # The reader has closed the pipe. An error of the log must not end
                # the process.
                self.n_lost += 1
                return
            data = data[n_written:]

    def _is_writable(self) -> bool:
        return any(
            events & select.POLLOUT and not events & select.POLLERR
            for _, events in self._poll.poll(0)
        )

    def flush(self) -> None:
        """Do nothing; writes are not buffered."""

    def pop_n_lost(self) -> int:
        """Return how many writes were lost since the last call; reset the count."""
        n_lost, self.n_lost = self.n_lost, 0
        return n_lost
