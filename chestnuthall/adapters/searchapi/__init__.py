"""The product's own protocol for upstreams; see ``docs/upstream-interface.md``."""

from chestnuthall.adapters.searchapi._caller import SearchCaller
from chestnuthall.adapters.searchapi._codec import (
    SearchCodec,
    encode_call,
    read_answer,
)

__all__ = ["SearchCaller", "SearchCodec", "encode_call", "read_answer"]
