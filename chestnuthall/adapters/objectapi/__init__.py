"""The platform's object API over HTTP/1.1 with JSON."""

from chestnuthall.adapters.objectapi._client import HttpObjectStore

__all__ = ["HttpObjectStore"]
