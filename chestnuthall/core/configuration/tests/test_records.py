"""Tests of the history, of ambiguous writes and of document differences.

They guard against a history that a second writer alters, against writes reported
with the wrong outcome, and against incomplete lists of differences.
"""

from dataclasses import replace

import pytest

from chestnuthall.core.configuration import (
    History,
    RevisionRecord,
    StoredRevision,
    WriteOutcome,
    add_to_history,
    differences,
    resolve_write,
)
from chestnuthall.core.model import CallerClass, EnvironmentDocument, UpstreamGroup


def make_record(revision, **changes):
    record = RevisionRecord(
        environment="trial",
        revision=revision,
        digest="d" * 64,
        text="",
        write_token=f"t{revision}",
    )
    return replace(record, **changes)


def history_of(*records):
    history = History()
    for item in records:
        history = add_to_history(history, item)
    return history


def test_recorded_revision_is_not_replaced():
    """A second record of the same revision must not replace the first one."""
    history = history_of(make_record(1, author="ada"), make_record(1, author="bea"))
    assert [item.author for item in history.records] == ["ada"]


def test_records_are_sorted_by_revision():
    history = history_of(make_record(2), make_record(1), make_record(3))
    assert [item.revision for item in history.records] == [1, 2, 3]


BASE = StoredRevision(make_record(1), 7)
# (case, base, found, tokens in the history, outcome)
WRITE_OUTCOMES = [
    ("own token", BASE, StoredRevision(make_record(2), 8), [], WriteOutcome.ACCEPTED),
    ("unchanged", BASE, BASE, [1], WriteOutcome.RETRY),
    ("no object yet", None, None, [], WriteOutcome.RETRY),
    (
        "token of another write",
        BASE,
        StoredRevision(make_record(3), 8),
        [1],
        WriteOutcome.LOST,
    ),
    (
        "created by another write",
        None,
        StoredRevision(make_record(3), 8),
        [],
        WriteOutcome.LOST,
    ),
    ("deleted", BASE, None, [1], WriteOutcome.LOST),
    (
        "replaced",
        BASE,
        StoredRevision(make_record(3), 9),
        [1, 2],
        WriteOutcome.ACCEPTED_AND_REPLACED,
    ),
]


@pytest.mark.parametrize(
    ("base", "found", "tokens", "write_outcome"),
    [case[1:] for case in WRITE_OUTCOMES],
    ids=[case[0] for case in WRITE_OUTCOMES],
)
def test_write_outcome(base, found, tokens, write_outcome):
    """A write that took effect must not be reported as lost, nor the reverse."""
    history = history_of(*(make_record(number) for number in tokens))
    assert resolve_write("t2", base, found, history) is write_outcome


CLASS = CallerClass(
    name="a", share=1.0, urgency=0, coverage_floor_ratio=0.0, deadline_ms=9.0
)
GROUP = UpstreamGroup(name="g", n_slots=1, n_connections_max=1, connect_cost_ms=1.0)
OLD = EnvironmentDocument(classes=(CLASS,), groups=(GROUP,))
# (case, new document, lines)
DIFFERENCES = [
    ("no difference", OLD, []),
    (
        "field changed",
        replace(OLD, classes=(replace(CLASS, share=2.0),)),
        ["classes.a.share: 1.0 -> 2.0"],
    ),
    (
        "optional field added",
        replace(OLD, classes=(replace(CLASS, soft_deadline_ms=3.0),)),
        ["classes.a.soft_deadline_ms: added, 3.0"],
    ),
    (
        "nested field added",
        replace(OLD, groups=(replace(GROUP, reserved_ratios=(("search", 0.2),)),)),
        ["groups.g.reserved_ratios.search: added, 0.2"],
    ),
    (
        "group removed",
        replace(OLD, groups=()),
        [
            "groups.g.connect_cost_ms: removed, was 1.0",
            "groups.g.n_connections_max: removed, was 1",
            "groups.g.n_slots: removed, was 1",
        ],
    ),
]


@pytest.mark.parametrize(
    ("new", "lines"),
    [case[1:] for case in DIFFERENCES],
    ids=[case[0] for case in DIFFERENCES],
)
def test_differences(new, lines):
    assert [str(item) for item in differences(OLD, new)] == lines
