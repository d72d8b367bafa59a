"""The product's own protocol for upstreams; see ``docs/upstream-interface.md``."""

from chestnuthall.adapters.searchapi._caller import SearchCaller
from chestnuthall.adapters.searchapi._codec import (
    SearchCodec,
    decode_answer,
    encode_call,
)

__all__ = ["SearchCaller", "SearchCodec", "encode_call", "decode_answer"]
