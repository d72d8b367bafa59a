"""Calls to upstreams that speak the product's own protocol."""

from chestnuthall.adapters.documents import read_partition_map
from chestnuthall.adapters.http import HttpRequest, PoolSettings
from chestnuthall.adapters.searchapi._codec import SearchCodec, decode_health
from chestnuthall.adapters.upstreams import HttpShardCaller
from chestnuthall.core.model import PartitionMap, Replica
from chestnuthall.core.results import UPSTREAM_ERROR, Failure
from chestnuthall.ports import Clock


class SearchCaller(HttpShardCaller):
    """Calls replicas and requests their partition maps and health reports."""

    def __init__(self, clock: Clock, pool_settings: PoolSettings | None = None) -> None:
        super().__init__(clock, SearchCodec(), pool_settings)

    async def fetch_partition_map(
        self, replica: Replica, timeout_ms: float
    ) -> PartitionMap | Failure:
        """Return the newest partition map that a replica knows."""
        request = HttpRequest("GET", "/v1/partition-map")
        response = await self.send_request(replica, "", request, timeout_ms)
        if isinstance(response, Failure):
            return response
        if response.status != 200:
            return UPSTREAM_ERROR.with_reason(f"status {response.status}")
        return read_partition_map(response.body)

    async def check_health(
        self, group: str, replica: Replica, timeout_ms: float
    ) -> bool | Failure:
        """Return whether the replica reports that it is draining."""
        request = HttpRequest("GET", "/v1/health")
        response = await self.send_request(replica, group, request, timeout_ms)
        if isinstance(response, Failure):
            return response
        return decode_health(response)
