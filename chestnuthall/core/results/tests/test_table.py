"""Tests of the table of failure kinds.

Guards against a result code without a failure kind, and against documentation that
differs from the code.
"""

from pathlib import Path

import pytest

from chestnuthall.core.results import FAILURE_KINDS, ResultCode

RESULT_CODES_PAGE = Path(__file__).parents[4] / "docs" / "result-codes.md"


@pytest.mark.parametrize("kind", FAILURE_KINDS.values(), ids=lambda kind: kind.name)
def test_docs_row_matches_failure_kind(kind):
    row = (
        f"| {int(kind.code)} | `{kind.name}` | {kind.http_status}"
        f" | {kind.run.value} | {kind.repeat.value} | {kind.summary} |"
    )
    assert row in RESULT_CODES_PAGE.read_text().splitlines()


def test_every_code_has_a_kind_or_is_success():
    successes = {ResultCode.OK, ResultCode.OK_PARTIAL}
    assert set(ResultCode) - set(FAILURE_KINDS) == successes
