"""Guards against calls to replicas that have left, restarted or been replaced."""

import pytest

from chestnuthall.core.model import Replica
from chestnuthall.core.registry import Registration, ReplicaChangeKind, ReplicaRegistry
from chestnuthall.core.registry._registry import LAST_RESORT_MS

HOLD_MS = 2_000.0


def entry(name, *, born=1, address=None, draining=False, service="s"):
    replica = Replica(name, address or f"{name}:1", "z", born, 3)
    return Registration(replica, service, draining)


def run(steps):
    """Apply steps of (time, verb, argument); return the register and its changes."""
    registry = ReplicaRegistry(HOLD_MS)
    changes = []
    for now_ms, verb, argument in steps:
        if verb == "expire":
            changes += registry.expire(now_ms)
        else:
            changes += getattr(registry, verb)(argument, now_ms)
    return registry, [change.kind for change in changes]


ADDED, REMOVED = ReplicaChangeKind.ADDED, ReplicaChangeKind.REMOVED
MISSING, RESTORED = ReplicaChangeKind.MISSING, ReplicaChangeKind.RESTORED
# (case, steps, kinds of change, names in use afterwards, time of the look)
CASES = [
    ("seen", [(0, "put", entry("a"))], [ADDED], {"a"}, 0),
    (
        "same again",
        [(0, "put", entry("a")), (1, "put", entry("a"))],
        [ADDED],
        {"a"},
        1,
    ),
    (
        "draining with another left",
        [
            (0, "put", entry("a")),
            (0, "put", entry("b")),
            (1, "put", entry("a", draining=True)),
        ],
        [ADDED, ADDED, ReplicaChangeKind.DRAINING],
        {"b"},
        1,
    ),
    (
        "the last one drains",
        [(0, "put", entry("a")), (1, "put", entry("a", draining=True))],
        [ADDED, ReplicaChangeKind.DRAINING],
        {"a"},
        1 + LAST_RESORT_MS - 1,
    ),
    (
        "the last one drained for too long",
        [(0, "put", entry("a")), (1, "put", entry("a", draining=True))],
        [ADDED, ReplicaChangeKind.DRAINING],
        set(),
        1 + LAST_RESORT_MS,
    ),
    (
        "lapsed and back",
        [(0, "put", entry("a")), (1, "mark_missing", "a"), (900, "put", entry("a"))],
        [ADDED, MISSING, RESTORED],
        {"a"},
        900,
    ),
    (
        "lapsed while held",
        [(0, "put", entry("a")), (1, "mark_missing", "a"), (HOLD_MS, "expire", None)],
        [ADDED, MISSING],
        {"a"},
        HOLD_MS,
    ),
    (
        "lapsed for good",
        [
            (0, "put", entry("a")),
            (1, "mark_missing", "a"),
            (1 + HOLD_MS, "expire", None),
        ],
        [ADDED, MISSING, REMOVED],
        set(),
        1 + HOLD_MS,
    ),
    (
        "drained and gone",
        [
            (0, "put", entry("a")),
            (1, "put", entry("a", draining=True)),
            (2, "mark_missing", "a"),
        ],
        [ADDED, ReplicaChangeKind.DRAINING, REMOVED],
        set(),
        2,
    ),
    (
        "restarted under its name",
        [(0, "put", entry("a")), (1, "put", entry("a", born=2))],
        [ADDED, ReplicaChangeKind.RESTARTED],
        {"a"},
        1,
    ),
    (
        "late entry of an earlier start",
        [
            (0, "put", entry("a", born=2)),
            (1, "put", entry("a", born=1, draining=True)),
        ],
        [ADDED],
        {"a"},
        1,
    ),
    (
        "address taken by another service",
        [
            (0, "put", entry("a", address="x:1")),
            (1, "put", entry("b", born=2, address="x:1", service="t")),
        ],
        [ADDED, REMOVED, ADDED],
        set(),
        1,
    ),
    (
        "left out of a listing",
        [
            (0, "put", entry("a")),
            (0, "put", entry("b")),
            (1, "replace_all", [entry("b")]),
            (1 + HOLD_MS, "expire", None),
        ],
        [ADDED, ADDED, MISSING, REMOVED],
        {"b"},
        1 + HOLD_MS,
    ),
]


@pytest.mark.parametrize(
    ("steps", "kinds", "names", "now_ms"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_replicas_in_use(steps, kinds, names, now_ms):
    registry, found = run(steps)
    assert found == kinds
    assert {item.name for item in registry.replicas_of("s", now_ms)} == names
