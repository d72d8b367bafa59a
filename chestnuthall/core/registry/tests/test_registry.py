"""Tests of the replicas in use after changes of their registrations.

They guard against calls to replicas that have left, restarted or been replaced,
and against dropping replicas while the store is unavailable. Replicas that announced
their leave were called while their entries said that they are ready.
"""

import pytest

from chestnuthall.core.model import Replica
from chestnuthall.core.registry import Registration, ReplicaChangeKind, ReplicaRegistry
from chestnuthall.core.registry._registry import DRAINING_FALLBACK_MS

GRACE_PERIOD_MS = 2_000.0


def entry(name, *, incarnation=1, address=None, draining=False, service="s"):
    replica = Replica(name, address or f"{name}:1", "z", incarnation, 3)
    return Registration(replica, service, draining)


def run(steps):
    """Apply steps of (time, method, argument); return registry and kinds of change."""
    registry = ReplicaRegistry(GRACE_PERIOD_MS)
    changes = []
    for now_ms, method_name, argument in steps:
        if method_name == "expire":
            changes += registry.expire(now_ms)
        elif method_name == "announce":
            changes += registry.announce_leave(*argument, now_ms)
        else:
            changes += getattr(registry, method_name)(argument, now_ms)
    return registry, [change.kind for change in changes]


ADDED, REMOVED = ReplicaChangeKind.ADDED, ReplicaChangeKind.REMOVED
MISSING, RESTORED = ReplicaChangeKind.MISSING, ReplicaChangeKind.RESTORED
# (case, steps, kinds of change, names of the replicas in use, time of the check)
CASES = [
    ("added", [(0, "put", entry("a"))], [ADDED], {"a"}, 0),
    (
        "registered twice",
        [(0, "put", entry("a")), (1, "put", entry("a"))],
        [ADDED],
        {"a"},
        1,
    ),
    (
        "draining beside another replica",
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
        "last replica draining",
        [(0, "put", entry("a")), (1, "put", entry("a", draining=True))],
        [ADDED, ReplicaChangeKind.DRAINING],
        {"a"},
        1 + DRAINING_FALLBACK_MS - 1,
    ),
    (
        "last replica draining for too long",
        [(0, "put", entry("a")), (1, "put", entry("a", draining=True))],
        [ADDED, ReplicaChangeKind.DRAINING],
        set(),
        1 + DRAINING_FALLBACK_MS,
    ),
    (
        "missing and renewed",
        [(0, "put", entry("a")), (1, "mark_missing", "a"), (900, "put", entry("a"))],
        [ADDED, MISSING, RESTORED],
        {"a"},
        900,
    ),
    (
        "missing within the grace period",
        [
            (0, "put", entry("a")),
            (1, "mark_missing", "a"),
            (GRACE_PERIOD_MS, "expire", None),
        ],
        [ADDED, MISSING],
        {"a"},
        GRACE_PERIOD_MS,
    ),
    (
        "missing after the grace period",
        [
            (0, "put", entry("a")),
            (1, "mark_missing", "a"),
            (1 + GRACE_PERIOD_MS, "expire", None),
        ],
        [ADDED, MISSING, REMOVED],
        set(),
        1 + GRACE_PERIOD_MS,
    ),
    (
        "draining and removed",
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
        "restarted under the same name",
        [(0, "put", entry("a")), (1, "put", entry("a", incarnation=2))],
        [ADDED, ReplicaChangeKind.RESTARTED],
        {"a"},
        1,
    ),
    (
        "late registration of an earlier start",
        [
            (0, "put", entry("a", incarnation=2)),
            (1, "put", entry("a", incarnation=1, draining=True)),
        ],
        [ADDED],
        {"a"},
        1,
    ),
    (
        "address reused by another service",
        [
            (0, "put", entry("a", address="x:1")),
            (1, "put", entry("b", incarnation=2, address="x:1", service="t")),
        ],
        [ADDED, REMOVED, ADDED],
        set(),
        1,
    ),
    (
        "absent from a listing",
        [
            (0, "put", entry("a")),
            (0, "put", entry("b")),
            (1, "replace_all", [entry("b")]),
            (1 + GRACE_PERIOD_MS, "expire", None),
        ],
        [ADDED, ADDED, MISSING, REMOVED],
        {"b"},
        1 + GRACE_PERIOD_MS,
    ),
]


