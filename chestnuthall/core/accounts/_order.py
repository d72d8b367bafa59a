"""Determine which of two queries goes first according to the document."""

from dataclasses import dataclass

from chestnuthall.core.model import (
    Account,
    AdmissionRule,
    ClassStanding,
    EnvironmentDocument,
)


@dataclass(frozen=True, slots=True)
class ExpectedOrder:
    """Order according to the document; ``a_first`` is None if it is undecided."""

    a_first: bool | None
    rule: AdmissionRule
    reason: str


def deadline_wall_ms(account: Account) -> float:
    """Return the deadline of a request on the wall clock of its instance."""
    return account.arrived_wall_ms + account.deadline_in_ms


def standing_of(account: Account, class_name: str) -> ClassStanding | None:
    """Return a class's standing when the account's query was admitted or refused."""
    standings = (x for x in account.admission.standings if x.class_name == class_name)
    return next(standings, None)


def expected_order(
    a: Account, b: Account, at_decision: Account, document: EnvironmentDocument
) -> ExpectedOrder:
    """Return the order that the document implies.

    The standings of the classes are those in the account ``at_decision``.
    """
    if a.class_name == b.class_name:
        return _order_by_deadline(
            a, b, "within a class, the earlier deadline goes first"
        )
    standing_a = standing_of(at_decision, a.class_name)
    standing_b = standing_of(at_decision, b.class_name)
    if standing_a is None or standing_b is None:
        reason = "the account does not show the standing of both classes"
        return ExpectedOrder(None, at_decision.admission.rule, reason)
    if standing_a.is_within_share and standing_b.is_within_share:
        return _order_by_urgency(a, b, document)
    if standing_a.is_within_share != standing_b.is_within_share:
        within = a if standing_a.is_within_share else b
        reason = f"class {within.class_name} was within its share and the other was not"
        rule = AdmissionRule.URGENCY_WITHIN_SHARE
        return ExpectedOrder(within is a, rule, reason)
    return _order_by_service(standing_a, standing_b)


def _order_by_deadline(a: Account, b: Account, reason: str) -> ExpectedOrder:
    rule = AdmissionRule.DEADLINE_WITHIN_SHARE
    difference_ms = deadline_wall_ms(a) - deadline_wall_ms(b)
    if difference_ms == 0.0:
        return ExpectedOrder(None, rule, "the two deadlines are equal")
    return ExpectedOrder(difference_ms < 0.0, rule, reason)


def _order_by_urgency(
    a: Account, b: Account, document: EnvironmentDocument
) -> ExpectedOrder:
    class_a = document.find_class(a.class_name)
    class_b = document.find_class(b.class_name)
    rule = AdmissionRule.URGENCY_WITHIN_SHARE
    if class_a is None or class_b is None:
        reason = "the document no longer has both classes"
        return ExpectedOrder(None, rule, reason)
    if class_a.urgency == class_b.urgency:
        reason = (
            "both classes were within their share and have equal urgency, so the"
            " earlier deadline goes first"
        )
        return _order_by_deadline(a, b, reason)
    reason = (
        "both classes were within their share, so the more urgent one goes first:"
        f" {a.class_name} has urgency {class_a.urgency},"
        f" {b.class_name} has {class_b.urgency}"
    )
    return ExpectedOrder(class_a.urgency > class_b.urgency, rule, reason)


def _order_by_service(a: ClassStanding, b: ClassStanding) -> ExpectedOrder:
    rule = AdmissionRule.LEAST_NORMALISED_SERVICE
    reason = (
        "neither class was within its share, so the one with the least service over"
        f" share goes first: {a.class_name} had {a.normalised_service:.1f},"
        f" {b.class_name} had {b.normalised_service:.1f}"
    )
    if a.normalised_service == b.normalised_service:
        return ExpectedOrder(None, rule, reason)
    return ExpectedOrder(a.normalised_service < b.normalised_service, rule, reason)
