"""Tests of the history, of ambiguous writes and of document differences.

They guard against a history that a second writer alters, against writes reported
with the wrong outcome, and against incomplete lists of differences.
"""

from dataclasses import replace

import pytest

from chestnuthall.core.configuration import (
    History,
    InForce,
    RevisionRecord,
    Settlement,
    add_to_history,
    decide_settlement,
    differences,
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


BASE = InForce(make_record(1), 7)
# (case, base, found, tokens in the history, settlement)
SETTLEMENTS = [
    ("own token", BASE, InForce(make_record(2), 8), [], Settlement.ACCEPTED),
    ("unchanged", BASE, BASE, [1], Settlement.WRITE_AGAIN),
    ("no object yet", None, None, [], Settlement.WRITE_AGAIN),
    ("token of another write", BASE, InForce(make_record(3), 8), [1], Settlement.LOST),
    ("created by another write", None, InForce(make_record(3), 8), [], Settlement.LOST),
    ("deleted", BASE, None, [1], Settlement.LOST),
    (
        "replaced",
        BASE,
        InForce(make_record(3), 9),
        [1, 2],
        Settlement.ACCEPTED_AND_REPLACED,
    ),
]


@pytest.mark.parametrize(
    ("base", "found", "tokens", "settlement"),
    [case[1:] for case in SETTLEMENTS],
    ids=[case[0] for case in SETTLEMENTS],
)
def test_settlement(base, found, tokens, settlement):
    """A write that took effect must not be reported as lost, nor the reverse."""
    history = history_of(*(make_record(number) for number in tokens))
    assert decide_settlement("t2", base, found, history) is settlement


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
