"""Explain accounts of requests in plain sentences."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from chestnuthall.core.accounts._order import ExpectedOrder, expected_order
from chestnuthall.core.model import Account, AdmissionRule, EnvironmentDocument
from chestnuthall.core.results import ResultCode

# Usual maximum error of a clock that is synchronised over the local network.
CLOCK_ERROR_MS: Final = 50.0


class Verdict(Enum):
    """Whether the order of two requests was right according to the document."""

    RIGHT = "right"
    WRONG = "wrong"
    CANNOT_TELL = "cannot_tell"


class Confidence(Enum):
    """Degree of certainty of a verdict."""

    CERTAIN = "certain"
    LIKELY = "likely"
    UNSURE = "unsure"


@dataclass(frozen=True, slots=True)
class Explanation:
    """Explanation of one request, or of the order of two, called A and B.

    ``rule`` is the rule that decided the order, or None if no rule did. To
    protect the privacy of callers, the sentences contain class names, but never a
    caller, a query or a request id.
    """

    sentences: tuple[str, ...]
    rule: AdmissionRule | None = None
    verdict: Verdict = Verdict.CANNOT_TELL
    confidence: Confidence = Confidence.UNSURE


_RULE_TEXTS: Final = {
    AdmissionRule.IMMEDIATE: "capacity was free, so it did not wait",
    AdmissionRule.URGENCY_WITHIN_SHARE: (
        "its class was within its share, and the most urgent of those"
    ),
    AdmissionRule.DEADLINE_WITHIN_SHARE: (
        "its class was within its share, and its deadline was the earliest"
    ),
    AdmissionRule.LEAST_NORMALISED_SERVICE: (
        "its class had received the least service for its share"
    ),
    AdmissionRule.RESERVED_CAPACITY: "capacity was reserved for its kind of request",
    AdmissionRule.ONLY_CANDIDATE: "no other class had a query waiting",
    AdmissionRule.NOT_ADMITTED: "it was not admitted",
}


def explain_one(account: Account, name: str = "A") -> Explanation:
    """Explain when and how a request was served, or why it was not."""
    sentences = [
        f"{name} is a {account.kind} of class {account.class_name} on group"
        f" {account.group}, served by instance {account.instance} under revision"
        f" {account.configuration_revision}.",
        _admission_sentence(account, name),
        *_ahead_sentences(account, name),
        _fan_out_sentence(account, name),
        _result_sentence(account, name),
    ]
    return Explanation(
        tuple(item for item in sentences if item),
        rule=account.admission.rule,
        confidence=Confidence.CERTAIN,
    )


def _admission_sentence(account: Account, name: str) -> str:
    admission = account.admission
    reason = _RULE_TEXTS.get(admission.rule, admission.rule.value)
    if account.admitted_wall_ms is None:
        return f"{name} was not admitted after {admission.queued_ms:.1f} ms."
    return (
        f"{name} was admitted after {admission.queued_ms:.1f} ms, with"
        f" {admission.n_ahead_at_arrival} queries waiting at its arrival: {reason}."
    )


def _ahead_sentences(account: Account, name: str) -> list[str]:
    return [
        f"While {name} waited, {item.n_queries} of class {item.class_name} went ahead"
        f" by the rule {item.rule.value}."
        for item in account.admission.ahead
    ]


def _fan_out_sentence(account: Account, name: str) -> str:
    fan_out = account.fan_out
    if fan_out.n_calls == 0:
        return f"No shard call was made for {name}."
    return (
        f"{name} made {fan_out.n_calls} shard calls, {fan_out.n_hedges} of them hedges"
        f" and {fan_out.n_retries} retries; the slowest shard took"
        f" {fan_out.slowest_shard_ms:.1f} ms; coverage was"
        f" {account.coverage_ratio:.3f} of snapshot {account.snapshot_id}."
    )


def _result_sentence(account: Account, name: str) -> str:
    total_ms = account.finished_wall_ms - account.arrived_wall_ms
    code = ResultCode(account.result_code)
    return f"{name} ended with {code.name} ({int(code)}) after {total_ms:.1f} ms."


def explain_two(
    a: Account,
    b: Account,
    document: EnvironmentDocument,
    revision: int,
    clock_error_ms: float = CLOCK_ERROR_MS,
) -> Explanation:
    """Explain which of two requests went first, and whether that was right."""
    if a.group != b.group:
        sentence = f"A and B never competed: they use groups {a.group} and {b.group}."
        return Explanation((sentence,), confidence=Confidence.CERTAIN)
    if a.admitted_wall_ms is None and b.admitted_wall_ms is None:
        return Explanation(
            ("Neither A nor B was admitted, so there is no order to explain.",),
            confidence=Confidence.CERTAIN,
        )
    first, later, first_name, later_name = _by_admission(a, b)
    order_sentence = _order_sentence(first, later, first_name, later_name)
    doubts = _doubts(first, later, revision, clock_error_ms)
    confidence = _confidence(first, later, doubts)
    if not _both_waited(first, later):
        sentences = (
            order_sentence,
            f"{later_name} arrived after {first_name} had been admitted, so no rule"
            " had to choose between them.",
            *doubts,
        )
        return Explanation(sentences, None, Verdict.RIGHT, confidence)
    expected = expected_order(first, later, first, document)
    rule = _deciding_rule(first, later)
    verdict = _verdict(expected, rule, first, document)
    sentences = (
        order_sentence,
        f"The rule that decided was {rule.value}: {_RULE_TEXTS.get(rule, rule.value)}.",
        _verdict_sentence(verdict, expected, first, rule),
        *doubts,
    )
    return Explanation(sentences, rule, verdict, confidence)


def _by_admission(a: Account, b: Account) -> tuple[Account, Account, str, str]:
    infinity = float("inf")
    at_a = infinity if a.admitted_wall_ms is None else a.admitted_wall_ms
    at_b = infinity if b.admitted_wall_ms is None else b.admitted_wall_ms
    return (a, b, "A", "B") if at_a <= at_b else (b, a, "B", "A")


def _order_sentence(
    first: Account, later: Account, first_name: str, later_name: str
) -> str:
    sentence = (
        f"{first_name} (class {first.class_name}) went before"
        f" {later_name} (class {later.class_name})"
    )
    if first.admitted_wall_ms is None or later.admitted_wall_ms is None:
        return f"{sentence}, which was not admitted."
    gap_ms = later.admitted_wall_ms - first.admitted_wall_ms
    return f"{sentence} by {gap_ms:.1f} ms."


def _both_waited(first: Account, later: Account) -> bool:
    """Return whether the later request had arrived when the first was admitted."""
    admitted_ms = first.admitted_wall_ms
    return admitted_ms is not None and later.arrived_wall_ms <= admitted_ms


def _deciding_rule(first: Account, later: Account) -> AdmissionRule:
    """Return the rule by which the class of the first request went ahead.

    The later account lists the queries that went ahead of it, by class and rule.
    Without an entry for the class, return the rule that admitted the first request.
    """
    if first.instance == later.instance:
        for item in later.admission.ahead:
            if item.class_name == first.class_name:
                return item.rule
    return first.admission.rule


def _verdict(
    expected: ExpectedOrder,
    rule: AdmissionRule,
    first: Account,
    document: EnvironmentDocument,
) -> Verdict:
    if rule is AdmissionRule.RESERVED_CAPACITY:
        group = document.find_group(first.group)
        reserved = dict(group.reserved_ratios) if group is not None else {}
        has_reservation = reserved.get(first.kind, 0.0) > 0.0
        return Verdict.RIGHT if has_reservation else Verdict.WRONG
    if expected.a_first is None:
        return Verdict.CANNOT_TELL
    return Verdict.RIGHT if expected.a_first else Verdict.WRONG


def _verdict_sentence(
    verdict: Verdict, expected: ExpectedOrder, first: Account, rule: AdmissionRule
) -> str:
    if rule is AdmissionRule.RESERVED_CAPACITY:
        verb = "is" if verdict is Verdict.RIGHT else "is not"
        return f"Capacity of group {first.group} {verb} reserved for {first.kind}."
    verdict_texts = {
        Verdict.RIGHT: "By the document the order was right",
        Verdict.WRONG: "By the document the order was wrong",
        Verdict.CANNOT_TELL: "Whether the order was right cannot be determined",
    }
    return f"{verdict_texts[verdict]}: {expected.reason}."


def _doubts(
    first: Account, later: Account, revision: int, clock_error_ms: float
) -> list[str]:
    doubts = []
    if first.instance != later.instance:
        doubts.append(
            f"They were served by different instances, {first.instance} and"
            f" {later.instance}, each with a queue and a clock of its own."
        )
        if _gap_ms(first, later) <= 2.0 * clock_error_ms:
            doubts.append(
                "Their times differ by no more than the error of two clocks"
                f" ({clock_error_ms:.0f} ms each), so the order itself is uncertain."
            )
    revisions = {first.configuration_revision, later.configuration_revision}
    if revisions != {revision}:
        shown = " and ".join(str(item) for item in sorted(revisions))
        doubts.append(
            f"They were served under revision {shown}, and are judged by revision"
            f" {revision}."
        )
    return doubts


def _gap_ms(first: Account, later: Account) -> float:
    if first.admitted_wall_ms is None or later.admitted_wall_ms is None:
        return float("inf")
    return later.admitted_wall_ms - first.admitted_wall_ms


def _confidence(first: Account, later: Account, doubts: list[str]) -> Confidence:
    if not doubts:
        return Confidence.CERTAIN
    only_instances_differ = first.instance != later.instance and len(doubts) == 1
    return Confidence.LIKELY if only_instances_differ else Confidence.UNSURE
