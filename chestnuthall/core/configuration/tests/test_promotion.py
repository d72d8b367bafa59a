"""Guards the rule of promotion: what trial must show, and what may be waived."""

from dataclasses import replace

import pytest

from chestnuthall.core.configuration import (
    InstanceEvidence,
    PromotionDecision,
    PromotionPolicy,
    RevisionRecord,
    TrialEvidence,
    decide_promotion,
)

DECISION = PromotionDecision
RECORD = RevisionRecord(environment="trial", revision=3, digest="d1", text="{}")
INSTANCE = InstanceEvidence(
    name="entry-0", digest="d1", revision=3, since_wall_ms=0.0, n_requests=9
)
GOOD = TrialEvidence(record=RECORD, gathered_wall_ms=60_000.0, instances=(INSTANCE,))
BEHIND = replace(INSTANCE, name="entry-1", digest="d0", revision=2)
LATE = replace(INSTANCE, name="entry-2", since_wall_ms=30_000.0)
YOUNG = replace(GOOD, gathered_wall_ms=59_000.0)
BURNING = replace(GOOD, fast_burn_classes=("clerk",))
SAME = replace(RECORD, environment="production", revision=8)

# (case, evidence, production, options, decision, lacks)
CASES = [
    ("proven", GOOD, None, {}, DECISION.PROMOTE, []),
    ("no trial", None, None, {}, DECISION.REFUSE_NO_TRIAL, ["trial has no docu"]),
    ("same already", GOOD, SAME, {}, DECISION.ALREADY_IN_FORCE, []),
    (
        "another file",
        GOOD,
        None,
        {"wanted_digest": "d2", "override_reason": "now"},
        DECISION.REFUSE_OTHER_DIGEST,
        ["trial has digest d1, the file has d2"],
    ),
    ("this file", GOOD, None, {"wanted_digest": "d1"}, DECISION.PROMOTE, []),
    ("young", YOUNG, None, {}, DECISION.REFUSE_NO_EVIDENCE, ["in force for 59 s"]),
    (
        "one instance behind",
        replace(GOOD, instances=(INSTANCE, BEHIND)),
        None,
        {},
        DECISION.REFUSE_NO_EVIDENCE,
        ["not in force on entry-1"],
    ),
    (
        "one instance got it late",
        replace(GOOD, instances=(INSTANCE, LATE)),
        None,
        {},
        DECISION.REFUSE_NO_EVIDENCE,
        ["in force for 30 s"],
    ),
    (
        "one instance silent",
        replace(GOOD, silent_names=("entry-9",)),
        None,
        {},
        DECISION.REFUSE_NO_EVIDENCE,
        ["no status from entry-9"],
    ),
    ("burning", BURNING, None, {}, DECISION.REFUSE_NO_EVIDENCE, ["the error budget"]),
    (
        "waived with a reason",
        BURNING,
        None,
        {"override_reason": "closure"},
        DECISION.PROMOTE_OVERRIDDEN,
        ["the error budget of class clerk burns fast"],
    ),
]


@pytest.mark.parametrize(
    ("evidence", "production", "options", "decision", "lacks"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_promotion(evidence, production, options, decision, lacks):
    verdict = decide_promotion(evidence, production, PromotionPolicy(), **options)
    assert verdict.decision is decision, verdict.lacks
    assert len(verdict.lacks) == len(lacks), verdict.lacks
    for found, start in zip(verdict.lacks, lacks, strict=True):
        assert found.startswith(start)
