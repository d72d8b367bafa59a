"""The operators' interface of instances over HTTP/1.1, as a client."""

from chestnuthall.adapters.instances._client import HttpInstanceAdmin

__all__ = ["HttpInstanceAdmin"]
