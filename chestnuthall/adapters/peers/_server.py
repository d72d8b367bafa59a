"""gRPC server for the calls of peers."""

import grpc
import grpc.aio

from chestnuthall.adapters.peers._convert import digest_from_proto, digest_to_proto
from chestnuthall.adapters.peers._convert_shards import (
    answer_to_proto,
    call_from_proto,
)
from chestnuthall.adapters.peers._generated import peers_pb2 as pb
from chestnuthall.adapters.peers._generated import peers_pb2_grpc as pb_grpc
from chestnuthall.ports import PeerService


class _Servicer(pb_grpc.PeerServiceServicer):
    """Implements the peer service; method names are those of ``peers.proto``."""

    def __init__(self, service: PeerService) -> None:
        self._service = service

    async def Exchange(
        self, request: pb.PeerDigest, context: grpc.aio.ServicerContext
    ) -> pb.PeerDigest:
        answer = await self._service.receive(digest_from_proto(request))
        return digest_to_proto(answer)

    async def ProbeFor(
        self, request: pb.ProbeForRequest, context: grpc.aio.ServicerContext
    ) -> pb.ProbeForResponse:
        is_alive = await self._service.probe_indirectly(request.target_address)
        return pb.ProbeForResponse(is_alive=is_alive)

    async def FetchConfiguration(
        self, request: pb.FetchConfigurationRequest, context: grpc.aio.ServicerContext
    ) -> pb.FetchConfigurationResponse:
        configuration = self._service.configuration()
        if configuration is None:
            return pb.FetchConfigurationResponse()
        return pb.FetchConfigurationResponse(
            environment=configuration.environment,
            revision=configuration.revision,
            digest=configuration.digest,
            text=configuration.text,
        )

    async def QueryShards(
        self, request: pb.ShardSetCall, context: grpc.aio.ServicerContext
    ) -> pb.ShardSetAnswer:
        answer = await self._service.query_shards(call_from_proto(request))
        return answer_to_proto(request.call_id, answer)


class GrpcPeerServer:
    """Accepts the calls of peers on one address."""

    def __init__(self, service: PeerService) -> None:
        self._server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
        pb_grpc.add_PeerServiceServicer_to_server(_Servicer(service), self._server)

    async def start(self, address: str) -> int:
        """Listen on ``host:port``; return the port."""
        port = self._server.add_insecure_port(address)
        await self._server.start()
        return port

    async def close(self, grace_ms: float = 200.0) -> None:
        """Stop listening; running calls may complete within ``grace_ms``."""
        await self._server.stop(grace_ms / 1000.0)
