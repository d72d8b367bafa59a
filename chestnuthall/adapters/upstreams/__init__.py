"""Shard calls to upstream replicas over HTTP/1.1."""

from chestnuthall.adapters.upstreams._caller import HttpShardCaller
from chestnuthall.adapters.upstreams._codec import UpstreamCodec
from chestnuthall.adapters.upstreams._wire import encode_call, read_answer

__all__ = ["HttpShardCaller", "UpstreamCodec", "encode_call", "read_answer"]
