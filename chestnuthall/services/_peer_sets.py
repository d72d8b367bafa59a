"""Peers that answer for sets of shards."""

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

# Peers that one instance calls; connections to more would seldom be warm.
N_PEERS_USED = 6


class PeerShardSets:
    """Joins shards that are far from this instance into sets for its peers."""

    def __init__(
        self,
        own_name: str,
        own_zone: str,
        peers: Callable[[], Sequence[InstanceEntry]],
    ) -> None:
        self._own_name = own_name
        self._own_zone = own_zone
        self._peers = peers
        self._known: Sequence[InstanceEntry] = ()
        self._chosen: dict[frozenset[str], tuple[Replica, ...]] = {}

    def combine_shards(self, shards: Sequence[Shard]) -> tuple[Shard, ...]:
        """Return the shards, those far away as one set where a peer is nearer."""
        return combine_remote_shards(shards, self._own_zone, self._peers_in)

    def _peers_in(self, zones: frozenset[str]) -> tuple[Replica, ...]:
        """Return a few peers in the zones, other ones for each instance."""
        known = self._peers()
        if known is not self._known:
            self._known = known
            self._chosen.clear()
        chosen = self._chosen.get(zones)
        if chosen is None:
            chosen = self._chosen[zones] = self._choose(zones)
        return chosen

    def _choose(self, zones: frozenset[str]) -> tuple[Replica, ...]:
        by_name = {item.name: item for item in self._known if item.zone in zones}
        if not by_name:
            return ()
        names = HashRing(by_name).owners(self._own_name, N_PEERS_USED)
        return tuple(
            Replica(name, by_name[name].address, by_name[name].zone) for name in names
        )


class PeerAwareCaller:
    """Calls replicas for single shards, and peers for sets of shards."""

    def __init__(self, replicas: ShardCaller, peers: ShardCaller) -> None:
        self._replicas = replicas
        self._peers = peers
        # The check of a protocol takes as long as a part of the call.
        self._direct = {
            is_set: caller if isinstance(caller, DirectShardCaller) else None
            for is_set, caller in ((False, replicas), (True, peers))
        }

    def _caller(self, call: ShardCall) -> ShardCaller:
        return self._replicas if call.shard_set is None else self._peers

    async def call(self, call: ShardCall) -> ShardAnswer | Failure:
        """Run one call and return the whole answer that echoes its id."""
        return await self._caller(call).call(call)

    def start_call(self, call: ShardCall, on_result: CallCallback) -> CancelCall | None:
        """Start a call and return its cancellation; None if it has to wait."""
        direct = self._direct[call.shard_set is not None]
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
