"""Objects of the store that instances hand one another, over HTTP."""

from chestnuthall.adapters.feeds._client import HttpPeerFeeds
from chestnuthall.adapters.feeds._server import FeedFrontend

__all__ = ["FeedFrontend", "HttpPeerFeeds"]
