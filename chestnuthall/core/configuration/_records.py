"""Records of the accepted revisions of an environment."""

import re
from dataclasses import dataclass, replace
from typing import Final

_CONTROL_CHARACTERS: Final = re.compile("[\\x00-\\x1f]")
# The two bounds keep the history of an environment below the store's limit of
# 1 MB per value. They count bytes as JSON stores them.
N_HISTORY_ENTRY_BYTES_MAX: Final = 600_000
N_HISTORY_TEXT_BYTES_MAX: Final = 300_000
# Encoded field names, numbers and punctuation of one entry.
N_ENTRY_OVERHEAD_BYTES: Final = 350
N_REASON_CHARACTERS_MAX: Final = 300
N_EVIDENCE_CHARACTERS_MAX: Final = 600


@dataclass(frozen=True, slots=True, kw_only=True)
class Draft:
    """A document that an operator submits as the next revision.

    ``write_token`` is unique to one attempt and identifies the write if its answer
    was lost. The ``source`` fields identify the revision that a promotion copies.
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
    """Records of an environment, sorted by revision."""

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
        """Return whether a write with this token is recorded as accepted."""
        return any(item.write_token == write_token for item in self.records)


def next_record(draft: Draft, last_revision: int, now_wall_ms: float) -> RevisionRecord:
    """Return the record of a draft as the revision after ``last_revision``."""
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
    """Return the history with a record added, bounded in size.

    A revision that is already recorded is left unchanged, so a repeated write has
    no effect. Old entries lose their text beyond ``N_HISTORY_TEXT_BYTES_MAX`` and
    are removed beyond ``N_HISTORY_ENTRY_BYTES_MAX``.
    """
    if history.find(record.revision) is not None:
        return history
    records = sorted((*history.records, record), key=lambda item: item.revision)
    return History(tuple(_drop_old_entries(_drop_old_texts(records))))


def _n_stored_bytes(text: str) -> int:
    """Return the encoded length of a text in JSON, including escapes."""
    n_bytes = len(text.encode())
    n_short_escapes = sum(
        text.count(character) for character in ('"', "\\", "\n", "\r", "\t")
    )
    n_control_characters = len(_CONTROL_CHARACTERS.findall(text))
    return n_bytes + n_short_escapes + 5 * n_control_characters


def _drop_old_texts(records: list[RevisionRecord]) -> list[RevisionRecord]:
    kept: list[RevisionRecord] = []
    n_bytes = 0
    for record in reversed(records):
        n_bytes += _n_stored_bytes(record.text)
        if n_bytes > N_HISTORY_TEXT_BYTES_MAX:
            record = replace(record, text="")
        kept.append(record)
    return kept[::-1]


def _drop_old_entries(records: list[RevisionRecord]) -> list[RevisionRecord]:
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
        n_bytes += N_ENTRY_OVERHEAD_BYTES + sum(
            _n_stored_bytes(item) for item in fields
        )
        if n_bytes > N_HISTORY_ENTRY_BYTES_MAX:
            break
        kept.append(record)
    return kept[::-1]
