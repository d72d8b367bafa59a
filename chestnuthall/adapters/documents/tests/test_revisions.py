"""Tests that stored revisions and histories stay below the store's limit of 1 MB.

The store refuses larger values. Escaping by JSON makes a value up to six times as
long as its text, so that a limit on the characters would not be enough.
"""

import pytest

from chestnuthall.adapters.documents import JsonRevisionCodec, check_environment
from chestnuthall.adapters.documents._environment import N_DOCUMENT_BYTES_MAX
from chestnuthall.core.configuration import Draft, History, add_to_history, next_record

N_VALUE_BYTES_MAX = 1_000_000
# Characters that JSON and UTF-8 encode in one, two, four and six bytes, each with
# more revisions than a history can keep.
CASES = [("a", 360), ('"', 220), ("\U0001f600", 120), ("\x01", 90)]


@pytest.mark.parametrize(("character", "n_revisions"), CASES, ids=ascii)
def test_history_stays_below_the_size_limit(character, n_revisions):
    codec = JsonRevisionCodec()
    history = History()
    n_characters = N_DOCUMENT_BYTES_MAX // 16
    for number in range(n_revisions):
        draft = Draft(
            environment="trial",
            digest="d" * 64,
            text=character * n_characters,
            author=character * 64,
            reason=character * 9999,
            write_token="t" * 16,
            override_reason=character * 9999,
            evidence=character * 9999,
        )
        record = next_record(draft, number, 0.0)
        history = add_to_history(history, record)
    assert len(codec.encode_history(history).encode()) < N_VALUE_BYTES_MAX
    assert history.records[-1].text
    assert history.last_revision == n_revisions
    assert len(history.records) < n_revisions


def test_document_above_the_size_limit_is_refused():
    problems = check_environment("/" * (N_DOCUMENT_BYTES_MAX + 1), "e")
    assert str(problems[0]).startswith("e:1:1: document: the document has 262145 bytes")
