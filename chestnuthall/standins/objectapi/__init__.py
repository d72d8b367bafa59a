"""Emulator of the platform's object API."""

from chestnuthall.standins.objectapi._faults import StoreFaults
from chestnuthall.standins.objectapi._objects import ObjectTable, VersionConflict
from chestnuthall.standins.objectapi._server import ObjectApiServer

__all__ = ["ObjectApiServer", "ObjectTable", "StoreFaults", "VersionConflict"]
