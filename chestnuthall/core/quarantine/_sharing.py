"""Decides how the fleet's record of a request is brought up to date."""

from dataclasses import dataclass
from typing import TypeAlias

from chestnuthall.core.quarantine._record import QuarantineRecord


@dataclass(frozen=True, slots=True)
class CreateRecord:
    """Create the record of a request that has none."""

    record: QuarantineRecord


@dataclass(frozen=True, slots=True)
class UpdateRecord:
    """Replace the record, provided that it has not changed meanwhile."""

    record: QuarantineRecord


@dataclass(frozen=True, slots=True)
class DeleteRecord:
    """Delete the record of a request that was cleared."""

    fingerprint: str


RecordWrite: TypeAlias = CreateRecord | UpdateRecord | DeleteRecord


def next_write(
    fingerprint: str, own: QuarantineRecord | None, shared: QuarantineRecord | None
) -> RecordWrite | None:
    """Return the write that shares what this instance knows, or None for none.

    ``own`` is the instance's state of the request and ``shared`` that of the fleet;
    None means that nothing is known.

    Examples
    --------
    >>> own = QuarantineRecord(fingerprint="f", is_quarantined=True)
    >>> next_write("f", own, None) == CreateRecord(own)
    True
    >>> next_write("f", own, own) is None
    True
    >>> next_write("f", None, own)
    DeleteRecord(fingerprint='f')
    """
    if own is None:
        return None if shared is None else DeleteRecord(fingerprint)
    if shared is None:
        return CreateRecord(own)
    merged = own.merged_with(shared)
    return None if merged == shared else UpdateRecord(merged)
