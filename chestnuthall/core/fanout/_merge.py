"""Merging of shard answers, and the coverage of what was merged."""

from collections.abc import Iterable, Mapping, Sequence
from heapq import merge
from itertools import islice

from chestnuthall.core.model import Coverage, Hit, Shard, ShardAnswer


def _rank(hit: Hit) -> tuple[float, str]:
    return (-hit.score, hit.key)


def merge_hits(
    answers: Iterable[ShardAnswer], n_hits_max: int | None
) -> tuple[Hit, ...]:
    """Return the best hits of ranked shard answers, best first."""
    ranked = (sorted(answer.hits, key=_rank) for answer in answers)
    return tuple(islice(merge(*ranked, key=_rank), n_hits_max))


def coverage_of(
    shards: Sequence[Shard], answers: Mapping[str, ShardAnswer]
) -> Coverage:
    """Return the coverage of the answers that were merged, by shard id.

    A replica that reports more documents than the map gives the shard counts
    as the whole shard, and one that reports fewer counts as it reports.
    """
    n_covered = 0
    n_full = 0
    missing = []
    for shard in shards:
        answer = answers.get(shard.shard_id)
        n_searched = 0 if answer is None else answer.n_documents_searched
        n_covered += min(n_searched, shard.n_documents)
        if answer is not None and n_searched >= shard.n_documents:
            n_full += 1
        else:
            missing.append(shard.key_range)
    return Coverage(
        n_documents_covered=n_covered,
        n_documents_total=sum(shard.n_documents for shard in shards),
        n_shards_covered=n_full,
        n_shards_total=len(shards),
        missing_ranges=tuple(missing),
    )
