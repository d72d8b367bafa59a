"""In-memory network between entry instances with message loss, delays and pauses."""

from chestnuthall.standins.peers._hosts import Host, HostClock
from chestnuthall.standins.peers._network import FakePeerTransport, PeerNetwork

__all__ = ["FakePeerTransport", "Host", "HostClock", "PeerNetwork"]
