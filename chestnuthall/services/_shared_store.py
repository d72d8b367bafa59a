"""An object store whose watches are shared by the instances of a zone."""

import logging
from collections.abc import Callable, Collection, Sequence

from chestnuthall.core.configuration import FeedTiming, LeaderSelector
from chestnuthall.core.results import NOT_READY, STORE_UNAVAILABLE, Failure
from chestnuthall.ports import (
    Clock,
    FeedAnswer,
    FeedClient,
    ObjectStore,
    StoredObject,
    WatchBatch,
)
from chestnuthall.services._object_feed import ObjectFeed
from chestnuthall.services._presence import InstanceEntry

_log = logging.getLogger(__name__)

# One wait at a leader. A leader that is gone without a sign is noticed after it.
PEER_WAIT_MS = 1_000.0
# First watch of an instance that becomes a leader.
FIRST_WATCH_MS = 50.0
# Time for all objects of a kind from a peer, for an instance that starts while the
# store is away.
SNAPSHOT_TIMEOUT_MS = 300.0
# Peers in the own zone that are asked then, beside the seeds.
N_PEERS_ASKED = 2


class SharedObjectStore:
    """Follows a leader in the own zone in place of the store, for some kinds.

    Reads and writes go to the store. Watches go to the leader while it has news of
    the store, and to the store otherwise. What was read is kept in feeds, from which
    peers follow this instance. An instance that has never reached the store takes
    what its peers know.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        feeds: FeedClient,
        kinds: Collection[str],
        timing: FeedTiming,
        selector: LeaderSelector,
        near_peers: Callable[[], Sequence[InstanceEntry]],
        seed_addresses: Sequence[str] = (),
    ) -> None:
        self._store = store
        self._clock = clock
        self._peer_feeds = feeds
        self._timing = timing
        self._selector = selector
        self._near_peers = near_peers
        self._seed_addresses = seed_addresses
        self._feeds = {kind: ObjectFeed(clock, timing.age_max_ms) for kind in kinds}
        # Feeds that this instance fills from the store itself.
        self._own: set[str] = set()

    def feed(self, kind: str) -> ObjectFeed | None:
        """Return the feed of a kind that is shared, if it comes from the store."""
        return self._feeds[kind] if kind in self._own else None

    def known(self, kind: str) -> ObjectFeed | None:
        """Return the feed of a kind that is shared, wherever it comes from."""
        return self._feeds.get(kind)

    async def get(
        self, kind: str, name: str, timeout_ms: float
    ) -> StoredObject | Failure:
        """Read one object."""
        stored = await self._store.get(kind, name, timeout_ms)
        feed = self._feeds.get(kind)
        if feed is None:
            return stored
        if not isinstance(stored, Failure):
            feed.load((stored,), stored.seen_version or stored.version)
            feed.confirm()
            return stored
        if stored.kind is STORE_UNAVAILABLE:
            for item in await self._ask_peers(kind, feed):
                if item.name == name:
                    return item
        return stored

    async def list_kind(
        self, kind: str, timeout_ms: float
    ) -> tuple[StoredObject, ...] | Failure:
        """Read all objects of a kind."""
        listed = await self._store.list_kind(kind, timeout_ms)
        feed = self._feeds.get(kind)
        if feed is None:
            return listed
        if not isinstance(listed, Failure):
            if listed:
                feed.load(listed, max(i.seen_version or i.version for i in listed))
                feed.confirm()
            return listed
        if listed.kind is STORE_UNAVAILABLE:
            return await self._ask_peers(kind, feed) or listed
        return listed

    async def _ask_peers(self, kind: str, feed: ObjectFeed) -> tuple[StoredObject, ...]:
        """Return the objects of a peer that knows more, or nothing.

        An instance that the store does not serve follows the others so, and one
        that starts meanwhile learns what they know.
        """
        for address in self._peer_addresses():
            answer = await self._peer_feeds.snapshot(address, kind, SNAPSHOT_TIMEOUT_MS)
            if isinstance(answer, Failure) or not self._is_better(answer, feed):
                continue
            batch = answer.batch
            if batch.version > feed.version:
                _log.warning(
                    "objects taken from a peer",
                    extra={
                        "kind": kind,
                        "address": address,
                        "n_objects": len(batch.changed),
                        "version": batch.version,
                    },
                )
            feed.load(batch.changed, batch.version)
            feed.confirm(answer.age_ms)
            return batch.changed
        return ()

    def _is_better(self, answer: FeedAnswer, feed: ObjectFeed) -> bool:
        """Return whether a peer knows more, or knows from the store that it is all."""
        batch = answer.batch
        if not batch.changed or batch.version < feed.version:
            return False
        is_fresh = answer.age_ms <= self._timing.age_max_ms
        return batch.version > feed.version or is_fresh

    def _peer_addresses(self) -> list[str]:
        """Return a few peers to ask: those in the zone first, and the seeds."""
        near = [item.address for item in self._near_peers()]
        return [*near[:N_PEERS_ASKED], *self._seed_addresses]

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

    async def watch(
        self, kind: str, after_version: int, timeout_ms: float
    ) -> WatchBatch | Failure:
        """Wait for changes of a kind after a version; an empty batch on timeout."""
        if kind not in self._feeds:
            return await self._store.watch(kind, after_version, timeout_ms)
        ends_ms = self._clock.now_ms() + timeout_ms
        while (left_ms := ends_ms - self._clock.now_ms()) > 0.0:
            leader = self._leader()
            if leader is None:
                batch = await self._watch_store(kind, after_version, left_ms)
            else:
                batch = await self._watch_leader(leader, kind, after_version, left_ms)
            if isinstance(batch, Failure) or batch.changed or batch.deleted_names:
                return batch
            after_version = max(after_version, batch.version)
        return WatchBatch(after_version, ())

    def _leader(self) -> InstanceEntry | None:
        peers = {item.name: item for item in self._near_peers()}
        name = self._selector.leader(peers, self._clock.now_ms())
        return None if name is None else peers[name]

    async def _watch_store(
        self, kind: str, after_version: int, left_ms: float
    ) -> WatchBatch | Failure:
        """Watch the store, in a zone with leaders for a short time.

        A leader's news must not grow old, and an instance whose leaders have none may
        begin its watch in an outage of the store, of whose end it would not hear.
        """
        feed = self._feeds[kind]
        if self._selector.is_zone_large_enough:
            left_ms = self._timing.watch_timeout_ms
            if kind not in self._own:
                # Its followers need to know soon that it has news.
                left_ms = FIRST_WATCH_MS
        self._own.add(kind)
        batch = await self._store.watch(kind, after_version, left_ms)
        if isinstance(batch, Failure):
            self._own.discard(kind)
            self._selector.deprioritise_store(self._clock.now_ms())
            return batch
        feed.apply(batch)
        feed.confirm()
        return batch

    async def _watch_leader(
        self,
        leader: InstanceEntry,
        kind: str,
        after_version: int,
        left_ms: float,
    ) -> WatchBatch:
        """Wait at a leader; nothing if it has failed and another one is to be asked."""
        self._own.discard(kind)
        answer = await self._peer_feeds.watch(
            leader.address, kind, after_version, min(left_ms, PEER_WAIT_MS)
        )
        if not isinstance(answer, Failure):
            feed = self._feeds[kind]
            feed.apply(answer.batch)
            feed.confirm(answer.age_ms)
            return answer.batch
        # A leader that has just started keeps no changes before its start; another one
        # or the store does.
        is_responsive = answer.kind is NOT_READY
        self._selector.deprioritise(leader.name, self._clock.now_ms(), is_responsive)
        _log.info(
            "leader passed over",
            extra={"kind": kind, "leader": leader.name, "reason": answer.reason},
        )
        await self._clock.sleep_ms(self._selector.stagger_ms)
        return WatchBatch(after_version, ())
