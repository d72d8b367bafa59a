"""Decision whether a write of a revision with an unknown outcome took effect."""

from dataclasses import dataclass
from enum import Enum

from chestnuthall.core.configuration._records import History, RevisionRecord


class Settlement(Enum):
    """Outcome of a write, determined by reading the store afterwards."""

    ACCEPTED = "accepted"
    ACCEPTED_AND_REPLACED = "accepted_and_replaced"
    LOST = "lost"
    WRITE_AGAIN = "write_again"


@dataclass(frozen=True, slots=True)
class InForce:
    """The record in the store, with the version of its object."""

    record: RevisionRecord
    version: int


def decide_settlement(
    write_token: str, base: InForce | None, found: InForce | None, history: History
) -> Settlement:
    """Determine the outcome of a write that was conditional on ``base``.

    If the object has not changed, the write may still take effect; a second write
    with the same condition ensures that at most one of the two does. A writer
    records a revision in the history before it replaces it, so a write that was
    accepted and then replaced is found there.
    """
    if found is not None and found.record.write_token == write_token:
        return Settlement.ACCEPTED
    if history.has_token(write_token):
        return Settlement.ACCEPTED_AND_REPLACED
    base_version = 0 if base is None else base.version
    found_version = 0 if found is None else found.version
    if found_version == base_version:
        return Settlement.WRITE_AGAIN
    return Settlement.LOST
