"""In-memory ports of the virtual fleet, besides upstreams."""

import asyncio
from collections.abc import Callable

from chestnuthall.core.results import (
    CONNECTION_LOST,
    OBJECT_NOT_FOUND,
    Failure,
)
from chestnuthall.ports import (
    Clock,
    PeerConfiguration,
    PeerDigest,
    PeerService,
    StoredObject,
    WatchBatch,
)


class FixedStore:
    """Object store that only lists the instances; it takes no writes."""

    def __init__(self, clock: Clock, listed: Callable[[], tuple[str, ...]]) -> None:
        self._clock = clock
        self._listed = listed

    async def get(
        self, kind: str, name: str, timeout_ms: float
    ) -> StoredObject | Failure:
        """Find nothing."""
        return OBJECT_NOT_FOUND.with_reason(f"{kind}/{name}")

    async def list_kind(
        self, kind: str, timeout_ms: float
    ) -> tuple[StoredObject, ...] | Failure:
        """List the instances."""
        await self._clock.sleep_ms(2.0)
        if kind != "instances":
            return ()
        return tuple(StoredObject(kind, name, 1, name) for name in self._listed())

    async def create(
        self, kind: str, name: str, value: str, timeout_ms: float
    ) -> StoredObject | Failure:
        """Accept and forget a write."""
        return StoredObject(kind, name, 1, value)

    async def update(
        self, kind: str, name: str, value: str, version: int, timeout_ms: float
    ) -> StoredObject | Failure:
        """Accept and forget a write."""
        return StoredObject(kind, name, version + 1, value)

    async def delete(
        self, kind: str, name: str, version: int, timeout_ms: float
    ) -> Failure | None:
        """Accept and forget a deletion."""
        return None

    async def watch(
        self, kind: str, after_version: int, timeout_ms: float
    ) -> WatchBatch | Failure:
        """Wait for the timeout; nothing changes."""
        await self._clock.sleep_ms(timeout_ms)
        return WatchBatch(after_version, ())


class DirectPeers:
    """Peer transport that calls the other instances' services directly."""

    def __init__(
        self,
        services: dict[str, PeerService],
        alive: set[str],
        clock: Clock,
        delay_ms: float,
    ) -> None:
        self._services = services
        self._alive = alive
        self._clock = clock
        self._delay_ms = delay_ms

    async def exchange(
        self, address: str, digest: PeerDigest, timeout_ms: float
    ) -> PeerDigest | Failure:
        """Probe a peer and exchange digests."""
        await self._clock.sleep_ms(self._delay_ms)
        if address not in self._alive:
            await self._clock.sleep_ms(timeout_ms - self._delay_ms)
            return CONNECTION_LOST.with_reason("no answer")
        answer = await self._services[address].receive(digest)
        await self._clock.sleep_ms(self._delay_ms)
        return answer

    async def probe_indirectly(
        self, address: str, target_address: str, timeout_ms: float
    ) -> bool | Failure:
        """Ask a peer to probe another one; return whether that one answered."""
        await self._clock.sleep_ms(self._delay_ms)
        if address not in self._alive:
            return CONNECTION_LOST.with_reason("no answer")
        return await self._services[address].probe_indirectly(target_address)

    async def fetch_configuration(
        self, address: str, timeout_ms: float
    ) -> PeerConfiguration | Failure:
        """Return the configuration that a peer has in force."""
        found = self._services[address].configuration()
        if found is None:
            return CONNECTION_LOST.with_reason("no configuration")
        return found


async def cancel_all(tasks: list["asyncio.Task[None]"]) -> None:
    """Cancel background tasks and wait for their end."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
