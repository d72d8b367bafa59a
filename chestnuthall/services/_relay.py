"""Relays requests: maps a host and a path to a route and serves its query."""

from dataclasses import dataclass
from hashlib import blake2b

from chestnuthall.core.intake import N_CONNECTIONS_MAX, RequestSlots
from chestnuthall.core.model import (
    Configuration,
    ForwardRequest,
    RelayedRequest,
    Route,
    ScatterRequest,
    WeightedRoundRobin,
    reachable_ratio,
)
from chestnuthall.core.results import NOT_FOUND, NOT_READY, QUEUE_FULL, Failure
from chestnuthall.ports import RequestHandler
from chestnuthall.services._configuration import ConfigurationManager
from chestnuthall.services._group_directory import GroupDirectory
from chestnuthall.services._query import Outcome

N_FINGERPRINT_BYTES = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayCall:
    """A caller's request before it is matched to a route.

    ``path`` is the target without its query string, and ``deadline_in_ms`` the
    caller's timeout, or None if it did not state one. A peer that divides a search
    requests ``shard_ids``, of which ``n_missing_max`` may be missing.
    """

    request_id: str
    host: str
    path: str
    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    arrived_ms: float
    deadline_in_ms: float | None
    shard_ids: frozenset[str] = frozenset()
    n_missing_max: int = 0


class RelayService:
    """Finds the route of each request and passes it to the query service."""

    def __init__(
        self,
        query: RequestHandler,
        configuration: ConfigurationManager,
        directory: GroupDirectory,
        n_requests_max: int = N_CONNECTIONS_MAX,
    ) -> None:
        self._query = query
        self._slots = RequestSlots(n_requests_max)
        self._directory = directory
        self._configuration = configuration
        self._splits: dict[str, WeightedRoundRobin] = {}
        self._floor_by_group: dict[str, float] = {}
        configuration.add_listener(self._remove_changed_splits)
        configuration.add_listener(self._update_floors)

    def _remove_changed_splits(self, configuration: Configuration) -> None:
        """Remove the state of the splits whose targets a revision changes."""
        targets = {
            item.name: item.targets for item in configuration.document.routes.routes
        }
        self._splits = {
            name: split
            for name, split in self._splits.items()
            if targets.get(name) == split.targets
        }

    def _update_floors(self, configuration: Configuration) -> None:
        """Store the lowest coverage floor of each group with a scatter route."""
        document = configuration.document
        floors = {item.name: item.coverage_floor_ratio for item in document.classes}
        self._floor_by_group = {}
        for route in document.routes.routes:
            if route.merge is None:
                continue
            floor = floors[route.class_name]
            for target in route.targets:
                lowest = self._floor_by_group.get(target.group, floor)
                self._floor_by_group[target.group] = min(lowest, floor)

    def can_reach_coverage_floors(self) -> bool:
        """Return whether enough shards of every searched group have replicas.

        If not, the configuration or the directory of this instance is outdated, or
        all their replicas are unavailable. Another instance may still be able to serve.
        """
        for group, floor in self._floor_by_group.items():
            partition_map = self._directory.pin(group)
            if partition_map is None or reachable_ratio(partition_map.shards) < floor:
                return False
        return True

    async def serve(self, call: RelayCall) -> Outcome | Failure:
        """Serve a call; a ``Failure`` means that it has no route or has not run."""
        configuration = self._configuration.in_force
        if configuration is None:
            return NOT_READY.with_reason("no configuration is in force")
        route = configuration.document.routes.match(call.host, call.path)
        if route is None:
            return NOT_FOUND.with_reason(f"no route for {call.host}{call.path[:80]}")
        request = self._request(call, route)
        if not self._slots.try_start(request.group):
            return QUEUE_FULL.with_reason(f"too many requests for {request.group}")
        try:
            return await self._query.serve(request)
        finally:
            self._slots.end(request.group)

    def _request(self, call: RelayCall, route: Route) -> RelayedRequest:
        wait_ms = route.timeout_ms
        if call.deadline_in_ms is not None:
            wait_ms = min(wait_ms, call.deadline_in_ms)
        group = self._group(route)
        if route.merge is None:
            return ForwardRequest(
                request_id=call.request_id,
                class_name=route.class_name,
                group=group,
                arrived_ms=call.arrived_ms,
                deadline_ms=call.arrived_ms + wait_ms,
                fingerprint=_fingerprint(call),
                method=call.method,
                target=call.target,
                headers=call.headers,
                body=call.body,
                n_replicas_max=route.n_replicas_max,
                is_repeatable=route.is_repeatable,
            )
        return ScatterRequest(
            request_id=call.request_id,
            class_name=route.class_name,
            group=group,
            arrived_ms=call.arrived_ms,
            deadline_ms=call.arrived_ms + wait_ms,
            fingerprint=_fingerprint(call),
            method=call.method,
            target=call.target,
            headers=call.headers,
            body=call.body,
            n_replicas_max=route.n_replicas_max,
            n_records_max=route.merge.n_records_max,
            n_record_bytes=route.merge.n_record_bytes,
            shard_ids=call.shard_ids,
            n_missing_max=call.n_missing_max,
        )

    def _group(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].group
        split = self._splits.get(route.name)
        if split is None:
            split = self._splits[route.name] = WeightedRoundRobin(route.targets)
        return split.next().group


def _fingerprint(call: RelayCall) -> str:
    digest = blake2b(digest_size=N_FINGERPRINT_BYTES)
    for text in (call.method, call.host, call.target):
        digest.update(text.encode())
        digest.update(b"\0")
    digest.update(call.body)
    return digest.hexdigest()
