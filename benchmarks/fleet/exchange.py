"""Processor time and bytes of one exchange over gRPC, by digest size.

Run as ``python -m benchmarks.fleet.exchange``. Client and server share one process, so
the processor time covers both sides.
"""

import asyncio
import json
import time
from dataclasses import dataclass

from chestnuthall.adapters.peers import GrpcPeerServer, GrpcPeerTransport
from chestnuthall.core.membership import MembershipSettings
from chestnuthall.core.results import Failure
from chestnuthall.ports import MemberUpdate, PeerDigest

HOST = "127.0.0.1"
N_EXCHANGES = 400
N_COLD_EXCHANGES = 60
SIZES = (1, 6, 14, 50, 200)
# Records in a message while updates are always pending: the sender's own record, four
# updates and one record in rotation.
N_MEMBERS_FULL = 6
N_INSTANCES = 1_900


def make_digest(n_members: int) -> PeerDigest:
    """Return a digest with names and addresses of realistic length."""
    members = tuple(
        MemberUpdate(
            f"entry-{index + 1000}",
            f"10.20.30.{index % 256}:7001",
            "region-1-zone-a",
            "alive",
            1_760_000_000_000 + index,
        )
        for index in range(n_members)
    )
    return PeerDigest(
        sender="entry-1000",
        sender_address="10.20.30.40:7001",
        incarnation=1_760_000_000_000,
        configuration_revision=1_800,
        configuration_digest="ab" * 32,
        members=members,
    )


class EchoPeer:
    """Answers each digest with a prepared one of the same size."""

    def __init__(self, digest: PeerDigest) -> None:
        self.digest = digest

    async def receive(self, digest: PeerDigest) -> PeerDigest:
        """Return the prepared digest."""
        return self.digest


class ByteCountingProxy:
    """Forwards bytes between a client and a server, and counts them."""

    def __init__(self, target_port: int) -> None:
        self.n_bytes = 0
        self._target_port = target_port
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Start to listen on a free port and return it."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        upstream = await asyncio.open_connection(HOST, self._target_port)
        await asyncio.gather(
            self._copy(reader, upstream[1]), self._copy(upstream[0], writer)
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            self.n_bytes += len(data)
            writer.write(data)
        writer.close()

    async def close(self) -> None:
        """Stop listening."""
        self._server.close()


@dataclass(frozen=True, slots=True)
class ExchangeCost:
    """Cost of one exchange of two digests of the same size."""

    n_members: int
    cpu_us_warm: float
    cpu_us_cold: float
    n_bytes_warm: float
    n_bytes_cold: float


async def _exchange(transport: GrpcPeerTransport, port: int, item: PeerDigest) -> None:
    result = await transport.exchange(f"{HOST}:{port}", item, 5_000.0)
    if isinstance(result, Failure):
        raise RuntimeError(result.reason)


async def _run_warm(port: int, digest: PeerDigest, n: int) -> float:
    """Return the processor time of one exchange on an open channel, in us."""
    transport = GrpcPeerTransport()
    for _ in range(20):
        await _exchange(transport, port, digest)
    started_s = time.process_time()
    for _ in range(n):
        await _exchange(transport, port, digest)
    elapsed_s = time.process_time() - started_s
    await transport.close()
    return elapsed_s / n * 1e6


async def _run_cold(port: int, digest: PeerDigest, n: int) -> float:
    """Return the processor time of one exchange on a new channel, in us."""
    started_s = time.process_time()
    for _ in range(n):
        transport = GrpcPeerTransport()
        await _exchange(transport, port, digest)
        await transport.close()
    return (time.process_time() - started_s) / n * 1e6


async def _count_bytes(port: int, digest: PeerDigest) -> tuple[float, float]:
    proxy = ByteCountingProxy(port)
    proxy_port = await proxy.start()
    transport = GrpcPeerTransport()
    for _ in range(20):
        await _exchange(transport, proxy_port, digest)
    before = proxy.n_bytes
    for _ in range(N_EXCHANGES):
        await _exchange(transport, proxy_port, digest)
    warm = (proxy.n_bytes - before) / N_EXCHANGES
    await transport.close()
    await asyncio.sleep(0.2)
    before = proxy.n_bytes
    await _run_cold(proxy_port, digest, N_COLD_EXCHANGES)
    await asyncio.sleep(0.2)
    cold = (proxy.n_bytes - before) / N_COLD_EXCHANGES
    await proxy.close()
    return warm, cold


async def measure(n_members: int) -> ExchangeCost:
    """Measure the cost of an exchange with digests of ``n_members`` records."""
    digest = make_digest(n_members)
    server = GrpcPeerServer(EchoPeer(digest))  # type: ignore[arg-type]
    port = await server.start(f"{HOST}:0")
    cpu_us_warm = await _run_warm(port, digest, N_EXCHANGES)
    cpu_us_cold = await _run_cold(port, digest, N_COLD_EXCHANGES)
    warm, cold = await _count_bytes(port, digest)
    await server.close()
    return ExchangeCost(n_members, cpu_us_warm, cpu_us_cold, warm, cold)


def _estimate_at_design_size(cost: ExchangeCost) -> dict[str, float]:
    """Return the control traffic of one instance in a fleet of 1,900.

    An instance takes part in two exchanges per interval, one as prober and one as
    target, and almost every exchange opens a new channel.
    """
    interval_s = MembershipSettings().interval_ms(N_INSTANCES) / 1000.0
    return {
        "interval_s": interval_s,
        "sent_and_received_bytes_per_s": 2 * cost.n_bytes_cold / interval_s,
        "sent_bytes_per_s": cost.n_bytes_cold / interval_s,
        "cpu_ratio": cost.cpu_us_cold / 1e6 / interval_s,
    }


async def main() -> None:
    """Measure all digest sizes and print the results as JSON."""
    costs = [await measure(n_members) for n_members in SIZES]
    loaded = next(cost for cost in costs if cost.n_members == N_MEMBERS_FULL)
    fields = ExchangeCost.__slots__
    rows = [{name: round(getattr(cost, name), 1) for name in fields} for cost in costs]
    estimate = {
        key: round(value, 5) for key, value in _estimate_at_design_size(loaded).items()
    }
    print(json.dumps({"exchange": rows, "at_1900_instances": estimate}, indent=1))


if __name__ == "__main__":
    asyncio.run(main())
