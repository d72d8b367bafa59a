"""Cache of a bounded number of gRPC channels."""

import asyncio
from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import grpc.aio

# The reconnect backoff of gRPC grows to two minutes by default; a restarted
# peer has to be reachable again within the probe interval.
_CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_http_proxy", 0),
    # By default, channels to one address share a connection, even after one of
    # them was closed and its peer was replaced.
    ("grpc.use_local_subchannel_pool", 1),
)
# A channel takes tens of kilobytes of memory; with one to each of 1,900 peers
# an instance would exceed its limit of 64 MB.
N_CHANNELS_MAX = 64


@dataclass(slots=True)
class _CachedChannel:
    channel: grpc.aio.Channel
    n_running: int = 0


class ChannelCache:
    """Channels by address; the least recently used idle one is closed first."""

    def __init__(self, n_channels_max: int = N_CHANNELS_MAX) -> None:
        self._n_channels_max = n_channels_max
        self._entries: OrderedDict[str, _CachedChannel] = OrderedDict()
        self._closing: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._entries)

    @contextmanager
    def channel(self, address: str) -> Iterator[grpc.aio.Channel]:
        """Provide the channel to an address for the duration of one call."""
        entry = self._entries.get(address)
        if entry is None:
            channel = grpc.aio.insecure_channel(address, options=_CHANNEL_OPTIONS)
            entry = self._entries[address] = _CachedChannel(channel)
        self._entries.move_to_end(address)
        entry.n_running += 1
        self._close_surplus()
        try:
            yield entry.channel
        finally:
            entry.n_running -= 1

    def _close_surplus(self) -> None:
        n_surplus = len(self._entries) - self._n_channels_max
        if n_surplus <= 0:
            return
        idle = [key for key, item in self._entries.items() if item.n_running == 0]
        for address in idle[:n_surplus]:
            channel = self._entries.pop(address).channel
            task = asyncio.get_running_loop().create_task(channel.close())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close all channels."""
        for entry in self._entries.values():
            await entry.channel.close()
        self._entries.clear()
        await asyncio.gather(*self._closing, return_exceptions=True)
