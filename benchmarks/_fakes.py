"""In-memory object store and peer transport of the virtual fleet."""

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
    """Object store that lists the instances and discards all writes."""

    def __init__(self, clock: Clock, listed: Callable[[], tuple[str, ...]]) -> None:
        self._clock = clock
        self._listed = listed

    async def get(
        self, kind: str, name: str, timeout_ms: float
    ) -> StoredObject | Failure:
        """Report that the object does not exist."""
        return OBJECT_NOT_FOUND.with_reason(f"{kind}/{name}")

    async def list_kind(
        self, kind: str, timeout_ms: float
    ) -> tuple[StoredObject, ...] | Failure:
        """Return the listed instances, and nothing for other kinds."""
        await self._clock.sleep_ms(2.0)
        if kind != "instances":
            return ()
        return tuple(StoredObject(kind, name, 1, name) for name in self._listed())

    async def create(
        self, kind: str, name: str, value: str, timeout_ms: float
    ) -> StoredObject | Failure:
        """Accept a write and discard it."""
        return StoredObject(kind, name, 1, value)

    async def update(
        self, kind: str, name: str, value: str, version: int, timeout_ms: float
    ) -> StoredObject | Failure:
        """Accept a write and discard it."""
        return StoredObject(kind, name, version + 1, value)

    async def delete(
        self, kind: str, name: str, version: int, timeout_ms: float
    ) -> Failure | None:
        """Accept a deletion and discard it."""
        return None

    async def watch(
        self, kind: str, after_version: int, timeout_ms: float
    ) -> WatchBatch | Failure:
        """Return an empty batch once the timeout has passed."""
        await self._clock.sleep_ms(timeout_ms)
        return WatchBatch(after_version, ())


class DirectPeers:
    """Peer transport that calls the services of other instances directly."""

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
        """Exchange digests with a peer; an unavailable one costs the whole timeout."""
        await self._clock.sleep_ms(self._delay_ms)
        if address not in self._alive:
            await self._clock.sleep_ms(timeout_ms - self._delay_ms)
            return CONNECTION_LOST.with_reason("the peer did not answer")
        answer = await self._services[address].receive(digest)
        await self._clock.sleep_ms(self._delay_ms)
        return answer

    async def probe_indirectly(
        self, address: str, target_address: str, timeout_ms: float
    ) -> bool | Failure:
        """Request an indirect probe from a peer; return whether the target answered."""
        await self._clock.sleep_ms(self._delay_ms)
        if address not in self._alive:
            return CONNECTION_LOST.with_reason("the peer did not answer")
        return await self._services[address].probe_indirectly(target_address)

    async def fetch_configuration(
        self, address: str, timeout_ms: float
    ) -> PeerConfiguration | Failure:
        """Return the configuration that a peer has in force."""
        configuration = self._services[address].configuration()
        if configuration is None:
            return CONNECTION_LOST.with_reason("the peer has no configuration in force")
        return configuration


async def cancel_all(tasks: list["asyncio.Task[None]"]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
