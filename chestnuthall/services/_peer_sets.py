"""Combines shards into sets that peers answer for, and calls these peers."""

from collections.abc import Callable, Sequence

from chestnuthall.core.model import Replica, Shard, ShardAnswer, ShardCall
from chestnuthall.core.results import Failure
from chestnuthall.core.routing import HashRing, combine_remote_shards
from chestnuthall.ports import (
    CallCallback,
    CancelCall,
    DirectShardCaller,
    ShardCaller,
)
from chestnuthall.services._presence import InstanceEntry

# Maximum number of peers that one instance calls. With more, most connections
# would be idle too long to be warm.
N_PEERS_MAX = 6


class PeerShardSets:
    """Combines remote shards into sets that peers in their zones answer for."""

    def __init__(
        self,
        own_name: str,
        own_zone: str,
        peers: Callable[[], Sequence[InstanceEntry]],
    ) -> None:
        self._own_name = own_name
        self._own_zone = own_zone
        self._peers = peers
        self._known_peers: Sequence[InstanceEntry] = ()
        self._chosen_by_zones: dict[frozenset[str], tuple[Replica, ...]] = {}

    def combine_shards(self, shards: Sequence[Shard]) -> tuple[Shard, ...]:
        """Return the shards, with remote ones combined where a peer is nearer."""
        return combine_remote_shards(shards, self._own_zone, self._peers_in_zones)

    def _peers_in_zones(self, zones: frozenset[str]) -> tuple[Replica, ...]:
        """Return a few peers in the zones; the choice differs between instances."""
        known = self._peers()
        if known is not self._known_peers:
            self._known_peers = known
            self._chosen_by_zones.clear()
        chosen = self._chosen_by_zones.get(zones)
        if chosen is None:
            chosen = self._chosen_by_zones[zones] = self._choose(zones)
        return chosen

    def _choose(self, zones: frozenset[str]) -> tuple[Replica, ...]:
        by_name = {item.name: item for item in self._known_peers if item.zone in zones}
        if not by_name:
            return ()
        names = HashRing(by_name).owners(self._own_name, N_PEERS_MAX)
        return tuple(
            Replica(name, by_name[name].address, by_name[name].zone) for name in names
        )


class PeerAwareCaller:
    """Calls replicas for single shards, and peers for sets of shards."""

    def __init__(self, replicas: ShardCaller, peers: ShardCaller) -> None:
        self._replicas = replicas
        self._peers = peers
        # Cached, because the isinstance check of a protocol takes a noticeable
        # fraction of the time of a call.
        self._direct_callers = {
            is_set: caller if isinstance(caller, DirectShardCaller) else None
            for is_set, caller in ((False, replicas), (True, peers))
        }

    def _caller_for(self, call: ShardCall) -> ShardCaller:
        return self._replicas if call.shard_set is None else self._peers

    async def call(self, call: ShardCall) -> ShardAnswer | Failure:
        """Run one call and return the complete answer that echoes its id."""
        return await self._caller_for(call).call(call)

    def start_call(self, call: ShardCall, on_result: CallCallback) -> CancelCall | None:
        """Start a call and return the function that cancels it.

        Return None if the call cannot be started without waiting.
        """
        direct = self._direct_callers[call.shard_set is not None]
        return None if direct is None else direct.start_call(call, on_result)

    def set_connection_budget(
        self,
        group: str,
        n_connections: int,
        connected_ratio: float = 1.0,
        n_connections_in_zone: int | None = None,
    ) -> None:
        """Set how many connections may be open to each replica of a group."""
        self._replicas.set_connection_budget(
            group, n_connections, connected_ratio, n_connections_in_zone
        )
