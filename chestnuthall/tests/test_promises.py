"""Tests that docs/PROMISES.md is complete and names existing tests.

Guards against a test that was renamed or deleted while the page still names it, and
against a promise or failure without a row.
"""

import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[1]
PAGE = PACKAGE.parent / "docs" / "PROMISES.md"
TESTS_ON_PAGE = sorted(set(re.findall(r"`([a-z_/]+\.py::\w+)`", PAGE.read_text())))


@pytest.mark.parametrize("name", TESTS_ON_PAGE)
def test_named_test_exists(name):
    path, _, test = name.partition("::")
    source = (PACKAGE / path).read_text()
    assert re.search(rf"^(def|class) {test}\b|^{test} = ", source, re.MULTILINE)


def test_page_has_a_row_for_every_promise_and_failure():
    rows = re.findall(r"^\| ([PF]\d+) ", PAGE.read_text(), re.MULTILINE)
    assert rows == [f"P{n}" for n in range(1, 9)] + [f"F{n}" for n in range(1, 13)]
