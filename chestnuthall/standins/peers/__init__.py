"""An in-memory network between entry instances, with cuts, delays and pauses."""

from chestnuthall.standins.peers._hosts import Host, HostClock
from chestnuthall.standins.peers._network import FakePeerTransport, PeerNetwork

__all__ = ["FakePeerTransport", "Host", "HostClock", "PeerNetwork"]