LEAVING = ReplicaChangeKind.LEAVING
RESTARTED = ReplicaChangeKind.RESTARTED
CASES += [
    (
        "leave announced beside another replica",
        [(0, "put", entry("a")), (0, "put", entry("b")), (1, "announce", ("a", 1))],
        [ADDED, ADDED, LEAVING],
        {"b"},
        1,
    ),
    (
        "last replica announced its leave",
        [(0, "put", entry("a")), (1, "announce", ("a", 1))],
        [ADDED, LEAVING],
        {"a"},
        DRAINING_FALLBACK_MS,
    ),
    (
        "last replica announced its leave too long ago",
        [(0, "put", entry("a")), (1, "announce", ("a", 1))],
        [ADDED, LEAVING],
        set(),
        1 + DRAINING_FALLBACK_MS,
    ),
    (
        "leave announced in each answer",
        [(0, "put", entry("a")), *((i, "announce", ("a", 1)) for i in range(3))],
        [ADDED, LEAVING],
        set(),
        DRAINING_FALLBACK_MS,
    ),
    (
        "leave announced, entry still ready",
        [
            (0, "put", entry("a")),
            (0, "put", entry("b")),
            (1, "announce", ("a", 1)),
            (2, "put", entry("a")),
        ],
        [ADDED, ADDED, LEAVING],
        {"b"},
        60_000,
    ),
    (
        "leave announced, entry draining and ready again",
        [
            (0, "put", entry("a")),
            (0, "put", entry("b")),
            (1, "announce", ("a", 1)),
            (2, "put", entry("a", draining=True)),
            (3, "put", entry("a")),
        ],
        [ADDED, ADDED, LEAVING, ReplicaChangeKind.DRAINING],
        {"b"},
        60_000,
    ),
    (
        "leave announced, list that lags",
        [
            (0, "put", entry("a")),
            (0, "put", entry("b")),
            (1, "announce", ("a", 1)),
            (2, "mark_missing", "a"),
            (3, "replace_all", [entry("a"), entry("b")]),
        ],
        [ADDED, ADDED, LEAVING, REMOVED, ADDED],
        {"b"},
        60_000,
    ),
    (
        "leave announced while missing",
        [
            (0, "put", entry("a")),
            (1, "mark_missing", "a"),
            (2, "announce", ("a", 1)),
        ],
        [ADDED, MISSING, REMOVED],
        set(),
        2,
    ),
    (
        "leave announced before the entry is known",
        [(0, "announce", ("a", 1)), (1, "put", entry("a")), (1, "put", entry("b"))],
        [ADDED, ADDED],
        {"b"},
        1,
    ),
    (
        "restarted after its leave",
        [
            (0, "put", entry("a")),
            (1, "announce", ("a", 1)),
            (2, "put", entry("a", incarnation=2)),
        ],
        [ADDED, LEAVING, RESTARTED],
        {"a"},
        60_000,
    ),
    (
        "late announcement of an earlier start",
        [(0, "put", entry("a", incarnation=2)), (1, "announce", ("a", 1))],
        [ADDED],
        {"a"},
        60_000,
    ),
    (
        "restarted and leaving, with an entry of the earlier start",
        [
            (0, "put", entry("a")),
            (0, "put", entry("b")),
            (1, "announce", ("a", 2)),
            (2, "put", entry("a", incarnation=2)),
        ],
        [ADDED, ADDED, LEAVING, RESTARTED],
        {"b"},
        60_000,
    ),
    (
        "address of a leaving replica reused by another service",
        [
            (0, "put", entry("a", address="x:1", service="t")),
            (1, "announce", ("a", 1)),
            (2, "put", entry("b", incarnation=2, address="x:1")),
        ],
        [ADDED, LEAVING, REMOVED, ADDED],
        {"b"},
        60_000,
    ),
]


