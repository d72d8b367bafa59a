"""Calls to upstream replicas over HTTP/1.1."""

from chestnuthall.adapters.upstreams._caller import HttpShardCaller
from chestnuthall.adapters.upstreams._codec import UpstreamCodec

__all__ = ["HttpShardCaller", "UpstreamCodec"]
