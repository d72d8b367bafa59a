"""Communication between entry instances over gRPC."""

from chestnuthall.adapters.peers._client import GrpcPeerTransport
from chestnuthall.adapters.peers._server import GrpcPeerServer

__all__ = ["GrpcPeerServer", "GrpcPeerTransport"]
