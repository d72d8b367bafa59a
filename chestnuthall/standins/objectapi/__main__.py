"""Runs the object API emulator as a process."""

import asyncio
from typing import Annotated

from cyclopts import Parameter, run

from chestnuthall.standins._process import serve_until_signal
from chestnuthall.standins.objectapi import ObjectApiServer


def main(
    *,
    host: str = "127.0.0.1",
    port: Annotated[int, Parameter(help="Port; 0 lets the system choose.")] = 0,
) -> None:
    """Serve the object API until SIGTERM."""
    server = ObjectApiServer()
    asyncio.run(serve_until_signal(server.start(host, port), server.close))


if __name__ == "__main__":
    run(main)
