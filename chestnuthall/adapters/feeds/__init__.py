"""Transfer of store objects between instances over HTTP."""

from chestnuthall.adapters.feeds._client import HttpPeerFeeds
from chestnuthall.adapters.feeds._server import FeedFrontend

__all__ = ["FeedFrontend", "HttpPeerFeeds"]
