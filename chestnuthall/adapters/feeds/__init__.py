"""Transfer of store objects between instances over HTTP."""

from chestnuthall.adapters.feeds._client import HttpFeedClient
from chestnuthall.adapters.feeds._server import FeedHandler

__all__ = ["FeedHandler", "HttpFeedClient"]
