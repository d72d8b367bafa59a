"""Tests of the promotion rule.

They guard against promotions without sufficient evidence from trial, and against
overrides of requirements other than evidence.
"""

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
SUFFICIENT = TrialEvidence(
    record=RECORD, gathered_wall_ms=60_000.0, instances=(INSTANCE,)
)
BEHIND = replace(INSTANCE, name="entry-1", digest="d0", revision=2)
UPDATED_LATE = replace(INSTANCE, name="entry-2", since_wall_ms=30_000.0)
TOO_RECENT = replace(SUFFICIENT, gathered_wall_ms=59_000.0)
FAST_BURN = replace(SUFFICIENT, fast_burn_classes=("clerk",))
SAME_DOCUMENT = replace(RECORD, environment="production", revision=8)

# (case, evidence, production, options, decision, missing)
CASES = [
    ("sufficient evidence", SUFFICIENT, None, {}, DECISION.PROMOTE, []),
    (
        "no document in trial",
        None,
        None,
        {},
        DECISION.REFUSE_NO_TRIAL,
        ["trial has no docu"],
    ),
    ("already in force", SUFFICIENT, SAME_DOCUMENT, {}, DECISION.ALREADY_IN_FORCE, []),
    (
        "other file",
        SUFFICIENT,
        None,
        {"wanted_digest": "d2", "override_reason": "now"},
        DECISION.REFUSE_OTHER_DIGEST,
        ["trial has digest d1, the file has d2"],
    ),
    ("same file", SUFFICIENT, None, {"wanted_digest": "d1"}, DECISION.PROMOTE, []),
    (
        "in force too briefly",
        TOO_RECENT,
        None,
        {},
        DECISION.REFUSE_NO_EVIDENCE,
        ["in force for 59 s"],
    ),
    (
        "one instance behind",
        replace(SUFFICIENT, instances=(INSTANCE, BEHIND)),
        None,
        {},
        DECISION.REFUSE_NO_EVIDENCE,
        ["not in force on entry-1"],
    ),
    (
        "one instance updated late",
        replace(SUFFICIENT, instances=(INSTANCE, UPDATED_LATE)),
        None,
        {},
        DECISION.REFUSE_NO_EVIDENCE,
        ["in force for 30 s"],
    ),
    (
        "one instance without status",
        replace(SUFFICIENT, names_without_status=("entry-9",)),
        None,
        {},
        DECISION.REFUSE_NO_EVIDENCE,
        ["no status from entry-9"],
    ),
    (
        "fast burn",
        FAST_BURN,
        None,
        {},
        DECISION.REFUSE_NO_EVIDENCE,
        ["the error budget"],
    ),
    (
        "overridden with a reason",
        FAST_BURN,
        None,
        {"override_reason": "closure"},
        DECISION.PROMOTE_OVERRIDDEN,
        ["the error budget of class clerk burns fast"],
    ),
]


@pytest.mark.parametrize(
    ("evidence", "production", "options", "decision", "missing"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_promotion(evidence, production, options, decision, missing):
    verdict = decide_promotion(evidence, production, PromotionPolicy(), **options)
    assert verdict.decision is decision, verdict.missing
    assert len(verdict.missing) == len(missing), verdict.missing
    for found, start in zip(verdict.missing, missing, strict=True):
        assert found.startswith(start)
