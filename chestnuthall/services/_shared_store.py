"""An object store whose watches are shared by the instances of a zone."""

import logging
from collections.abc import Callable, Collection, Sequence

from chestnuthall.core.configuration import FeedTiming, LeaderSelector
from chestnuthall.core.results import (
    HISTORY_TRIMMED,
    NOT_READY,
    RATE_LIMITED,
    STORE_UNAVAILABLE,
    Failure,
)
from chestnuthall.core.versions import is_of_earlier_era
from chestnuthall.ports import (
    Clock,
    FeedAnswer,
    FeedClient,
    ObjectListing,
    ObjectStore,
    StoredObject,
    WatchBatch,
)
from chestnuthall.services._object_feed import ObjectFeed
from chestnuthall.services._presence import InstanceEntry

_log = logging.getLogger(__name__)

# Failures of a read that show that the store does not serve this instance.
STORE_OUTAGE_KINDS = frozenset({STORE_UNAVAILABLE, RATE_LIMITED})

# Time-out of the first watch of an instance that becomes a leader.
FIRST_WATCH_TIMEOUT_MS = 50.0
# Logged as the age of a feed that was never confirmed.
AGE_LOGGED_MAX_MS = 1e9
# A watch that lasted longer has waited for the changes that it returned.
IMMEDIATE_ANSWER_MS = 100.0
# Time-out of reading all objects of a kind from a peer while the store is unavailable.
SNAPSHOT_TIMEOUT_MS = 300.0
# Peers in the same zone that are queried for such a snapshot, besides the seeds.
N_PEERS_QUERIED = 2


