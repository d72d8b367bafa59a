"""Peer transport port over gRPC."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import grpc
import grpc.aio

from chestnuthall.adapters.peers._channels import N_CHANNELS_MAX, ChannelCache
from chestnuthall.adapters.peers._convert import digest_from_proto, digest_to_proto
from chestnuthall.adapters.peers._convert_shards import (
    answer_from_proto,
    call_to_proto,
)
from chestnuthall.adapters.peers._generated import peers_pb2 as pb
from chestnuthall.adapters.peers._generated import peers_pb2_grpc as pb_grpc
from chestnuthall.core.fanout import PartialAnswer
from chestnuthall.core.results import (
    CALL_MISMATCH,
    CALL_TIMED_OUT,
    CONNECTION_LOST,
    Failure,
)
from chestnuthall.ports import PeerConfiguration, PeerDigest, ShardSetCall

T = TypeVar("T")
StartCall = Callable[[pb_grpc.PeerServiceStub], Awaitable[T]]


class GrpcPeerTransport:
    """Calls peers over one channel for each address."""

    def __init__(self, n_channels_max: int = N_CHANNELS_MAX) -> None:
        self._channels = ChannelCache(n_channels_max)

    async def exchange(
        self, address: str, digest: PeerDigest, timeout_ms: float
    ) -> PeerDigest | Failure:
        """Probe a peer and exchange digests."""
        message = digest_to_proto(digest)
        answer = await self._call(
            address, lambda stub: stub.Exchange(message, timeout=timeout_ms / 1000.0)
        )
        return answer if isinstance(answer, Failure) else digest_from_proto(answer)

    async def probe_indirectly(
        self, address: str, target_address: str, timeout_ms: float
    ) -> bool | Failure:
        """Request an indirect probe by a peer; return whether the target answered."""
        message = pb.ProbeForRequest(target_address=target_address)
        answer = await self._call(
            address, lambda stub: stub.ProbeFor(message, timeout=timeout_ms / 1000.0)
        )
        return answer if isinstance(answer, Failure) else bool(answer.is_alive)

    async def fetch_configuration(
        self, address: str, timeout_ms: float
    ) -> PeerConfiguration | Failure:
        """Return the configuration that a peer has in force."""
        message = pb.FetchConfigurationRequest()
        answer = await self._call(
            address,
            lambda stub: stub.FetchConfiguration(message, timeout=timeout_ms / 1000.0),
        )
        if isinstance(answer, Failure):
            return answer
        return PeerConfiguration(
            answer.environment, answer.revision, answer.digest, answer.text
        )

    async def query_shards(
        self, address: str, call: ShardSetCall, timeout_ms: float
    ) -> PartialAnswer | Failure:
        """Query a set of shards through a peer."""
        message = call_to_proto(call)
        answer = await self._call(
            address,
            lambda stub: stub.QueryShards(message, timeout=timeout_ms / 1000.0),
        )
        if isinstance(answer, Failure):
            return answer
        if answer.call_id != call.call_id:
            return CALL_MISMATCH.with_reason("the answer echoes another call id")
        return answer_from_proto(answer)

    async def _call(self, address: str, start: StartCall[T]) -> T | Failure:
        with self._channels.channel(address) as channel:
            try:
                return await start(pb_grpc.PeerServiceStub(channel))
            except grpc.aio.AioRpcError as error:
                return _failure_from_error(error)

    async def close(self) -> None:
        """Close all channels."""
        await self._channels.close()


def _failure_from_error(error: grpc.aio.AioRpcError) -> Failure:
    if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
        return CALL_TIMED_OUT.with_reason("the peer did not answer in time")
    return CONNECTION_LOST.with_reason(f"peer call failed: {error.code().name}")
