"""Calls to upstream replicas."""

from collections.abc import Callable
from typing import Protocol, runtime_checkable

from chestnuthall.core.model import PartitionMap, Replica, ShardAnswer, ShardCall
from chestnuthall.core.results import Failure


class ShardCaller(Protocol):
    """Runs shard calls. Cancelling the awaiting task cancels the call.

    The kind of a failure tells whether the replica may have started the call. It
    has not with ``NO_REPLICA``, ``CONNECTION_REFUSED``, ``DEADLINE_PASSED``
    (nothing was written), ``SHED_BY_UPSTREAM`` and ``SNAPSHOT_GONE``; with any
    other kind it may have. The trace of a call says whether it has been written.
    """

    async def call(self, call: ShardCall) -> ShardAnswer | Failure:
        """Run one call and return the complete answer that echoes its id."""
        ...

    def set_connection_budget(
        self,
        group: str,
        n_connections: int,
        connected_ratio: float = 1.0,
        n_connections_in_zone: int | None = None,
    ) -> None:
        """Set the maximum number of connections to each replica of a group.

        ``connected_ratio`` is the fraction of the replicas to which a connection stays
        open if a replica allows fewer connections than there are instances.
        ``n_connections_in_zone`` is the maximum for replicas in the instance's own
        zone, or None if it does not differ.
        """
        ...


class MapFetcher(Protocol):
    """Fetches partition maps from replicas."""

    async def fetch_partition_map(
        self, replica: Replica, timeout_ms: float
    ) -> PartitionMap | Failure:
        """Return the newest partition map that a replica has."""
        ...


class MapFetchingCaller(ShardCaller, MapFetcher, Protocol):
    """Runs shard calls and fetches partition maps."""


CallCallback = Callable[[ShardAnswer | Failure], None]
CancelCall = Callable[[], None]


@runtime_checkable
class DirectShardCaller(Protocol):
    """Starts a call without creating a task if it need not wait.

    ``on_result`` is called once, unless the call is cancelled first.
    """

    def start_call(self, call: ShardCall, on_result: CallCallback) -> CancelCall | None:
        """Start a call; return a function that cancels it, or None if it must wait."""
        ...


class ReplicaReachability(Protocol):
    """Tells whether replicas accept connections."""

    async def accepts_connections(self, replica: Replica, timeout_ms: float) -> bool:
        """Return whether the replica accepts a new connection within the time.

        Any other sign of life within the time counts as well.
        """
        ...

    def last_answer_ms(self, replica: Replica) -> float:
        """Return when the replica last answered any call; minus infinity for never."""
        ...


class ReplicaHealth(Protocol):
    """Health checks of replicas; only a hint, because health reports lag."""

    async def check_health(
        self, group: str, replica: Replica, timeout_ms: float
    ) -> bool | Failure:
        """Return whether the replica reports that it is draining."""
        ...
