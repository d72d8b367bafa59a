"""HTTP/1.1 through h11 on asyncio protocols, for clients and servers."""

from chestnuthall.adapters.http._client import (
    ClientConnection,
    TcpKeepAlive,
    connect,
)
from chestnuthall.adapters.http._messages import (
    DropConnection,
    HeaderPairs,
    HttpRequest,
    HttpResponse,
)
from chestnuthall.adapters.http._pool import ConnectionPool, PoolSettings
from chestnuthall.adapters.http._reception import RESPONSES, ReceptionBudget
from chestnuthall.adapters.http._responses import ResponseTest
from chestnuthall.adapters.http._server import Handler, HttpServer, ServerLimits

__all__ = [
    "ClientConnection",
    "ConnectionPool",
    "DropConnection",
    "Handler",
    "HeaderPairs",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "TcpKeepAlive",
    "PoolSettings",
    "RESPONSES",
    "ReceptionBudget",
    "ResponseTest",
    "ServerLimits",
    "connect",
]
