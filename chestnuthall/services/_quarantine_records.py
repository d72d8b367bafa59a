"""Shares suspicions and quarantines with the fleet through the object store."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import singledispatchmethod
from random import Random

from chestnuthall.core.quarantine import (
    CreateRecord,
    DeleteRecord,
    QuarantineRecord,
    QuarantineRegistry,
    RecordWrite,
    SuspicionState,
    UpdateRecord,
    is_lifted_again,
    next_write,
)
from chestnuthall.core.results import (
    NOT_READY,
    OBJECT_CONFLICT,
    OBJECT_NOT_FOUND,
    Failure,
)
from chestnuthall.core.versions import is_of_earlier_era
from chestnuthall.ports import Clock, ObjectListing, ObjectStore, StoredObject
from chestnuthall.services._kind_follower import KindFollower

_log = logging.getLogger(__name__)

QUARANTINE_KIND = "quarantines"
STORE_TIMEOUT_MS = 1_000.0
# A caller waits for the claim of a retest.
CLAIM_TIMEOUT_MS = 200.0
RETRY_DELAY_MIN_MS = 250.0
RETRY_DELAY_MAX_MS = 1_000.0
# Failed listings after which an instance serves without the records. With the store
# and all peers out of reach, nobody can tell it more.
N_LISTINGS_FAILED_MAX = 3
# The same while the store answers reads of other kinds.
N_LISTINGS_FAILED_ANSWERING_MAX = 20
# Limit of the records in the store. When it is reached, the oldest suspicion makes
# room for a new record.
N_RECORDS_MAX = 512
# How long a lifted record is remembered. A copy from which the store returns is seconds
# old.
LIFTED_KEPT_MS = 60_000.0
SHARED_STATES = frozenset(
    {SuspicionState.QUARANTINED, SuspicionState.UNRESOLVED, SuspicionState.CLEARED}
)

RecordReader = Callable[[StoredObject], QuarantineRecord | Failure]
RecordWriter = Callable[[QuarantineRecord], str]


@dataclass(frozen=True, slots=True)
class _SharedRecord:
    """A record as it is in the store."""

    record: QuarantineRecord
    version: int


@dataclass(frozen=True, slots=True)
class _LiftedRecord:
    """The last state of a record that is no longer in the store."""

    shared: _SharedRecord
    lifted_ms: float


class QuarantineRecords:
    """Keeps a record in the store for each request that is not cleared at once.

    What one instance has learnt holds at all others, and survives its end: records
    are adopted as they change, and by an instance that starts, and hold until they are
    deleted. A retest is claimed by
    a conditional write, so that only one instance runs it; while the store is
    unavailable there is none. ``is_store_answering`` tells whether the store answered
    the last read of any kind.

    A store that returns from a copy has lost the last records, and has those again that
    were lifted last. What this instance knows stays, and it brings the store up to
    date when its turn comes: ``turn_ms`` returns how long it waits for another
    instance to write the record of a fingerprint.
    """

    def __init__(
        self,
        registry: QuarantineRegistry,
        store: ObjectStore,
        clock: Clock,
        random: Random,
        read: RecordReader,
        write: RecordWriter,
        watch_timeout_ms: float,
        is_store_answering: Callable[[], bool | None] = lambda: None,
        turn_ms: Callable[[str], float] = lambda fingerprint: 0.0,
    ) -> None:
        self._is_store_answering = is_store_answering
        self._turn_ms = turn_ms
        self._registry = registry
        self._store = store
        self._clock = clock
        self._random = random
        self._read = read
        self._write_value = write
        self._shared: dict[str, _SharedRecord] = {}
        self._pending: set[str] = set()
        # Records that the store has lost and that nobody has written again yet.
        self._lost: set[str] = set()
        self._lifted: dict[str, _LiftedRecord] = {}
        self._claiming: set[str] = set()
        self._may_serve = False
        self._n_listings_failed = 0
        self._has_pending = asyncio.Event()
        self._follower = KindFollower(
            QUARANTINE_KIND, store, clock, self, watch_timeout_ms
        )
        registry.add_listener(self._on_change)

    def _on_change(
        self, fingerprint: str, state: SuspicionState, is_local: bool
    ) -> None:
        if not is_local or state not in SHARED_STATES:
            return
        if state is SuspicionState.CLEARED:
            self._remember_lifted(fingerprint)
        self._request_write(fingerprint)

    def _request_write(self, fingerprint: str) -> None:
        self._pending.add(fingerprint)
        self._has_pending.set()

    def _request_write_in_turn(self, fingerprint: str) -> None:
        """Bring a record up to date, unless another instance does so before."""
        asyncio.get_running_loop().call_later(
            self._turn_ms(fingerprint) / 1000.0, self._request_write, fingerprint
        )

    def _remember_lifted(self, fingerprint: str) -> None:
        shared = self._shared.get(fingerprint)
        if shared is None:
            return
        now_ms = self._clock.now_ms()
        self._lifted.pop(fingerprint, None)
        self._lifted[fingerprint] = _LiftedRecord(shared, now_ms)
        while (
            len(self._lifted) > N_RECORDS_MAX
            or next(iter(self._lifted.values())).lifted_ms < now_ms - LIFTED_KEPT_MS
        ):
            del self._lifted[next(iter(self._lifted))]

    def may_serve(self) -> bool:
        """Return whether requests may be served with what is known of the records.

        Before the first listing an instance would run quarantined requests. If the
        records are out of reach, it serves without them, unless the store answers
        other reads and can be expected to return the records soon.
        """
        if not self._may_serve and self._n_listings_failed >= (
            N_LISTINGS_FAILED_ANSWERING_MAX
            if self._is_store_answering()
            else N_LISTINGS_FAILED_MAX
        ):
            self._may_serve = True
            _log.warning("serving without knowledge of the quarantines")
        return self._may_serve

    async def run(self) -> None:
        """Follow the records and write changes until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._write_changes())

    async def _write_changes(self) -> None:
        while True:
            await self._has_pending.wait()
            self._has_pending.clear()
            for fingerprint in tuple(self._pending):
                # A change during the write has to be written afterwards.
                self._pending.discard(fingerprint)
                if not await self._share(fingerprint):
                    self._pending.add(fingerprint)
            if self._pending:
                self._has_pending.set()
                delay_ms = self._random.uniform(RETRY_DELAY_MIN_MS, RETRY_DELAY_MAX_MS)
                await self._clock.sleep_ms(delay_ms)

    async def _share(self, fingerprint: str) -> bool:
        """Bring the record of a request up to date; return whether that succeeded."""
        shared = self._shared.get(fingerprint)
        action = next_write(
            fingerprint,
            self._registry.record(fingerprint, self._clock.now_ms()),
            None if shared is None else shared.record,
        )
        if action is None:
            return True
        failure = await self._carry_out(action)
        if failure is None:
            return True
        _log.warning(
            "cannot write a quarantine record",
            extra={"fingerprint": fingerprint, "result_code": failure.code},
        )
        if await self._is_missing_after_refresh(fingerprint):
            self._shared.pop(fingerprint, None)
        return False

    @singledispatchmethod
    async def _carry_out(self, action: RecordWrite) -> Failure | None:
        raise TypeError(f"not a write: {type(action).__name__}")

    @_carry_out.register
    async def _(self, action: CreateRecord) -> Failure | None:
        await self._make_room()
        record = action.record
        written = await self._store.create(
            QUARANTINE_KIND,
            record.fingerprint,
            self._write_value(record),
            STORE_TIMEOUT_MS,
        )
        return self._remember(record, written)

    @_carry_out.register
    async def _(self, action: UpdateRecord) -> Failure | None:
        return await self._update(action.record, STORE_TIMEOUT_MS)

    @_carry_out.register
    async def _(self, action: DeleteRecord) -> Failure | None:
        return await self._delete(action.fingerprint)

    async def _update(
        self, record: QuarantineRecord, timeout_ms: float
    ) -> Failure | None:
        written = await self._store.update(
            QUARANTINE_KIND,
            record.fingerprint,
            self._write_value(record),
            self._shared[record.fingerprint].version,
            timeout_ms,
        )
        return self._remember(record, written)

    def _remember(
        self, record: QuarantineRecord, written: StoredObject | Failure
    ) -> Failure | None:
        if isinstance(written, Failure):
            return written
        self._shared[record.fingerprint] = _SharedRecord(record, written.version)
        self._lost.discard(record.fingerprint)
        self._registry.keep(record.fingerprint)
        return None

    async def _delete(self, fingerprint: str) -> Failure | None:
        version = self._shared[fingerprint].version
        failure = await self._store.delete(
            QUARANTINE_KIND, fingerprint, version, STORE_TIMEOUT_MS
        )
        if failure is None or failure.kind is OBJECT_NOT_FOUND:
            self._shared.pop(fingerprint, None)
            return None
        return failure

    async def _make_room(self) -> None:
        """Delete the oldest record, suspicions first, if there are too many."""
        if len(self._shared) < N_RECORDS_MAX:
            return
        oldest = min(
            self._shared.values(),
            key=lambda item: (item.record.is_quarantined, item.version),
        )
        await self._delete(oldest.record.fingerprint)

    async def _is_missing_after_refresh(self, fingerprint: str) -> bool:
        """Read a record that may have changed; return whether there is none."""
        stored = await self._store.get(QUARANTINE_KIND, fingerprint, STORE_TIMEOUT_MS)
        if not isinstance(stored, Failure):
            self.on_changed(stored)
            return False
        return stored.kind is OBJECT_NOT_FOUND

    async def claim_probe(self, fingerprint: str) -> bool:
        """Return whether this instance may probe a suspected request now.

        Instances that get the request at the same moment would crash a replica each.
        A suspicion that is not shared yet needs no claim, and without the store there
        is none. One whose record the store has lost cannot be claimed.
        """
        shared = self._shared.get(fingerprint)
        if shared is None:
            return fingerprint not in self._lost
        record = replace(shared.record, n_probes=shared.record.n_probes + 1)
        failure = await self._update(record, CLAIM_TIMEOUT_MS)
        if failure is None or failure.kind not in (OBJECT_CONFLICT, OBJECT_NOT_FOUND):
            return True
        # A missing record was deleted or lost, which the next listing or watch shows.
        await self._is_missing_after_refresh(fingerprint)
        return False

    async def claim(self, fingerprint: str) -> bool:
        """Count a retest in the record; return whether this instance may run it."""
        shared = self._shared.get(fingerprint)
        if shared is None or fingerprint in self._claiming:
            return False
        self._claiming.add(fingerprint)
        record = replace(shared.record, n_retests=shared.record.n_retests + 1)
        try:
            failure = await self._update(record, CLAIM_TIMEOUT_MS)
        finally:
            self._claiming.discard(fingerprint)
        if failure is not None:
            _log.info(
                "retest not claimed",
                extra={"fingerprint": fingerprint, "result_code": failure.code},
            )
            return False
        self._registry.adopt(record, self._clock.now_ms())
        _log.info(
            "retest claimed",
            extra={"fingerprint": fingerprint, "n_retests": record.n_retests},
        )
        return True

    def on_listed(self, listing: ObjectListing) -> bool:
        """Replace all records, except those written after the listing."""
        names = {item.name for item in listing}
        version = listing.watch_version
        missing = [item for item in self._shared.items() if item[0] not in names]
        lost = [name for name, x in missing if is_of_earlier_era(x.version, version)]
        for name, shared in missing:
            if name not in lost and shared.version <= version:
                self.on_deleted(name)
        self._on_lost(lost)
        for stored in listing:
            self.on_changed(stored)
        self._may_serve = True
        return True

    def _on_lost(self, fingerprints: list[str]) -> None:
        """Write records again that the store has lost; what they say still holds."""
        for fingerprint in fingerprints:
            del self._shared[fingerprint]
            self._lost.add(fingerprint)
            self._request_write_in_turn(fingerprint)
        if fingerprints:
            _log.warning(
                "quarantine records lost by the store",
                extra={"n_records": len(fingerprints)},
            )

    def on_changed(self, stored: StoredObject) -> None:
        """Adopt a record that another instance has written."""
        known = self._shared.get(stored.name)
        if known is not None and known.version >= stored.version:
            return
        record = self._read(stored)
        if isinstance(record, Failure):
            _log.warning(
                "quarantine record ignored",
                extra={"fingerprint": stored.name, "reason": record.reason},
            )
            return
        self._shared[stored.name] = _SharedRecord(record, stored.version)
        self._lost.discard(stored.name)
        if self._is_lifted_again(record, stored.version):
            # It is deleted again, since the registry does not know it.
            self._request_write_in_turn(stored.name)
            return
        self._registry.adopt(record, self._clock.now_ms())
        self._registry.keep(stored.name)
        if known is not None and is_of_earlier_era(known.version, stored.version):
            # The copy may have an earlier state of the record.
            self._request_write_in_turn(stored.name)

    def _is_lifted_again(self, record: QuarantineRecord, version: int) -> bool:
        """Return whether the store has a lifted record again, after its return."""
        lifted = self._lifted.get(record.fingerprint)
        return (
            lifted is not None
            and is_of_earlier_era(lifted.shared.version, version)
            and is_lifted_again(record, lifted.shared.record)
            and not self._registry.is_suspected(
                record.fingerprint, self._clock.now_ms()
            )
        )

    def on_deleted(self, name: str) -> None:
        """Lift a quarantine that another instance or an operator has ended.

        Losses that this instance has not shared yet remain.
        """
        self._remember_lifted(name)
        self._shared.pop(name, None)
        self._lost.discard(name)
        if name not in self._pending:
            self._registry.lift(name)

    def on_list_failed(self, failure: Failure) -> None:
        """Keep the known records."""
        self._n_listings_failed += 1
        if failure.kind is not NOT_READY:
            _log.warning("cannot list quarantines", extra={"result_code": failure.code})

    def on_watch_failed(self, failure: Failure) -> None:
        """Keep the known records."""
        _log.warning("watch of quarantines ended", extra={"result_code": failure.code})
