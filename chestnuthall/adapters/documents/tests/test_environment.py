"""Tests the validation of environment documents and its error messages.

Guards against an invalid document that is accepted, and against a refusal from which
an operator cannot tell what is wrong, where, and how to correct it.
"""

import pytest

from chestnuthall.adapters.documents import check_environment

VALID_DOCUMENT = """{
  // Comments and a trailing comma are allowed; "//" in a text is no comment.
  "$schema": "http://example.org/environment.schema.json",
  "classes": {
    "clerk": {"share": 5, "deadline_ms": 900},
  },
  "groups": {
    "desk": {"n_slots": 3, "n_connections_max": 30}
  }
}"""

# (case, text replaced, its replacement, prefix of each error message)
CASES = [
    (
        "unknown field with a similar name",
        '"share": 5',
        '"share": 5, "deadlin_ms": 7',
        ["5:27: classes.clerk.deadlin_ms: there is no such field; did you mean 'dead"],
    ),
    (
        "unknown field inside a nested model",
        '"share": 5',
        '"share": 5, "objective": {"latency": 7}',
        ["5:41: classes.clerk.objective.latency: there is no such field; did you mea"],
    ),
    (
        "unknown field at the top",
        '"groups"',
        '"extra_lod": {},\n "groups"',
        ["7:3: extra_lod: there is no such field; did you mean 'extra_load'?"],
    ),
    (
        "missing field",
        '"n_slots": 3, ',
        "",
        ["8:5: groups.desk.n_slots: the field is missing; add it"],
    ),
    (
        "two errors at once, one over several fields",
        '"share": 5',
        '"share": -1, "objective": {"latency_ms": 901}',
        [
            "5:15: classes.clerk.share: the value -1 breaks the rule; write a numbe",
            "5:42: classes.clerk.objective.latency_ms: 901 is after the deadline",
        ],
    ),
    (
        "soft deadline at the deadline and without a coverage floor",
        '"share": 5',
        '"share": 5, "soft_deadline_ms": 900',
        [
            "5:27: classes.clerk.soft_deadline_ms: 900 is not before the deadline",
            "5:27: classes.clerk.soft_deadline_ms: with a coverage floor of 0",
        ],
    ),
    (
        "share below the minimum",
        '"clerk"',
        '"batch": {"share": 0.001, "deadline_ms": 9}, "clerk"',
        ["5:15: classes.batch.share: 0.001 is less than 0.001 of all shares; write"],
    ),
    (
        "reserved ratios with a sum above 1",
        '"n_slots": 3',
        '"n_slots": 3, "reserved_ratios": {"search": 0.6, "lookup": 0.5}',
        ["8:28: groups.desk.reserved_ratios: the ratios add up to 1.1; let them"],
    ),
    (
        "reserved ratio of an unknown kind",
        '"n_slots": 3',
        '"n_slots": 3, "reserved_ratios": {"serch": 0.6}',
        ["8:48: groups.desk.reserved_ratios.serch: the name 'serch' breaks the rule"],
    ),
    (
        "too few connections",
        '"n_slots": 3',
        '"n_slots": 31',
        ["8:29: groups.desk.n_connections_max: 30 connections cannot fill 31 slots"],
    ),
    (
        "thresholds out of order",
        '"groups"',
        '"extra_load": {"full_below_ratio": 0.96},\n "groups"',
        ["7:18: extra_load.full_below_ratio: 0.96 is not below none_above_ratio"],
    ),
    (
        "duplicate name",
        '"share": 5',
        '"share": 5, "share": 6',
        ["5:27: classes.clerk.share: the name is given twice; keep one"],
    ),
    ("invalid JSON", '"share": 5', '"share" 5', ["5:23: document: Expecting ':'"]),
    (
        "not a number",
        '"share": 5',
        '"share": NaN',
        ["5:24: document: NaN is not a JSON number; write a"],
    ),
    (
        "wrong type",
        '"share": 5',
        '"share": "five"',
        ["5:15: classes.clerk.share: the value 'five' breaks the rule; write a num"],
    ),
]


def test_valid_document_is_accepted():
    """The default objective must not exceed the deadline of its class."""
    document = check_environment(VALID_DOCUMENT)
    assert document.find_class("clerk").objective.latency_ms == 900.0


@pytest.mark.parametrize(
    ("old", "new", "prefixes"), [case[1:] for case in CASES], ids=[c[0] for c in CASES]
)
def test_errors_give_position_rule_and_remedy(old, new, prefixes):
    problems = check_environment(VALID_DOCUMENT.replace(old, new, 1), "env.jsonc")
    assert isinstance(problems, tuple), problems
    lines = [str(problem) for problem in problems]
    assert len(lines) == len(prefixes), lines
    for line, prefix in zip(lines, prefixes, strict=True):
        assert line.startswith(f"env.jsonc:{prefix}"), line
