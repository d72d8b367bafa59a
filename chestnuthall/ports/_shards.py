"""Calls to upstream replicas."""

from collections.abc import Callable
from typing import Protocol, runtime_checkable

from chestnuthall.core.model import PartitionMap, Replica, ShardAnswer, ShardCall
from chestnuthall.core.results import Failure


class ShardCaller(Protocol):
    """Runs shard calls. Cancelling the awaiting task cancels the call.

    A failure's kind says whether the replica can have begun the call:
    ``NO_REPLICA``, ``CONNECTION_REFUSED`` and ``DEADLINE_PASSED`` (nothing was
    written), ``SHED_BY_UPSTREAM`` and ``SNAPSHOT_GONE`` say that it did not; any
    other that it may have.
    """

    async def call(self, call: ShardCall) -> ShardAnswer | Failure:
        """Run one call and return the whole answer that echoes its id."""
        ...

    def set_connection_budget(
        self,
        group: str,
        n_connections: int,
        connected_ratio: float = 1.0,
        n_connections_in_zone: int | None = None,
    ) -> None:
        """Set how many connections may be open to each replica of a group.

        ``connected_ratio`` is the part of the replicas to which one stays open when
        there is less than one for each instance. ``n_connections_in_zone`` is the
        number for replicas in the instance's own zone, where they have one of their
        own.
        """
        ...


class MapFetcher(Protocol):
    """Asks replicas for their partition maps."""

    async def fetch_partition_map(
        self, replica: Replica, timeout_ms: float
    ) -> PartitionMap | Failure:
        """Return the newest partition map that a replica knows."""
        ...


class MapFetchingCaller(ShardCaller, MapFetcher, Protocol):
    """Calls replicas that have partition maps."""


CallCallback = Callable[[ShardAnswer | Failure], None]
CancelCall = Callable[[], None]


@runtime_checkable
class DirectShardCaller(Protocol):
    """Starts a call without a task where nothing has to be waited for.

    The listener is called once, unless the call is cancelled before.
    """

    def start_call(self, call: ShardCall, on_result: CallCallback) -> CancelCall | None:
        """Start a call and return its cancellation; None if it has to wait."""
        ...


class ReplicaHealth(Protocol):
    """Health checks of replicas; a hint only, since health reports lag."""

    async def check_health(
        self, group: str, replica: Replica, timeout_ms: float
    ) -> bool | Failure:
        """Return whether the replica says that it drains."""
        ...
