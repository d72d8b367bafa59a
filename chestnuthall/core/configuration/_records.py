"""What is recorded about each accepted revision of an environment."""

from dataclasses import dataclass, replace
from typing import Final

# The two bounds keep the history of an environment below the store's limit of
# 1 MB per value: an entry without its text takes at most about 1.2 KB, and the
# texts take up to 1.2 times their size once they are escaped.
N_HISTORY_ENTRIES_MAX: Final = 500
N_HISTORY_TEXT_CHARACTERS_MAX: Final = 250_000
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

    def of_revision(self, revision: int) -> RevisionRecord | None:
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
    if history.of_revision(record.revision) is not None:
        return history
    records = sorted((*history.records, record), key=lambda item: item.revision)
    return History(tuple(_without_old_texts(records[-N_HISTORY_ENTRIES_MAX:])))


def _without_old_texts(records: list[RevisionRecord]) -> list[RevisionRecord]:
    kept: list[RevisionRecord] = []
    n_characters = 0
    for record in reversed(records):
        n_characters += len(record.text)
        if n_characters > N_HISTORY_TEXT_CHARACTERS_MAX:
            record = replace(record, text="")
        kept.append(record)
    return kept[::-1]
