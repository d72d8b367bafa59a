"""Guards what the history keeps, and what is shown as a difference."""

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


def record(revision, **changes):
    made = RevisionRecord(
        environment="trial",
        revision=revision,
        digest="d" * 64,
        text="",
        write_token=f"t{revision}",
    )
    return replace(made, **changes)


def history_of(*records):
    history = History()
    for item in records:
        history = add_to_history(history, item)
    return history


def test_record_once_added_never_changes():
    """Guards the history against a second writer of the same revision."""
    history = history_of(record(1, author="ada"), record(1, author="bea"))
    assert [item.author for item in history.records] == ["ada"]


def test_late_entry_takes_its_place():
    history = history_of(record(2), record(1), record(3))
    assert [item.revision for item in history.records] == [1, 2, 3]


BASE = InForce(record(1), 7)
# (case, base, found, tokens in the history, settlement)
SETTLEMENTS = [
    ("own token", BASE, InForce(record(2), 8), [], Settlement.ACCEPTED),
    ("unchanged", BASE, BASE, [1], Settlement.WRITE_AGAIN),
    ("none yet", None, None, [], Settlement.WRITE_AGAIN),
    ("another's", BASE, InForce(record(3), 8), [1], Settlement.LOST),
    ("created by another", None, InForce(record(3), 8), [], Settlement.LOST),
    ("deleted", BASE, None, [1], Settlement.LOST),
    (
        "replaced",
        BASE,
        InForce(record(3), 9),
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
    """Guards against a write reported as lost that took effect, or the reverse."""
    history = history_of(*(record(number) for number in tokens))
    assert decide_settlement("t2", base, found, history) is settlement


CLASS = CallerClass(
    name="a", share=1.0, urgency=0, coverage_floor_ratio=0.0, deadline_ms=9.0
)
GROUP = UpstreamGroup(name="g", n_slots=1, n_connections_max=1, connect_cost_ms=1.0)
OLD = EnvironmentDocument(classes=(CLASS,), groups=(GROUP,))
# (case, new document, lines)
DIFFERENCES = [
    ("same", OLD, []),
    (
        "field",
        replace(OLD, classes=(replace(CLASS, share=2.0),)),
        ["classes.a.share: 1.0 -> 2.0"],
    ),
    (
        "optional field added",
        replace(OLD, classes=(replace(CLASS, soft_deadline_ms=3.0),)),
        ["classes.a.soft_deadline_ms: added, 3.0"],
    ),
    (
        "part of a group",
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
