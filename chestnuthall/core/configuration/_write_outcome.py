"""Decision whether a write of a revision with an unknown outcome took effect."""

from dataclasses import dataclass
from enum import Enum

from chestnuthall.core.configuration._records import History, RevisionRecord


class WriteOutcome(Enum):
    """Outcome of a write, determined by reading the store afterwards."""

    ACCEPTED = "accepted"
    ACCEPTED_AND_REPLACED = "accepted_and_replaced"
    LOST = "lost"
    RETRY = "write_again"


@dataclass(frozen=True, slots=True)
class StoredRevision:
    """The record in the store, with the version of its object."""

    record: RevisionRecord
    version: int


def resolve_write(
    write_token: str,
    base: StoredRevision | None,
    found: StoredRevision | None,
    history: History,
) -> WriteOutcome:
    """Determine the outcome of a write that was conditional on ``base``.

    If the object has not changed, the write may still take effect; a second write
    with the same condition ensures that at most one of the two does. A writer
    records a revision in the history before it replaces it, so a write that was
    accepted and then replaced is found there.
    """
    if found is not None and found.record.write_token == write_token:
        return WriteOutcome.ACCEPTED
    if history.has_token(write_token):
        return WriteOutcome.ACCEPTED_AND_REPLACED
    base_version = 0 if base is None else base.version
    found_version = 0 if found is None else found.version
    if found_version == base_version:
        return WriteOutcome.RETRY
    return WriteOutcome.LOST
