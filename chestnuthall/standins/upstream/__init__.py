"""Emulator of one upstream replica."""

from chestnuthall.standins.upstream._behaviour import UpstreamBehaviour
from chestnuthall.standins.upstream._index import IndexSnapshot, make_record
from chestnuthall.standins.upstream._server import UpstreamServer

__all__ = ["IndexSnapshot", "UpstreamBehaviour", "UpstreamServer", "make_record"]
