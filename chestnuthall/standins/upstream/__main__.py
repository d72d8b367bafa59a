"""Runs the upstream emulator as a process."""

import asyncio

from cyclopts import run

from chestnuthall.adapters.http import ServerLimits
from chestnuthall.standins._process import serve_until_signal
from chestnuthall.standins.upstream import UpstreamBehaviour, UpstreamServer


def main(
    *,
    name: str,
    zone: str,
    host: str = "127.0.0.1",
    port: int = 0,
    n_slots: int = 3,
    service_ms: float = 5.0,
    n_connections_max: int = 1024,
    connect_cost_ms: float = 0.0,
    cold_start_ms: float = 0.0,
) -> None:
    """Serve one replica until SIGTERM; snapshots are set over HTTP."""
    behaviour = UpstreamBehaviour(
        n_slots=n_slots, service_ms=service_ms, cold_start_ms=cold_start_ms
    )
    limits = ServerLimits(
        n_connections_max=n_connections_max, accept_delay_ms=connect_cost_ms
    )
    server = UpstreamServer(name, zone, behaviour, limits)
    asyncio.run(serve_until_signal(server.start(host, port), server.close))


if __name__ == "__main__":
    run(main)
