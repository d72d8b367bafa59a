"""An object store that follows a kind of few objects with few calls."""

import asyncio
from collections.abc import Callable

from chestnuthall.core.configuration import FeedTiming
from chestnuthall.core.results import (
    HISTORY_TRIMMED,
    NOT_READY,
    STORE_UNAVAILABLE,
    Failure,
)
from chestnuthall.core.versions import is_of_earlier_era
from chestnuthall.ports import (
    Clock,
    FeedClient,
    ObjectListing,
    ObjectStore,
    StoredObject,
    WatchBatch,
)
from chestnuthall.services._object_feed import ObjectFeed
from chestnuthall.services._presence import InstanceEntry
from chestnuthall.services._shared_store import (
    SNAPSHOT_TIMEOUT_MS,
    SharedObjectStore,
)

# Time in which an instance that starts finds its peers, and with them its leader. Until
# then it watches nothing; what changes meanwhile it gets from the leader.
PEERS_WAIT_MAX_MS = 3_200.0
PEERS_POLL_INTERVAL_MS = 100.0
# Failed reads of leaders in a row, after which the store is read instead.
N_LEADER_FAILURES_MAX = 2
LEADER_RETRY_MS = 200.0


class SparseObjectStore:
    """Watches a kind that is usually empty; calls to the store are priced.

    In a zone with leaders only these read the store, except that each instance lists
    the objects there when it starts: it must know them before it serves, and its peers
    become known later. The reads of ``shared``, of other kinds, tell whether the store
    answers: when one of them fails, the watch of the store is given up, and the objects
    are listed again once the store answers. An outage may also fail only this watch.
    ``are_peers_known`` tells whether the instances of the zone have been listed,
    without which each would take itself for a leader.
    """

    def __init__(
        self,
        kind: str,
        store: ObjectStore,
        clock: Clock,
        feed_client: FeedClient,
        shared: SharedObjectStore,
        are_peers_known: Callable[[], bool],
        timing: FeedTiming,
    ) -> None:
        self._kind = kind
        self._store = store
        self._clock = clock
        self._feed_client = feed_client
        self._shared = shared
        self._are_peers_known = are_peers_known
        self._leader_watch_timeout_ms = timing.leader_watch_timeout_ms
        self.feed = ObjectFeed(clock, timing.age_max_ms)
        self._is_watching_store = False
        self._awaits_peers_until_ms = clock.now_ms() + PEERS_WAIT_MAX_MS
        self._n_leader_failures = 0
        self._store_failed = asyncio.Event()
        shared.add_store_listener(self._on_store_call)

    def _on_store_call(self, is_answered: bool) -> None:
        if not is_answered:
            self._store_failed.set()
            self._store_failed = asyncio.Event()
        elif self._is_watching_store:
            self.feed.confirm()

    async def get(
        self, kind: str, name: str, timeout_ms: float
    ) -> StoredObject | Failure:
        """Read one object."""
        return await self._store.get(kind, name, timeout_ms)

    async def create(
        self, kind: str, name: str, value: str, timeout_ms: float
    ) -> StoredObject | Failure:
        """Write an object that must not exist yet."""
        return await self._store.create(kind, name, value, timeout_ms)

    async def update(
        self, kind: str, name: str, value: str, version: int, timeout_ms: float
    ) -> StoredObject | Failure:
        """Write an object whose version must still be ``version``."""
        return await self._store.update(kind, name, value, version, timeout_ms)

    async def delete(
        self, kind: str, name: str, version: int, timeout_ms: float
    ) -> Failure | None:
        """Delete an object whose version must still be ``version``."""
        return await self._store.delete(kind, name, version, timeout_ms)

    async def list_kind(self, kind: str, timeout_ms: float) -> ObjectListing | Failure:
        """Read all objects, the first time from the store, then from the leader.

        While the store does not answer, any peer will do.
        """
        leader = self._leader()
        if not self.feed.is_loaded:
            listed = await self._list_first(kind, timeout_ms)
        elif leader is not None:
            listed = await self._read_peer(leader.address)
            self._n_leader_failures += isinstance(listed, Failure)
        elif self._shared.is_store_answering is False:
            listed = await self._read_peers()
        else:
            listed = await self._list_store(kind, timeout_ms)
        if not isinstance(listed, Failure):
            self.feed.replace_all(listed.objects, listed.watch_version)
        return listed

    async def _list_first(
        self, kind: str, timeout_ms: float
    ) -> ObjectListing | Failure:
        if self._shared.is_store_answering is not False:
            listed = await self._list_store(kind, timeout_ms)
            if not isinstance(listed, Failure):
                return listed
        return await self._read_peers()

    async def _list_store(
        self, kind: str, timeout_ms: float
    ) -> ObjectListing | Failure:
        listed = await self._store.list_kind(kind, timeout_ms)
        if not isinstance(listed, Failure):
            self.feed.confirm()
        return listed

    def _leader(self) -> InstanceEntry | None:
        if self._n_leader_failures > N_LEADER_FAILURES_MAX:
            return None
        return self._shared.leader()

    async def _read_peers(self) -> ObjectListing | Failure:
        """Return the newest objects that a peer has; some peers may be out of date."""
        answers = await asyncio.gather(
            *(self._read_peer(address) for address in self._shared.peer_addresses())
        )
        listings = [item for item in answers if not isinstance(item, Failure)]
        newest = max(listings, key=lambda item: item.version, default=None)
        if newest is None or newest.version < self.feed.version:
            return STORE_UNAVAILABLE.with_reason("neither the store nor a peer answers")
        return newest

    async def _read_peer(self, address: str) -> ObjectListing | Failure:
        answer = await self._feed_client.snapshot(
            address, self._kind, SNAPSHOT_TIMEOUT_MS
        )
        if isinstance(answer, Failure):
            return answer
        if not answer.batch.version:
            return NOT_READY.with_reason("the peer has not read the objects yet")
        if is_of_earlier_era(answer.batch.version, self.feed.version):
            return NOT_READY.with_reason(
                "the store has returned from a copy since the peer read the objects"
            )
        return ObjectListing(answer.batch.changed, answer.batch.version)

    async def watch(
        self, kind: str, after_version: int, timeout_ms: float
    ) -> WatchBatch | Failure:
        """Wait for changes after a version; an empty batch on timeout."""
        ends_at_ms = self._clock.now_ms() + timeout_ms
        while (left_ms := ends_at_ms - self._clock.now_ms()) > 0.0:
            leader = self._leader()
            batch: WatchBatch | Failure
            if leader is not None:
                batch = await self._watch_leader(leader, after_version, left_ms)
            elif self._must_await_peers():
                await self._clock.sleep_ms(min(left_ms, PEERS_POLL_INTERVAL_MS))
                continue
            elif self._shared.is_store_answering:
                batch = await self._watch_store(after_version, left_ms)
                self._n_leader_failures = 0
            else:
                # The objects are read from peers, until the store answers again.
                return STORE_UNAVAILABLE.with_reason("the store does not answer reads")
            if isinstance(batch, Failure) or batch.changed or batch.deleted_names:
                return batch
            after_version = max(after_version, batch.version)
        return WatchBatch(after_version, ())

    def _must_await_peers(self) -> bool:
        return (
            not self._are_peers_known()
            and self._clock.now_ms() < self._awaits_peers_until_ms
        )

    async def _watch_store(
        self, after_version: int, left_ms: float
    ) -> WatchBatch | Failure:
        loop = asyncio.get_running_loop()
        watch = loop.create_task(self._store.watch(self._kind, after_version, left_ms))
        failed = loop.create_task(self._store_failed.wait())
        self._is_watching_store = True
        try:
            await asyncio.wait((watch, failed), return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._is_watching_store = False
            failed.cancel()
            if not watch.done():
                watch.cancel()
        if not watch.done() or watch.cancelled():
            return STORE_UNAVAILABLE.with_reason("the store does not answer reads")
        batch = watch.result()
        if not isinstance(batch, Failure):
            self.feed.apply(batch)
            self.feed.confirm()
        return batch

    async def _watch_leader(
        self, leader: InstanceEntry, after_version: int, left_ms: float
    ) -> WatchBatch | Failure:
        """Watch a leader; an empty batch if it failed and another must be tried."""
        answer = await self._feed_client.watch(
            leader.address,
            self._kind,
            after_version,
            min(left_ms, self._leader_watch_timeout_ms),
        )
        if not isinstance(answer, Failure):
            self._n_leader_failures = 0
            if is_of_earlier_era(after_version, answer.batch.version):
                return HISTORY_TRIMMED.with_reason(
                    "the store has returned from a copy, as the leader tells"
                )
            self.feed.apply(answer.batch)
            self.feed.confirm(answer.age_ms)
            return answer.batch
        if answer.kind is HISTORY_TRIMMED:
            return answer
        self._n_leader_failures += 1
        await self._clock.sleep_ms(LEADER_RETRY_MS)
        return WatchBatch(after_version, ())
