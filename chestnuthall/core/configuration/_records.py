"""What is recorded about each accepted revision of an environment."""

import re
from dataclasses import dataclass, replace
from typing import Final

_CONTROL: Final = re.compile("[\\x00-\\x1f]")
# The two bounds keep the history of an environment below the store's limit of
# 1 MB per value. They count bytes as JSON stores them.
N_HISTORY_ENTRY_BYTES_MAX: Final = 600_000
N_HISTORY_TEXT_BYTES_MAX: Final = 300_000
# Names of fields, numbers and punctuation of one entry.
N_ENTRY_BYTES_FIXED: Final = 350
N_REASON_CHARACTERS_MAX: Final = 300
N_EVIDENCE_CHARACTERS_MAX: Final = 600


@dataclass(frozen=True, slots=True, kw_only=True)
class Draft:
    """A document that an operator wants to be the next revision.

    ``write_token`` is unique to one attempt, so that a write whose answer was
    lost can be recognised. The ``source`` fields name the revision that a
    promotion takes over.
    """

    environment: str
    digest: str
    text: str
    author: str
    reason: str
    write_token: str
    source_environment: str = ""
    source_revision: int = 0
    override_reason: str = ""
    evidence: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class RevisionRecord:
    """An accepted revision; ``text`` is empty in old entries of a history."""

    environment: str
    revision: int
    digest: str
    text: str
    author: str = ""
    reason: str = ""
    accepted_wall_ms: float = 0.0
    write_token: str = ""
    source_environment: str = ""
    source_revision: int = 0
    override_reason: str = ""
    evidence: str = ""


@dataclass(frozen=True, slots=True)
class History:
    """Records of an environment in order of revision."""

    records: tuple[RevisionRecord, ...] = ()

    @property
    def last_revision(self) -> int:
        """The highest revision recorded; 0 for an empty history."""
        return self.records[-1].revision if self.records else 0

    def find(self, revision: int) -> RevisionRecord | None:
        """Return the record of a revision, or None."""
        found = (item for item in self.records if item.revision == revision)
        return next(found, None)

    def has_token(self, write_token: str) -> bool:
        """Return whether a write of that token was accepted."""
        return any(item.write_token == write_token for item in self.records)


def next_record(draft: Draft, last_revision: int, now_wall_ms: float) -> RevisionRecord:
    """Return the record that a draft becomes after ``last_revision``."""
    return RevisionRecord(
        environment=draft.environment,
        revision=last_revision + 1,
        digest=draft.digest,
        text=draft.text,
        author=draft.author,
        reason=draft.reason[:N_REASON_CHARACTERS_MAX],
        accepted_wall_ms=now_wall_ms,
        write_token=draft.write_token,
        source_environment=draft.source_environment,
        source_revision=draft.source_revision,
        override_reason=draft.override_reason[:N_REASON_CHARACTERS_MAX],
        evidence=draft.evidence[:N_EVIDENCE_CHARACTERS_MAX],
    )


def add_to_history(history: History, record: RevisionRecord) -> History:
    """Return the history with a record, bounded in size.

    A revision that is recorded already stays as it is, so a repeated write
    changes nothing. Old entries lose their text first, then go altogether.
    """
    if history.find(record.revision) is not None:
        return history
    records = sorted((*history.records, record), key=lambda item: item.revision)
    return History(tuple(_without_old_entries(_without_old_texts(records))))


def _stored_bytes(text: str) -> int:
    """Return the length of a text as JSON stores it, escapes included."""
    n_bytes = len(text.encode())
    n_short = sum(text.count(mark) for mark in ('"', "\\", "\n", "\r", "\t"))
    n_control = len(_CONTROL.findall(text))
    return n_bytes + n_short + 5 * n_control


def _without_old_texts(records: list[RevisionRecord]) -> list[RevisionRecord]:
    kept: list[RevisionRecord] = []
    n_bytes = 0
    for record in reversed(records):
        n_bytes += _stored_bytes(record.text)
        if n_bytes > N_HISTORY_TEXT_BYTES_MAX:
            record = replace(record, text="")
        kept.append(record)
    return kept[::-1]


def _without_old_entries(records: list[RevisionRecord]) -> list[RevisionRecord]:
    kept: list[RevisionRecord] = []
    n_bytes = 0
    for record in reversed(records):
        fields = (
            record.environment,
            record.source_environment,
            record.digest,
            record.write_token,
            record.author,
            record.reason,
            record.override_reason,
            record.evidence,
        )
        n_bytes += N_ENTRY_BYTES_FIXED + sum(_stored_bytes(item) for item in fields)
        if n_bytes > N_HISTORY_ENTRY_BYTES_MAX:
            break
        kept.append(record)
    return kept[::-1]
