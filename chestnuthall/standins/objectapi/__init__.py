"""Emulator of the platform's object API, over HTTP and in memory."""

from chestnuthall.standins.objectapi._faults import LostAnswer, Outage, StoreFaults
from chestnuthall.standins.objectapi._memory import MemoryObjectStore
from chestnuthall.standins.objectapi._objects import ObjectTable, VersionConflict
from chestnuthall.standins.objectapi._server import ObjectApiServer
from chestnuthall.standins.objectapi._service import ObjectService

__all__ = [
    "LostAnswer",
    "MemoryObjectStore",
    "ObjectApiServer",
    "ObjectService",
    "ObjectTable",
    "Outage",
    "StoreFaults",
    "VersionConflict",
]
