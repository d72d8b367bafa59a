"""Tests of the explanations of accounts.

Guards against a wrong rule, verdict or confidence, and against texts that reveal the
request of another caller.
"""

from dataclasses import replace

import pytest

from chestnuthall.core.accounts import Confidence, Verdict, explain_one, explain_two
from chestnuthall.core.burn.tests.test_burn import account
from chestnuthall.core.model import (
    AdmissionAccount,
    AdmissionRule,
    CallerClass,
    ClassStanding,
    EnvironmentDocument,
    QueriesAhead,
    UpstreamGroup,
)

RULE = AdmissionRule
WITHIN, OVER = True, False


def caller_class(name, urgency):
    return CallerClass(
        name=name,
        share=1.0,
        urgency=urgency,
        coverage_floor_ratio=0.0,
        deadline_ms=1000.0,
    )


DOCUMENT = EnvironmentDocument(
    classes=(caller_class("urgent", 5), caller_class("batch", 0)),
    groups=(
        UpstreamGroup(
            name="desk",
            n_slots=1,
            n_connections_max=1,
            connect_cost_ms=1.0,
            reserved_ratios=(("search", 0.2),),
        ),
    ),
)


def make_account(class_name, arrived, admitted, rule, standings=(), **changes):
    """Return an account; ``standings`` are (class, within share, service)."""
    class_standings = tuple(
        ClassStanding(name, 1.0, 0, service, 1, within)
        for name, within, service in standings
    )
    ahead = changes.pop("ahead", ())
    return replace(
        account(1000),
        class_name=class_name,
        arrived_wall_ms=arrived,
        admitted_wall_ms=admitted,
        admission=AdmissionAccount(rule, admitted - arrived, 1, class_standings, ahead),
        **changes,
    )


BOTH_WITHIN = (("urgent", WITHIN, 1.0), ("batch", WITHIN, 1.0))
URGENT_OVER = (("urgent", OVER, 9.0), ("batch", WITHIN, 1.0))
BOTH_OVER = (("urgent", OVER, 9.0), ("batch", OVER, 5.0))
URGENT = make_account("urgent", 10.0, 50.0, RULE.URGENCY_WITHIN_SHARE, BOTH_WITHIN)
BATCH = make_account("batch", 0.0, 90.0, RULE.ONLY_CANDIDATE, BOTH_WITHIN)
BATCH_FIRST = make_account("batch", 0.0, 40.0, RULE.URGENCY_WITHIN_SHARE, BOTH_WITHIN)
BATCH_BY_SERVICE = make_account(
    "batch", 0.0, 40.0, RULE.LEAST_NORMALISED_SERVICE, BOTH_OVER
)
AHEAD = (QueriesAhead("urgent", 3, RULE.DEADLINE_WITHIN_SHARE),)

# (case, (A, B), (rule, verdict, confidence), text in one of the sentences)
CASES = [
    (
        "more urgent first",
        (URGENT, BATCH),
        (RULE.URGENCY_WITHIN_SHARE, Verdict.RIGHT, Confidence.CERTAIN),
        "urgent has urgency 5, batch has 0",
    ),
    (
        "less urgent first",
        (URGENT, BATCH_FIRST),
        (RULE.URGENCY_WITHIN_SHARE, Verdict.WRONG, Confidence.CERTAIN),
        "the order was wrong",
    ),
    (
        "the more urgent class had used its share",
        (URGENT, make_account("batch", 0.0, 40.0, RULE.ONLY_CANDIDATE, URGENT_OVER)),
        (RULE.ONLY_CANDIDATE, Verdict.RIGHT, Confidence.CERTAIN),
        "class batch was within its share",
    ),
    (
        "least service first",
        (URGENT, BATCH_BY_SERVICE),
        (RULE.LEAST_NORMALISED_SERVICE, Verdict.RIGHT, Confidence.CERTAIN),
        "batch had 5.0",
    ),
    (
        "earlier deadline first within a class",
        (URGENT, replace(URGENT, admitted_wall_ms=80.0, deadline_in_ms=2000.0)),
        (RULE.URGENCY_WITHIN_SHARE, Verdict.RIGHT, Confidence.CERTAIN),
        "the earlier deadline goes first",
    ),
    (
        "rule from the later account",
        (
            URGENT,
            make_account("batch", 0.0, 90.0, RULE.IMMEDIATE, BOTH_WITHIN, ahead=AHEAD),
        ),
        (RULE.DEADLINE_WITHIN_SHARE, Verdict.RIGHT, Confidence.CERTAIN),
        "deadline_within_share",
    ),
    (
        "capacity reserved for the kind",
        (
            replace(URGENT, admission=AdmissionAccount(RULE.RESERVED_CAPACITY, 1.0, 1)),
            BATCH,
        ),
        (RULE.RESERVED_CAPACITY, Verdict.RIGHT, Confidence.CERTAIN),
        "is reserved for search",
    ),
    (
        "arrived after the first was admitted",
        (URGENT, replace(BATCH, arrived_wall_ms=51.0)),
        (None, Verdict.RIGHT, Confidence.CERTAIN),
        "no rule had to choose",
    ),
    (
        "no standings",
        (make_account("urgent", 10.0, 50.0, RULE.IMMEDIATE), BATCH),
        (RULE.IMMEDIATE, Verdict.CANNOT_TELL, Confidence.CERTAIN),
        "does not show the standing",
    ),
    (
        "two instances, times close together",
        (URGENT, replace(BATCH, instance="entry-1")),
        (RULE.URGENCY_WITHIN_SHARE, Verdict.RIGHT, Confidence.UNSURE),
        "the order itself is uncertain",
    ),
    (
        "two instances, times far apart",
        (URGENT, replace(BATCH, instance="entry-1", admitted_wall_ms=900.0)),
        (RULE.URGENCY_WITHIN_SHARE, Verdict.RIGHT, Confidence.LIKELY),
        "each with a queue and a clock of its own",
    ),
    (
        "another revision",
        (URGENT, replace(BATCH, configuration_revision=2)),
        (RULE.URGENCY_WITHIN_SHARE, Verdict.RIGHT, Confidence.UNSURE),
        "under revision 1 and 2, and are judged by revision 1",
    ),
    (
        "other group",
        (URGENT, replace(BATCH, group="hall")),
        (None, Verdict.CANNOT_TELL, Confidence.CERTAIN),
        "never competed",
    ),
    (
        "the other was refused",
        (URGENT, replace(BATCH, admitted_wall_ms=None)),
        (RULE.URGENCY_WITHIN_SHARE, Verdict.RIGHT, Confidence.CERTAIN),
        "which was not admitted",
    ),
]


@pytest.mark.parametrize("is_swapped", [False, True])
@pytest.mark.parametrize(
    ("accounts", "expected", "text"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_explanation_of_two_accounts(accounts, expected, text, is_swapped):
    """The explanation must not depend on which account is passed first."""
    a, b = reversed(accounts) if is_swapped else accounts
    explanation = explain_two(a, b, DOCUMENT, 1)
    assert (
        explanation.rule,
        explanation.verdict,
        explanation.confidence,
    ) == expected, explanation.sentences
    assert any(text in sentence for sentence in explanation.sentences), (
        explanation.sentences
    )


def test_explanation_contains_no_request_id():
    """An explanation must not reveal the request id of another caller."""
    a = replace(URGENT, request_id="caller-x-1")
    b = replace(BATCH, request_id="caller-y-2")
    sentences = [*explain_two(a, b, DOCUMENT, 1).sentences, *explain_one(a).sentences]
    assert not any("caller-" in sentence for sentence in sentences)
