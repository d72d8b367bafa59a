"""Guards explanations against a wrong rule, verdict or degree of certainty."""

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
IN, OUT = True, False


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


def served(class_name, arrived, admitted, rule, standings=(), **changes):
    """Return an account; standings are (class, within share, service)."""
    told = tuple(
        ClassStanding(name, 1.0, 0, service, 1, within)
        for name, within, service in standings
    )
    ahead = changes.pop("ahead", ())
    return replace(
        account(1000),
        class_name=class_name,
        arrived_wall_ms=arrived,
        admitted_wall_ms=admitted,
        admission=AdmissionAccount(rule, admitted - arrived, 1, told, ahead),
        **changes,
    )


BOTH_IN = (("urgent", IN, 1.0), ("batch", IN, 1.0))
URGENT_OUT = (("urgent", OUT, 9.0), ("batch", IN, 1.0))
BOTH_OUT = (("urgent", OUT, 9.0), ("batch", OUT, 5.0))
URGENT = served("urgent", 10.0, 50.0, RULE.URGENCY_WITHIN_SHARE, BOTH_IN)
BATCH = served("batch", 0.0, 90.0, RULE.ONLY_CANDIDATE, BOTH_IN)
BATCH_FIRST = served("batch", 0.0, 40.0, RULE.URGENCY_WITHIN_SHARE, BOTH_IN)
BATCH_BY_SERVICE = served("batch", 0.0, 40.0, RULE.LEAST_NORMALISED_SERVICE, BOTH_OUT)
AHEAD = (QueriesAhead("urgent", 3, RULE.DEADLINE_WITHIN_SHARE),)

# (case, A, B, rule, verdict, confidence, part of a sentence)
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
        (URGENT, served("batch", 0.0, 40.0, RULE.ONLY_CANDIDATE, URGENT_OUT)),
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
        "the later account names the rule",
        (URGENT, served("batch", 0.0, 90.0, RULE.IMMEDIATE, BOTH_IN, ahead=AHEAD)),
        (RULE.DEADLINE_WITHIN_SHARE, Verdict.RIGHT, Confidence.CERTAIN),
        "deadline_within_share",
    ),
    (
        "room reserved for the kind",
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
        (served("urgent", 10.0, 50.0, RULE.IMMEDIATE), BATCH),
        (RULE.IMMEDIATE, Verdict.CANNOT_TELL, Confidence.CERTAIN),
        "does not show the standing",
    ),
    (
        "two instances, times close together",
        (URGENT, replace(BATCH, instance="entry-1")),
        (RULE.URGENCY_WITHIN_SHARE, Verdict.RIGHT, Confidence.UNSURE),
        "the order itself is not sure",
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
    ("accounts", "expected", "part"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_order_of_two(accounts, expected, part, is_swapped):
    """The result must not depend on which account is named first."""
    a, b = reversed(accounts) if is_swapped else accounts
    told = explain_two(a, b, DOCUMENT, 1)
    assert (told.rule, told.verdict, told.confidence) == expected, told.sentences
    assert any(part in sentence for sentence in told.sentences), told.sentences


def test_explanation_names_no_request():
    """Guards one caller's privacy against the other's explanation."""
    a = replace(URGENT, request_id="caller-x-1")
    b = replace(BATCH, request_id="caller-y-2")
    told = [*explain_two(a, b, DOCUMENT, 1).sentences, *explain_one(a).sentences]
    assert not any("caller-" in sentence for sentence in told)
