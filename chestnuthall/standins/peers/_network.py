"""In-memory implementation of the peer transport port."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import TypeVar

from chestnuthall.core.fanout import PartialAnswer
from chestnuthall.core.results import CALL_TIMED_OUT, CONNECTION_LOST, Failure
from chestnuthall.ports import PeerConfiguration, PeerDigest, PeerService, ShardSetCall
from chestnuthall.standins.peers._hosts import Host

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class _Listener:
    service: PeerService
    host: Host


class PeerNetwork:
    """Connects the transports and services of a fleet by address.

    The delay of each message is drawn uniformly from ``delay_ms`` plus or minus
    ``jitter_ratio`` of it; a call takes one message in each direction. Calls
    whose messages are dropped time out; a call to an address without a listener
    is refused without waiting for the timeout.
    """

    def __init__(
        self, random: Random, delay_ms: float = 0.5, jitter_ratio: float = 0.5
    ) -> None:
        self.delay_ms = delay_ms
        self.n_messages = 0
        self._random = random
        self._jitter_ratio = jitter_ratio
        self._listeners: dict[str, _Listener] = {}
        self._dropped_links: set[tuple[str, str]] = set()
        self._extra_delays_ms: dict[str, float] = {}

    def listen(self, address: str, service: PeerService, host: Host) -> None:
        """Deliver calls to an address to a service."""
        self._listeners[address] = _Listener(service, host)

    def stop_listening(self, address: str) -> None:
        """Refuse further calls to an address."""
        self._listeners.pop(address, None)

    def transport(self, address: str, host: Host) -> "FakePeerTransport":
        """Return the transport of the instance at an address."""
        return FakePeerTransport(self, address, host)

    def drop_messages(self, sources: list[str], targets: list[str]) -> None:
        """Drop all messages from the sources to the targets, in this direction only."""
        self._dropped_links.update((a, b) for a in sources for b in targets)

    def drop_messages_both_ways(
        self, one_side: list[str], other_side: list[str]
    ) -> None:
        """Drop all messages between two sides."""
        self.drop_messages(one_side, other_side)
        self.drop_messages(other_side, one_side)

    def restore_messages(self) -> None:
        """Deliver messages between all addresses again."""
        self._dropped_links.clear()

    def set_extra_delay(self, address: str, extra_ms: float) -> None:
        """Add a delay to every message to or from an address."""
        self._extra_delays_ms[address] = extra_ms

    def listener(self, address: str) -> _Listener | None:
        """Return the listener on an address, or None."""
        return self._listeners.get(address)

    async def transmit(self, source: str, target: str) -> None:
        """Wait for the delay of one message, or forever if it is dropped."""
        self.n_messages += 1
        if (source, target) in self._dropped_links:
            await asyncio.Event().wait()
        jitter = self._random.uniform(-self._jitter_ratio, self._jitter_ratio)
        extra_ms = self._extra_delays_ms.get(source, 0.0)
        extra_ms += self._extra_delays_ms.get(target, 0.0)
        await asyncio.sleep((self.delay_ms * (1.0 + jitter) + extra_ms) / 1000.0)


class FakePeerTransport:
    """Peer transport of one instance."""

    def __init__(self, network: PeerNetwork, address: str, host: Host) -> None:
        self._network = network
        self._address = address
        self._host = host

    async def exchange(
        self, address: str, digest: PeerDigest, timeout_ms: float
    ) -> PeerDigest | Failure:
        """Probe a peer and exchange digests."""
        return await self._call(
            address, timeout_ms, lambda service: service.receive(digest)
        )

    async def probe_indirectly(
        self, address: str, target_address: str, timeout_ms: float
    ) -> bool | Failure:
        """Request an indirect probe from a peer; return whether the target answered."""
        return await self._call(
            address,
            timeout_ms,
            lambda service: service.probe_indirectly(target_address),
        )

    async def fetch_configuration(
        self, address: str, timeout_ms: float
    ) -> PeerConfiguration | Failure:
        """Return the configuration that a peer has in force."""

        async def fetch(service: PeerService) -> PeerConfiguration:
            return service.configuration() or PeerConfiguration("", 0, "", "")

        return await self._call(address, timeout_ms, fetch)

    async def query_shards(
        self, address: str, call: ShardSetCall, timeout_ms: float
    ) -> PartialAnswer | Failure:
        """Query a set of shards through a peer."""
        return await self._call(
            address, timeout_ms, lambda service: service.query_shards(call)
        )

    async def _call(
        self,
        address: str,
        timeout_ms: float,
        serve: Callable[[PeerService], Awaitable[T | Failure]],
    ) -> T | Failure:
        result: T | Failure
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                result = await self._deliver(address, serve)
        except TimeoutError:
            result = CALL_TIMED_OUT.with_reason("the peer did not answer in time")
        await self._host.wait_running()
        return result

    async def _deliver(
        self, address: str, serve: Callable[[PeerService], Awaitable[T | Failure]]
    ) -> T | Failure:
        await self._network.transmit(self._address, address)
        listener = self._network.listener(address)
        if listener is None:
            return CONNECTION_LOST.with_reason("no listener on the address")
        await listener.host.wait_running()
        answer = await serve(listener.service)
        await listener.host.wait_running()
        await self._network.transmit(address, self._address)
        return answer
