"""Merge the partial answers of a two-level fan-out."""

from collections.abc import Sequence
from dataclasses import dataclass

from chestnuthall.core.model import Coverage, Hit


@dataclass(frozen=True, slots=True)
class PartialAnswer:
    """Answer of one instance for its shard set of one snapshot.

    ``n_calls`` is the number of shard calls that the instance made.
    """

    snapshot_id: int
    hits: tuple[Hit, ...]
    coverage: Coverage
    n_calls: int = 0


def sum_coverage(coverages: Sequence[Coverage]) -> Coverage:
    """Return the total coverage of disjoint shard sets.

    Examples
    --------
    >>> sum_coverage([Coverage(5, 10, 0, 1), Coverage(10, 10, 1, 1)]).ratio
    0.75
    """
    return Coverage(
        n_documents_covered=sum(coverage.n_documents_covered for coverage in coverages),
        n_documents_total=sum(coverage.n_documents_total for coverage in coverages),
        n_shards_covered=sum(coverage.n_shards_covered for coverage in coverages),
        n_shards_total=sum(coverage.n_shards_total for coverage in coverages),
        missing_ranges=tuple(
            item for coverage in coverages for item in coverage.missing_ranges
        ),
    )


def merge_partial_answers(
    answers: Sequence[PartialAnswer], snapshot_id: int, n_hits_max: int
) -> PartialAnswer:
    """Merge the partial answers of one snapshot into one answer.

    Partial answers of another snapshot contribute no hits and no covered
    documents, so that the result never mixes snapshots. The caller adds the key
    ranges that they covered to the missing ranges, since it knows which shards
    it requested.
    """
    merged = [answer for answer in answers if answer.snapshot_id == snapshot_id]
    hits = sorted(
        (hit for answer in merged for hit in answer.hits),
        key=lambda hit: (-hit.score, hit.key),
    )
    coverage = sum_coverage(
        [
            answer.coverage
            if answer.snapshot_id == snapshot_id
            else _without_coverage(answer)
            for answer in answers
        ]
    )
    n_calls = sum(answer.n_calls for answer in answers)
    return PartialAnswer(snapshot_id, tuple(hits[:n_hits_max]), coverage, n_calls)


def _without_coverage(answer: PartialAnswer) -> Coverage:
    own = answer.coverage
    return Coverage(0, own.n_documents_total, 0, own.n_shards_total, own.missing_ranges)
