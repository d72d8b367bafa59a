"""Peer transport port on gRPC."""

from collections.abc import Awaitable
from typing import TypeVar

import grpc
import grpc.aio

from chestnuthall.adapters.peers._convert import digest_from_proto, digest_to_proto
from chestnuthall.adapters.peers._generated import peers_pb2 as pb
from chestnuthall.adapters.peers._generated import peers_pb2_grpc as pb_grpc
from chestnuthall.core.results import CALL_TIMED_OUT, CONNECTION_LOST, Failure
from chestnuthall.ports import PeerConfiguration, PeerDigest

T = TypeVar("T")

# The reconnect backoff of gRPC grows to two minutes by default; a peer that
# was restarted has to be found again within the probe interval.
_CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_http_proxy", 0),
)


class GrpcPeerTransport:
    """Calls peers over one channel for each address."""

    def __init__(self) -> None:
        self._channels: dict[str, grpc.aio.Channel] = {}

    def _stub(self, address: str) -> pb_grpc.PeerServiceStub:
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=_CHANNEL_OPTIONS)
            self._channels[address] = channel
        return pb_grpc.PeerServiceStub(channel)

    async def exchange(
        self, address: str, digest: PeerDigest, timeout_ms: float
    ) -> PeerDigest | Failure:
        """Probe a peer and exchange digests."""
        call = self._stub(address).Exchange(
            digest_to_proto(digest), timeout=timeout_ms / 1000.0
        )
        answer = await _result_of(call)
        return answer if isinstance(answer, Failure) else digest_from_proto(answer)

    async def probe_for(
        self, address: str, target_address: str, timeout_ms: float
    ) -> bool | Failure:
        """Ask a peer to probe another one; return whether that one answered."""
        call = self._stub(address).ProbeFor(
            pb.ProbeForRequest(target_address=target_address),
            timeout=timeout_ms / 1000.0,
        )
        answer = await _result_of(call)
        return answer if isinstance(answer, Failure) else bool(answer.is_alive)

    async def fetch_configuration(
        self, address: str, timeout_ms: float
    ) -> PeerConfiguration | Failure:
        """Return the configuration that a peer has in force."""
        call = self._stub(address).FetchConfiguration(
            pb.FetchConfigurationRequest(), timeout=timeout_ms / 1000.0
        )
        answer = await _result_of(call)
        if isinstance(answer, Failure):
            return answer
        return PeerConfiguration(
            answer.environment, answer.revision, answer.digest, answer.text
        )

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()


async def _result_of(call: Awaitable[T]) -> T | Failure:
    try:
        return await call
    except grpc.aio.AioRpcError as error:
        if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            return CALL_TIMED_OUT.because("the peer did not answer in time")
        return CONNECTION_LOST.because(f"peer call failed: {error.code().name}")
