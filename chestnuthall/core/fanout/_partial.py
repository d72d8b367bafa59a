"""Sums of the partial answers of a two-level fan-out."""

from collections.abc import Sequence
from dataclasses import dataclass

from chestnuthall.core.model import Coverage, Hit


@dataclass(frozen=True, slots=True)
class PartialAnswer:
    """What one instance found in its set of shards of one snapshot.

    ``n_calls`` is the number of shard calls that it made.
    """

    snapshot_id: int
    hits: tuple[Hit, ...]
    coverage: Coverage
    n_calls: int = 0


def sum_coverage(parts: Sequence[Coverage]) -> Coverage:
    """Return the coverage of disjoint sets of shards taken together.

    Examples
    --------
    >>> sum_coverage([Coverage(5, 10, 0, 1), Coverage(10, 10, 1, 1)]).ratio
    0.75
    """
    return Coverage(
        n_documents_covered=sum(part.n_documents_covered for part in parts),
        n_documents_total=sum(part.n_documents_total for part in parts),
        n_shards_covered=sum(part.n_shards_covered for part in parts),
        n_shards_total=sum(part.n_shards_total for part in parts),
        missing_ranges=tuple(item for part in parts for item in part.missing_ranges),
    )


def merge_partial_answers(
    parts: Sequence[PartialAnswer], snapshot_id: int, n_hits_max: int
) -> PartialAnswer:
    """Return the partial answers of one snapshot as one answer.

    Parts of another snapshot add no hits and no documents, so that a sum never
    mixes snapshots. The caller adds the key ranges that such a part covered to
    the missing ones, since it knows which shards it had asked for.
    """
    merged = [part for part in parts if part.snapshot_id == snapshot_id]
    hits = sorted(
        (hit for part in merged for hit in part.hits),
        key=lambda hit: (-hit.score, hit.key),
    )
    coverage = sum_coverage(
        [
            part.coverage if part.snapshot_id == snapshot_id else _nothing_of(part)
            for part in parts
        ]
    )
    n_calls = sum(part.n_calls for part in parts)
    return PartialAnswer(snapshot_id, tuple(hits[:n_hits_max]), coverage, n_calls)


def _nothing_of(part: PartialAnswer) -> Coverage:
    total = part.coverage
    return Coverage(
        0, total.n_documents_total, 0, total.n_shards_total, total.missing_ranges
    )