class SharedObjectStore:
    """Watches a leader in the same zone instead of the store, for some kinds.

    Reads and writes go to the store. Watches go to the leader while its feed is
    recent, and to the store otherwise. Objects that were read are kept in feeds, from
    which peers follow this instance. An instance that has never reached the store
    reads the feeds of its peers.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        feed_client: FeedClient,
        kinds: Collection[str],
        timing: FeedTiming,
        selector: LeaderSelector,
        same_zone_peers: Callable[[], Sequence[InstanceEntry]],
        seed_addresses: Sequence[str] = (),
    ) -> None:
        self._store = store
        self._clock = clock
        self._feed_client = feed_client
        self._timing = timing
        self._leader_selector = selector
        self._same_zone_peers = same_zone_peers
        self._seed_addresses = seed_addresses
        self._feeds = {kind: ObjectFeed(clock, timing.age_max_ms) for kind in kinds}
        self._is_store_answering: bool | None = None
        self._store_listeners: list[Callable[[bool], None]] = []
        # Kinds whose feeds this instance reads from the store itself.
        self._kinds_from_store: set[str] = set()
        # Kinds whose leader failed when their feeds were too old to try another one.
        self._kinds_overdue: set[str] = set()
        # Last answer of the store or a leader, and the time after which the changes
        # in it were made, by kind.
        self._answered_ms: dict[str, float] = {}
        self._made_after_ms: dict[str, float] = {}
        # Start of the last call that the store did not serve. The outage that failed
        # it may have ended at any time since then.
        self._outage_began_after_ms = float("-inf")

    @property
    def is_store_answering(self) -> bool | None:
        """Whether the last read of the store succeeded; None before the first."""
        return self._is_store_answering

    def add_store_listener(self, listener: Callable[[bool], None]) -> None:
        """Call ``listener`` after each read, with whether the store answered."""
        self._store_listeners.append(listener)

    def _on_store_call(self, failure: Failure | None, started_ms: float) -> None:
        is_answered = failure is None or failure.kind not in STORE_OUTAGE_KINDS
        self._is_store_answering = is_answered
        if not is_answered:
            self._note_outage(started_ms)
        else:
            self._leader_selector.prioritise_store()
        for listener in self._store_listeners:
            listener(is_answered)

    def _note_outage(self, began_after_ms: float) -> None:
        self._outage_began_after_ms = max(self._outage_began_after_ms, began_after_ms)

    def made_after_ms(self, kind: str) -> float:
        """Return the time after which the changes returned last were made.

        It is the present for changes that arrived without delay, and for those that
        follow an outage of the store, as objects that expired in it may be renewed. An
        outage may have ended when the first call that it failed was sent, however long
        that call was awaited.
        """
        return self._made_after_ms.get(kind, self._clock.now_ms())

    def _record_answer(self, kind: str, made_after_ms: float) -> None:
        now_ms = self._clock.now_ms()
        settled_ms = self._outage_began_after_ms + self._timing.store_settle_ms
        self._made_after_ms[kind] = max(made_after_ms, min(now_ms, settled_ms))
        self._answered_ms[kind] = now_ms

    def store_feed(self, kind: str) -> ObjectFeed | None:
        """Return the feed of a shared kind, if it is read from the store."""
        return self._feeds[kind] if kind in self._kinds_from_store else None

    def any_feed(self, kind: str) -> ObjectFeed | None:
        """Return the feed of a shared kind, whatever its source."""
        return self._feeds.get(kind)

    async def get(
        self, kind: str, name: str, timeout_ms: float
    ) -> StoredObject | Failure:
        """Read one object."""
        started_ms = self._clock.now_ms()
        stored = await self._store.get(kind, name, timeout_ms)
        feed = self._feeds.get(kind)
        if feed is None:
            return stored
        self._on_store_call(stored if isinstance(stored, Failure) else None, started_ms)
        if not isinstance(stored, Failure):
            feed.replace_all((stored,), stored.seen_version or stored.version)
            feed.confirm()
            return stored
        if stored.kind is STORE_UNAVAILABLE:
            for item in await self._query_peers(kind, feed) or ():
                if item.name == name:
                    return item
        return stored

    async def list_kind(self, kind: str, timeout_ms: float) -> ObjectListing | Failure:
        """Read all objects of a kind."""
        started_ms = self._clock.now_ms()
        listed = await self._store.list_kind(kind, timeout_ms)
        feed = self._feeds.get(kind)
        if feed is None:
            return listed
        if not isinstance(listed, Failure):
            if is_of_earlier_era(feed.version, listed.watch_version):
                # The store was away since it answered last.
                self._note_outage(self._answered_ms.get(kind, started_ms))
            if listed:
                feed.replace_all(listed.objects, listed.watch_version)
                feed.confirm()
            self._on_store_call(None, started_ms)
            # What changed since the last answer may have changed right after it.
            now_ms = self._clock.now_ms()
            self._record_answer(kind, self._answered_ms.get(kind, now_ms))
            return listed
        self._on_store_call(listed, started_ms)
        if listed.kind is STORE_UNAVAILABLE:
            known = await self._query_peers(kind, feed)
            self._record_answer(kind, self._clock.now_ms())
            return known or listed
        return listed

    async def _query_peers(self, kind: str, feed: ObjectFeed) -> ObjectListing | None:
        """Return the objects of the first peer whose feed is preferable, or None.

        An instance that the store does not serve thus stays up to date, and one that
        starts during an outage of the store gets its first objects.
        """
        for address in self.peer_addresses():
            answer = await self._feed_client.snapshot(
                address, kind, SNAPSHOT_TIMEOUT_MS
            )
            if isinstance(answer, Failure) or not self._is_preferable(answer, feed):
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
            feed.replace_all(batch.changed, batch.version)
            feed.confirm(answer.age_ms)
            return ObjectListing(batch.changed, batch.version)
        return None

    def _is_preferable(self, answer: FeedAnswer, feed: ObjectFeed) -> bool:
        """Return whether an answer is newer, or as new and recently confirmed."""
        batch = answer.batch
        if not batch.changed or batch.version < feed.version:
            return False
        is_fresh = answer.age_ms <= self._timing.age_max_ms
        return batch.version > feed.version or is_fresh

    def peer_addresses(self) -> list[str]:
        """Return the addresses to query: peers in the zone first, then the seeds."""
        same_zone = [item.address for item in self._same_zone_peers()]
        return [*same_zone[:N_PEERS_QUERIED], *self._seed_addresses]

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
        ends_at_ms = self._clock.now_ms() + timeout_ms
        while (left_ms := ends_at_ms - self._clock.now_ms()) > 0.0:
            leader = self.leader()
            if leader is None or kind in self._kinds_overdue:
                batch = await self._watch_store(kind, after_version, left_ms)
            else:
                batch = await self._watch_leader(leader, kind, after_version, left_ms)
            if isinstance(batch, Failure) or batch.changed or batch.deleted_names:
                return batch
            after_version = max(after_version, batch.version)
        return WatchBatch(after_version, ())

    def leader(self) -> InstanceEntry | None:
        """Return the instance to follow, or None if this one reads the store."""
        if not self._timing.allows_leaders:
            return None
        peers = {item.name: item for item in self._same_zone_peers()}
        name = self._leader_selector.leader(peers, self._clock.now_ms())
        return None if name is None else peers[name]

    async def _watch_store(
        self, kind: str, after_version: int, left_ms: float
    ) -> WatchBatch | Failure:
        """Watch the store, with a short time-out if the zone has leaders.

        The feed of a leader must stay recent. An instance whose leaders have no recent
        feed may start its watch during an outage of the store, and such a watch does
        not notice that the outage has ended.
        """
        feed = self._feeds[kind]
        if self._leader_selector.is_zone_large_enough:
            left_ms = self._timing.watch_timeout_ms
            if kind not in self._kinds_from_store:
                # The followers of a new leader soon need a recently confirmed feed.
                left_ms = FIRST_WATCH_TIMEOUT_MS
        self._kinds_from_store.add(kind)
        is_overdue = kind in self._kinds_overdue
        self._kinds_overdue.discard(kind)
        started_ms = self._clock.now_ms()
        batch = await self._store.watch(kind, after_version, left_ms)
        if not isinstance(batch, Failure):
            self._on_store_call(None, started_ms)
        elif self._clock.now_ms() >= started_ms + left_ms:
            # The outage may have ended long ago; the next read tells whether it has.
            self._note_outage(started_ms)
        else:
            self._on_store_call(batch, started_ms)
        if isinstance(batch, Failure):
            self._kinds_from_store.discard(kind)
            self._leader_selector.deprioritise_store(self._clock.now_ms())
            return batch
        now_ms = self._clock.now_ms()
        if is_overdue:
            # No source has told since then whether anything changed.
            made_after_ms = now_ms - feed.age_ms
        elif now_ms - started_ms < IMMEDIATE_ANSWER_MS:
            made_after_ms = self._answered_ms.get(kind, now_ms)
        else:
            made_after_ms = now_ms
        self._record_answer(kind, made_after_ms)
        feed.apply(batch)
        feed.confirm()
        return batch

    async def _watch_leader(
        self,
        leader: InstanceEntry,
        kind: str,
        after_version: int,
        left_ms: float,
    ) -> WatchBatch | Failure:
        """Watch a leader; an empty batch if it failed and another must be tried."""
        self._kinds_from_store.discard(kind)
        feed = self._feeds[kind]
        timeout_ms = min(left_ms, self._timing.leader_watch_timeout_ms)
        started_ms = self._clock.now_ms()
        answer = await self._feed_client.watch(
            leader.address, kind, after_version, timeout_ms
        )
        if not isinstance(answer, Failure):
            elapsed_ms = self._clock.now_ms() - started_ms
            is_immediate = elapsed_ms < IMMEDIATE_ANSWER_MS
            # A leader may have stood still while it was watched.
            made_after_ms = (
                self._answered_ms.get(kind, started_ms) if is_immediate else started_ms
            )
            self._record_answer(kind, made_after_ms)
            if is_of_earlier_era(after_version, answer.batch.version):
                return HISTORY_TRIMMED.with_reason(
                    "the store has returned from a copy, as the leader tells"
                )
            feed.apply(answer.batch)
            feed.confirm(answer.age_ms)
            return answer.batch
        # A leader that has just started has no changes from before its start; another
        # leader or the store has them.
        is_responsive = answer.kind is NOT_READY
        self._leader_selector.deprioritise(
            leader.name, self._clock.now_ms(), is_responsive
        )
        _log.info(
            "leader passed over",
            extra={
                "kind": kind,
                "leader": leader.name,
                "reason": answer.reason,
                "age_ms": round(min(feed.age_ms, AGE_LOGGED_MAX_MS)),
            },
        )
        now_ms = self._clock.now_ms()
        if (
            feed.age_ms > self._timing.age_max_ms
            and not self._leader_selector.is_store_deprioritised(now_ms)
        ):
            # The next leader may be unresponsive, too.
            self._kinds_overdue.add(kind)
            return WatchBatch(after_version, ())
        await self._clock.sleep_ms(self._leader_selector.stagger_ms)
        return WatchBatch(after_version, ())
