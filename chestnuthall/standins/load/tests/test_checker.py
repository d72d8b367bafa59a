"""Guards against a checker that misses violations, so that load tests always pass."""

import pytest

from chestnuthall.standins.load import AnswerChecker, Violation
from chestnuthall.standins.upstream import IndexSnapshot

KEYS = tuple(f"{letter}{i}" for letter in "ab" for i in range(5))
HITS = [
    {"key": key, "score": score, "record": record}
    for key, score, record in IndexSnapshot("g", 2, "s", KEYS).search("q", 4)
]
COMPLETE_ANSWER = {
    "hits": HITS,
    "snapshot_id": 2,
    "coverage": {"n_documents_covered": 10, "missing_ranges": []},
}


@pytest.mark.parametrize(
    ("changes", "violations"),
    [
        pytest.param({}, [], id="complete"),
        pytest.param({"snapshot_id": 3}, [Violation.MIXED_SNAPSHOT], id="mixed"),
        pytest.param(
            {"coverage": {"n_documents_covered": 9, "missing_ranges": []}},
            [Violation.WRONG_COVERAGE],
            id="coverage-too-low",
        ),
        pytest.param(
            {
                "coverage": {
                    "n_documents_covered": 10,
                    "missing_ranges": [{"start": "b", "end": ""}],
                }
            },
            [Violation.WRONG_COVERAGE, Violation.FOREIGN_ANSWER],
            id="coverage-too-high",
        ),
        pytest.param({"hits": HITS[:3]}, [Violation.FOREIGN_ANSWER], id="hit-missing"),
    ],
)
def test_each_violation_is_found(changes, violations):
    checker = AnswerChecker("g", KEYS)
    assert checker.check_search("q", 4, {**COMPLETE_ANSWER, **changes}) == violations