@pytest.mark.parametrize(
    ("steps", "kinds", "names", "now_ms"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_replicas_in_use(steps, kinds, names, now_ms):
    registry, observed_kinds = run(steps)
    assert observed_kinds == kinds
    assert {item.name for item in registry.replicas_of("s", now_ms)} == names


RETURN_MS = 10_000.0
# (case, steps before the store returns, registrations in the restored store and time of
# the listing after the return, whether the replica is in use)
RETURNS = [
    ("in use before", [(0, "put", entry("a"))], [entry("a")], 0, True),
    (
        "draining since the copy",
        [(0, "put", entry("a")), (9_000, "put", entry("a", draining=True))],
        [entry("a")],
        0,
        False,
    ),
    (
        "draining since the copy, for good",
        [(0, "put", entry("a")), (9_000, "put", entry("a", draining=True))],
        [entry("a")],
        9_000,
        False,
    ),
    (
        "drained and removed since the copy",
        [
            (0, "put", entry("a")),
            (8_000, "put", entry("a", draining=True)),
            (9_000, "mark_missing", "a"),
        ],
        [entry("a")],
        9_000,
        False,
    ),
    (
        "missing since the copy",
        [(0, "put", entry("a")), (9_500, "mark_missing", "a")],
        [entry("a")],
        2_000,
        False,
    ),
    (
        "removed since the copy",
        [(0, "put", entry("a")), (7_000, "mark_missing", "a"), (9_000, "expire", None)],
        [entry("a")],
        3_000,
        False,
    ),
    (
        "removed by mistake",
        [(0, "put", entry("a")), (7_000, "mark_missing", "a"), (9_000, "expire", None)],
        [entry("a")],
        4_000,
        True,
    ),
    (
        "renewed after its removal, draining after the return",
        [
            (0, "put", entry("a")),
            (1_000, "mark_missing", "a"),
            (3_000, "expire", None),
            (3_500, "put", entry("a")),
        ],
        [entry("a", draining=True)],
        0,
        False,
    ),
    (
        "started again since it was removed",
        [(0, "put", entry("a")), (7_000, "mark_missing", "a"), (9_000, "expire", None)],
        [entry("a", incarnation=2)],
        0,
        True,
    ),
    (
        "earlier start in the copy",
        [(0, "put", entry("a", incarnation=2)), (9_000, "mark_missing", "a")],
        [entry("a", incarnation=1)],
        3_000,
        False,
    ),
]


@pytest.mark.parametrize("n_returns", [1, 2])
@pytest.mark.parametrize(
    ("steps", "restored", "listed_ms", "is_used"),
    [case[1:] for case in RETURNS],
    ids=[case[0] for case in RETURNS],
)
def test_return_of_the_store_brings_no_replica_back(
    steps, restored, listed_ms, is_used, n_returns
):
    """A copy has the entries of replicas that have left since it was made."""
    registry, _ = run([(0, "put", entry("other")), *steps])
    for index in range(n_returns):
        now_ms = RETURN_MS + 200.0 * index
        registry.begin_era(now_ms)
        registry.replace_all([entry("other"), *restored], now_ms)
    now_ms += listed_ms
    registry.expire(now_ms)
    registry.replace_all([entry("other"), *restored], now_ms)
    names = {item.name for item in registry.replicas_of("s", now_ms)}
    assert names == ({"a", "other"} if is_used else {"other"})


def test_replica_that_the_store_has_lost_is_used_once_its_entry_is_back():
    """Two returns in a row must not count a replica as gone that writes again."""
    registry, _ = run([(0, "put", entry("a")), (0, "put", entry("other"))])
    for now_ms in (RETURN_MS, RETURN_MS + 1_500.0):
        registry.begin_era(now_ms)
        registry.replace_all([entry("other")], now_ms)
    registry.put(entry("a"), RETURN_MS + 1_800.0)
    registry.expire(RETURN_MS + 5_000.0)
    names = {item.name for item in registry.replicas_of("s", RETURN_MS + 5_000.0)}
    assert names == {"a", "other"}
