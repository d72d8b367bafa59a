"""Tests of the merging of partial answers.

Guards against hits or coverage that differ from those of a fan-out by a single
instance.
"""

import pytest

from chestnuthall.core.fanout import (
    PartialAnswer,
    coverage_of,
    merge_hits,
    merge_partial_answers,
)
from chestnuthall.core.model import Hit, KeyRange, Shard, ShardAnswer

N_SHARDS = 6
SHARDS = [
    Shard(f"s{i}", KeyRange(f"{i}", f"{i + 1}"), 10 + i, ()) for i in range(N_SHARDS)
]


def _answer(index):
    hits = tuple(Hit(f"{index}-{k}", (index * 7 + k * 3) % 5, "") for k in range(3))
    n_searched = 5 if index == 2 else 10 + index
    return ShardAnswer(f"c{index}", f"s{index}", 1, hits, n_searched)


def _partial(indices, answered, snapshot_id=1):
    answers = {f"s{i}": _answer(i) for i in indices if i in answered}
    shards = [SHARDS[i] for i in indices]
    return PartialAnswer(
        snapshot_id, merge_hits(answers.values(), 4), coverage_of(shards, answers)
    )


@pytest.mark.parametrize(
    "split", [((0, 1, 2, 3, 4, 5),), ((0, 3), (1, 4), (2, 5)), ((0,), (1, 2, 3, 4, 5))]
)
@pytest.mark.parametrize("answered", [range(6), (0, 2, 5), ()])
def test_merged_partial_answers_equal_single_answer(split, answered):
    """Coverage and hits must not depend on how the shards were split."""
    merged = merge_partial_answers(
        [_partial(indices, answered) for indices in split], 1, 4
    )
    single = _partial(range(N_SHARDS), answered)
    assert merged.hits == single.hits
    assert merged.coverage.ratio == single.coverage.ratio
    assert merged.coverage.n_shards_covered == single.coverage.n_shards_covered
    assert set(merged.coverage.missing_ranges) == set(single.coverage.missing_ranges)


def test_other_snapshot_is_not_merged():
    """Hits and coverage of another snapshot must never be merged."""
    answers = [_partial((0, 1, 2), range(6)), _partial((3, 4, 5), range(6), 2)]
    merged = merge_partial_answers(answers, 1, 100)
    assert {hit.key[0] for hit in merged.hits} == {"0", "1", "2"}
    assert merged.coverage.n_shards_covered == 2
    assert merged.coverage.n_shards_total == N_SHARDS
