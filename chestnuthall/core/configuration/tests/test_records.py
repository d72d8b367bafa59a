"""Guards what the history keeps, and what is shown as a difference."""

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


BASE = StoredRevision(record(1), 7)
# (case, base, found, tokens in the history, settlement)
SETTLEMENTS = [
    ("own token", BASE, StoredRevision(record(2), 8), [], WriteOutcome.ACCEPTED),
    ("unchanged", BASE, BASE, [1], WriteOutcome.RETRY),
    ("none yet", None, None, [], WriteOutcome.RETRY),
    ("another's", BASE, StoredRevision(record(3), 8), [1], WriteOutcome.LOST),
    ("created by another", None, StoredRevision(record(3), 8), [], WriteOutcome.LOST),
    ("deleted", BASE, None, [1], WriteOutcome.LOST),
    (
        "replaced",
        BASE,
        StoredRevision(record(3), 9),
        [1, 2],
        WriteOutcome.ACCEPTED_AND_REPLACED,
    ),
]


@pytest.mark.parametrize(
    ("base", "found", "tokens", "write_outcome"),
    [case[1:] for case in SETTLEMENTS],
    ids=[case[0] for case in SETTLEMENTS],
)
def test_write_outcome(base, found, tokens, write_outcome):
    """Guards against a write reported as lost that took effect, or the reverse."""
    history = history_of(*(record(number) for number in tokens))
    assert resolve_write("t2", base, found, history) is write_outcome


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
