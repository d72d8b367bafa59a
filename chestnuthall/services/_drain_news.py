"""Applies drain signals of replicas to the routers and sends them to peers."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import singledispatchmethod

from chestnuthall.core.drains import (
    DisseminateNotices,
    DrainAction,
    DrainDetected,
    DrainEndDetected,
    DrainEvent,
    DrainRegistry,
    DrainSignal,
    Notice,
    NoticesReceived,
    ResumeCalls,
    StopCalls,
)
from chestnuthall.core.model import (
    LeaveNotice,
    PartitionMap,
    Replica,
    ShardAnswer,
    ShardCall,
)
from chestnuthall.core.results import CONNECTION_REFUSED, Failure
from chestnuthall.ports import (
    Clock,
    DrainNotice,
    InstanceListEntry,
    InstanceRole,
    MapFetchingCaller,
    PeerDigest,
)
from chestnuthall.services._directory import Directory
from chestnuthall.services._instance_list import InstanceList
from chestnuthall.services._membership import N_URGENT_NOTICE_PEERS

_log = logging.getLogger(__name__)

_SIGNALS = {signal.value: signal for signal in DrainSignal}

Disseminator = Callable[[int], Awaitable[None]]


class DrainExchange:
    """Applies every drain signal to the routers and sends it to the peers.

    Signals are the observations of this instance, the platform's list and the
    notices of peers.
    """

    def __init__(
        self,
        directory: Directory,
        clock: Clock,
        instances: InstanceList,
        disseminate: Disseminator,
        origin_name: str = "",
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._disseminate = disseminate
        self._registry = DrainRegistry(origin_name=origin_name)
        self._listed_leaving: set[str] = set()
        self._dissemination: asyncio.Task[None] | None = None
        self._has_unsent_notices = False
        instances.add_listener(self._on_list_change)

    def on_signal(self, replica_name: str, signal: DrainSignal) -> None:
        """Record that this instance observed the drain of a replica."""
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        self._handle(DrainDetected(now_ms, wall_ms, replica_name, signal))

    def on_leave_notice(self, notice: LeaveNotice) -> None:
        """Record that a response of a replica, whatever its status, states a drain."""
        self.on_signal(notice.replica_name, DrainSignal.ANSWER)

    def on_recovered(
        self, replica_name: str, signal: DrainSignal, observed_ms: float
    ) -> None:
        """Record that this instance observed that a replica accepts calls again.

        ``observed_ms`` is the time at which the observation started.
        """
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        self._handle(
            DrainEndDetected(now_ms, wall_ms, replica_name, signal, observed_ms)
        )

    def is_listed_leaving(self, replica_name: str) -> bool:
        """Return whether the platform's list marks a replica as leaving."""
        return replica_name in self._listed_leaving

    def active_notices(self) -> tuple[Notice, ...]:
        """Return the notices of the drains in effect."""
        return self._registry.active_drains(self._clock.now_ms())

    def reapply(self) -> None:
        """Apply all drains to the routers again, for groups added in the meantime."""
        now_ms = self._clock.now_ms()
        for notice in self._registry.active_drains(now_ms):
            until_ms = now_ms + notice.remaining_ms
            self._perform(StopCalls(notice.replica_name, until_ms))

    def add_to(self, digest: PeerDigest) -> PeerDigest:
        """Return the digest with the drain notices added."""
        notices = self._registry.select_notices(self._clock.now_ms())
        return replace(digest, drains=tuple(map(_to_port_notice, notices)))

    def receive(self, digest: PeerDigest) -> None:
        """Apply the drain notices of a peer."""
        notices = tuple(
            Notice(
                item.replica_name,
                item.sequence,
                _SIGNALS[item.signal],
                item.is_over,
                item.expires_in_ms,
            )
            for item in digest.drains
            if item.signal in _SIGNALS
        )
        if notices:
            self._handle(NoticesReceived(self._clock.now_ms(), notices))

    def _on_list_change(self, entries: tuple[InstanceListEntry, ...]) -> None:
        upstreams = [item for item in entries if item.role is InstanceRole.UPSTREAM]
        leaving = {item.name for item in upstreams if item.is_leaving}
        live = {item.name for item in upstreams} - leaving
        for name in leaving - self._listed_leaving:
            self.on_signal(name, DrainSignal.LIST)
        for name in live & self._listed_leaving:
            self.on_recovered(name, DrainSignal.LIST, self._clock.now_ms())
        self._listed_leaving = leaving

    def _handle(self, event: DrainEvent) -> None:
        for action in self._registry.handle(event):
            self._perform(action)

    @singledispatchmethod
    def _perform(self, action: DrainAction) -> None:
        raise TypeError(f"not a drain action: {type(action).__name__}")

    @_perform.register
    def _(self, action: StopCalls) -> None:
        for router in self._directory.routers():
            router.set_drained_until(action.replica_name, action.until_ms)

    @_perform.register
    def _(self, action: ResumeCalls) -> None:
        _log.info("replica is back", extra={"replica": action.replica_name})
        for router in self._directory.routers():
            router.set_drained_until(action.replica_name, float("-inf"))

    @_perform.register
    def _(self, action: DisseminateNotices) -> None:
        # At most one dissemination runs, to limit the traffic when many replicas
        # drain.
        self._has_unsent_notices = True
        if self._dissemination is None:
            loop = asyncio.get_running_loop()
            self._dissemination = loop.create_task(self._disseminate_pending())

    async def _disseminate_pending(self) -> None:
        try:
            while self._has_unsent_notices:
                self._has_unsent_notices = False
                await self._disseminate(N_URGENT_NOTICE_PEERS)
        finally:
            self._dissemination = None


def _to_port_notice(notice: Notice) -> DrainNotice:
    return DrainNotice(
        notice.replica_name,
        notice.remaining_ms,
        notice.sequence,
        notice.signal.value,
        notice.is_over,
    )


class DrainDetectingCaller:
    """A shard caller that reports replicas that refuse connections as draining."""

    def __init__(
        self, caller: MapFetchingCaller, on_signal: Callable[[str, DrainSignal], None]
    ) -> None:
        self._caller = caller
        self._on_signal = on_signal

    async def call(self, call: ShardCall) -> ShardAnswer | Failure:
        """Run one call and report a refused connection."""
        result = await self._caller.call(call)
        if isinstance(result, Failure) and result.kind is CONNECTION_REFUSED:
            self._on_signal(call.replica.name, DrainSignal.REFUSED)
        return result

    async def fetch_partition_map(
        self, replica: Replica, timeout_ms: float
    ) -> PartitionMap | Failure:
        """Return the newest partition map that a replica knows."""
        return await self._caller.fetch_partition_map(replica, timeout_ms)

    def set_connection_budget(
        self,
        group: str,
        n_connections: int,
        connected_ratio: float = 1.0,
        n_connections_in_zone: int | None = None,
    ) -> None:
        """Set how many connections may be open to each replica of a group."""
        self._caller.set_connection_budget(
            group, n_connections, connected_ratio, n_connections_in_zone
        )
