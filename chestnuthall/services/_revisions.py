"""Reads and writes the revisions of environments and their history."""

from collections.abc import Callable
from dataclasses import dataclass

from chestnuthall.core.configuration import (
    Difference,
    Draft,
    History,
    RevisionRecord,
    StoredRevision,
    WriteOutcome,
    add_to_history,
    differences,
    next_record,
    resolve_write,
)
from chestnuthall.core.model import EnvironmentDocument
from chestnuthall.core.results import (
    OBJECT_CONFLICT,
    OBJECT_NOT_FOUND,
    STORE_WRITE_UNKNOWN,
    Failure,
)
from chestnuthall.ports import (
    Clock,
    InstanceSummary,
    ObjectStore,
    RevisionCodec,
    StoredObject,
)

ENVIRONMENT_KIND = "environments"
HISTORY_KIND = "environment-history"
STORE_TIMEOUT_MS = 2_000.0
# Time for which a write whose answer was lost is read back and retried.
RESOLVE_TIMEOUT_MS = 20_000.0
RETRY_DELAY_MS = 250.0
N_HISTORY_ATTEMPTS_MAX = 8

DocumentReader = Callable[[str], EnvironmentDocument | Failure]


@dataclass(frozen=True, slots=True)
class RevisionAccepted:
    """The write took effect; ``replaced_by`` is a later revision, if any.

    ``instances`` are the instances that it was announced to.
    """

    record: RevisionRecord
    stored_text: str
    replaced_by: RevisionRecord | None = None
    instances: tuple[InstanceSummary, ...] = ()


@dataclass(frozen=True, slots=True)
class RaceLost:
    """Another operator's write came first.

    ``differences`` are those from the winner's document to the rejected one.
    """

    winner: RevisionRecord
    differences: tuple[Difference, ...]


