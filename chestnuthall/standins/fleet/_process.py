"""One process of a local fleet."""

import asyncio
import signal
import socket
import sys
from asyncio.subprocess import DEVNULL, Process
from pathlib import Path
from typing import IO

STOP_TIMEOUT_S = 10.0


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class ManagedProcess:
    """A Python module that runs as a process and is stopped by its process id."""

    def __init__(self, name: str, process: Process) -> None:
        self.name = name
        self._process = process

    @classmethod
    async def start(
        cls, name: str, module: str, arguments: list[str], log_path: Path | None
    ) -> "ManagedProcess":
        """Start ``python -m module``; its output goes to the log file."""
        log: IO[bytes] | int = DEVNULL if log_path is None else log_path.open("ab")
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, *arguments, stdout=log, stderr=log
        )
        if not isinstance(log, int):
            log.close()
        return cls(name, process)

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process is still running."""
        return self._process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is still running."""
        if self.is_running:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process exits; return its exit status."""
        return await self._process.wait()

    async def stop(self, number: signal.Signals = signal.SIGTERM) -> int:
        """Stop the process, by SIGKILL if it does not exit in time."""
        self.send_signal(number)
        try:
            return await asyncio.wait_for(self._process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self._process.wait()
