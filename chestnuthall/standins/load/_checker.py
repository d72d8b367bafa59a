"""Checks answers against the contents of the emulated index."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from chestnuthall.standins.upstream import make_record
from chestnuthall.standins.upstream._index import compute_score


class Violation(Enum):
    """A guarantee that an answer violates."""

    MIXED_SNAPSHOT = "mixed_snapshot"
    WRONG_COVERAGE = "wrong_coverage"
    FOREIGN_ANSWER = "foreign_answer"


@dataclass(frozen=True, slots=True)
class _MissingRange:
    start: str
    end: str

    def contains(self, key: str) -> bool:
        return self.start <= key and (not self.end or key < self.end)


class AnswerChecker:
    """Checks answers for a group against the known keys of all its shards."""

    def __init__(self, group: str, keys: Iterable[str]) -> None:
        self._group = group
        self._keys = tuple(keys)

    def check_search(
        self, query: str, n_hits_max: int, body: dict[str, Any]
    ) -> list[Violation]:
        """Return the guarantees that the answer to a search violates."""
        violations = []
        hits = body["hits"]
        snapshot_id = body["snapshot_id"]
        if any(
            hit["record"] != make_record(self._group, snapshot_id, hit["key"])
            for hit in hits
        ):
            violations.append(Violation.MIXED_SNAPSHOT)
        coverage = body["coverage"]
        missing = [_MissingRange(**item) for item in coverage["missing_ranges"]]
        covered = [
            key for key in self._keys if not any(item.contains(key) for item in missing)
        ]
        if len(covered) != coverage["n_documents_covered"]:
            violations.append(Violation.WRONG_COVERAGE)
        if [hit["key"] for hit in hits] != _best_keys(query, covered, n_hits_max):
            violations.append(Violation.FOREIGN_ANSWER)
        return violations

    def check_lookup(self, key: str, body: dict[str, Any]) -> list[Violation]:
        """Return the guarantees that the answer to a lookup violates."""
        expected = [make_record(self._group, body["snapshot_id"], key)]
        if [hit["record"] for hit in body["hits"]] != expected:
            return [Violation.FOREIGN_ANSWER]
        return []


def _best_keys(query: str, keys: list[str], n_hits_max: int) -> list[str]:
    ranked = sorted(keys, key=lambda key: (-compute_score(query, key), key))
    return ranked[:n_hits_max]