class RevisionRepository:
    """Writes drafts as revisions by conditional update, and keeps the history."""

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        codec: RevisionCodec,
        read_document: DocumentReader,
    ) -> None:
        self._store = store
        self._clock = clock
        self._codec = codec
        self._read_document = read_document

    async def in_force(self, environment: str) -> StoredRevision | Failure | None:
        """Return the stored revision in force; None if there is no document."""
        stored = await self._store.get(ENVIRONMENT_KIND, environment, STORE_TIMEOUT_MS)
        if isinstance(stored, Failure):
            return None if stored.kind is OBJECT_NOT_FOUND else stored
        record = self._codec.decode_record(stored.value)
        if isinstance(record, Failure):
            return record
        return StoredRevision(record, stored.version)

    async def history(self, environment: str) -> History | Failure:
        """Return the history, with the revision in force added to it.

        Its writer may have ended before adding it to the stored history.
        """
        in_force = await self.in_force(environment)
        if isinstance(in_force, Failure):
            return in_force
        read = await self._read_history(environment)
        if isinstance(read, Failure):
            return read
        history = read[0]
        return history if in_force is None else add_to_history(history, in_force.record)

    async def _read_history(self, environment: str) -> tuple[History, int] | Failure:
        stored = await self._store.get(HISTORY_KIND, environment, STORE_TIMEOUT_MS)
        if isinstance(stored, Failure):
            return (History(), 0) if stored.kind is OBJECT_NOT_FOUND else stored
        history = self._codec.decode_history(stored.value)
        return history if isinstance(history, Failure) else (history, stored.version)

    async def record_in_history(self, record: RevisionRecord) -> History | Failure:
        """Add a record to the history; idempotent."""
        failure = STORE_WRITE_UNKNOWN.with_reason("the history changed too often")
        for _ in range(N_HISTORY_ATTEMPTS_MAX):
            read = await self._read_history(record.environment)
            if isinstance(read, Failure):
                return read
            history, version = read
            changed = add_to_history(history, record)
            if changed is history:
                return history
            written = await self._write(
                HISTORY_KIND,
                record.environment,
                self._codec.encode_history(changed),
                version,
            )
            if isinstance(written, StoredObject):
                return changed
            failure = written
            if written.kind not in (OBJECT_CONFLICT, STORE_WRITE_UNKNOWN):
                break
            await self._clock.sleep_ms(RETRY_DELAY_MS)
        return failure

    async def accept(
        self, draft: Draft, base: StoredRevision | None
    ) -> RevisionAccepted | RaceLost | Failure:
        """Write a draft as the next revision after ``base``, the one that was read.

        The replaced revision is recorded in the history before the write.
        Therefore the history has no gap, even if this process ends at once
        after the write, and a replaced write can be recognised.
        """
        if base is None:
            read = await self._read_history(draft.environment)
            history: History | Failure = read if isinstance(read, Failure) else read[0]
        else:
            history = await self.record_in_history(base.record)
        if isinstance(history, Failure):
            return history
        last_revision = max(
            history.last_revision, 0 if base is None else base.record.revision
        )
        record = next_record(draft, last_revision, self._clock.wall_ms())
        return await self._write_and_resolve(record, base)

    async def _write_and_resolve(
        self, record: RevisionRecord, base: StoredRevision | None
    ) -> RevisionAccepted | RaceLost | Failure:
        text = self._codec.encode_record(record)
        version = 0 if base is None else base.version
        ends_at_ms = self._clock.now_ms() + RESOLVE_TIMEOUT_MS
        is_unresolved = False
        while True:
            written = await self._write(
                ENVIRONMENT_KIND, record.environment, text, version
            )
            if isinstance(written, StoredObject):
                return RevisionAccepted(record, text)
            if written.kind is STORE_WRITE_UNKNOWN:
                is_unresolved = True
            elif written.kind is not OBJECT_CONFLICT and not is_unresolved:
                return written
            outcome = await self._resolve(record, text, base, ends_at_ms)
            if outcome is not None:
                return outcome
            await self._clock.sleep_ms(RETRY_DELAY_MS)

    async def _resolve(
        self,
        record: RevisionRecord,
        text: str,
        base: StoredRevision | None,
        ends_at_ms: float,
    ) -> RevisionAccepted | RaceLost | Failure | None:
        """Read back until the outcome is known; None means to retry the write."""
        while True:
            reading = await self._read_back(record, base)
            if not isinstance(reading, Failure):
                break
            if self._clock.now_ms() >= ends_at_ms:
                reason = f"the write may have taken effect: {reading.reason}"
                return STORE_WRITE_UNKNOWN.with_reason(reason)
            await self._clock.sleep_ms(RETRY_DELAY_MS)
        outcome, found = reading
        if outcome is WriteOutcome.ACCEPTED:
            return RevisionAccepted(record, text)
        if outcome is WriteOutcome.ACCEPTED_AND_REPLACED:
            return RevisionAccepted(
                record, text, None if found is None else found.record
            )
        if outcome is WriteOutcome.LOST:
            return self._conflict_result(record, found)
        if self._clock.now_ms() >= ends_at_ms:
            return STORE_WRITE_UNKNOWN.with_reason(
                "the store did not accept the write in time"
            )
        return None

    async def _read_back(
        self, record: RevisionRecord, base: StoredRevision | None
    ) -> tuple[WriteOutcome, StoredRevision | None] | Failure:
        found = await self.in_force(record.environment)
        if isinstance(found, Failure):
            return found
        read = await self._read_history(record.environment)
        if isinstance(read, Failure):
            return read
        outcome = resolve_write(record.write_token, base, found, read[0])
        return outcome, found

    def _conflict_result(
        self, record: RevisionRecord, found: StoredRevision | None
    ) -> RaceLost | Failure:
        if found is None:
            return OBJECT_CONFLICT.with_reason("the document was deleted meanwhile")
        return self.race_lost(found.record, record.text)

    def race_lost(self, winner: RevisionRecord, own_text: str) -> RaceLost | Failure:
        """Return the winning revision and how the two documents differ."""
        theirs = self._read_document(winner.text)
        own = self._read_document(own_text)
        if isinstance(theirs, Failure):
            return theirs
        if isinstance(own, Failure):
            return own
        return RaceLost(winner, differences(theirs, own))

    async def _write(
        self, kind: str, name: str, text: str, version: int
    ) -> StoredObject | Failure:
        if version == 0:
            return await self._store.create(kind, name, text, STORE_TIMEOUT_MS)
        return await self._store.update(kind, name, text, version, STORE_TIMEOUT_MS)
