"""Plain sentences about accounts."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from chestnuthall.core.accounts._order import ExpectedOrder, expected_order
from chestnuthall.core.model import Account, AdmissionRule, EnvironmentDocument
from chestnuthall.core.results import ResultCode

# Clocks kept by a time service on one network usually agree within this time.
CLOCK_ERROR_MS: Final = 50.0


class Verdict(Enum):
    """Whether an order was right by the document."""

    RIGHT = "right"
    WRONG = "wrong"
    CANNOT_TELL = "cannot_tell"


class Confidence(Enum):
    """How sure a verdict is."""

    CERTAIN = "certain"
    LIKELY = "likely"
    UNSURE = "unsure"


@dataclass(frozen=True, slots=True)
class Explanation:
    """What accounts say; the requests are called A and B.

    ``rule`` is the rule that decided the order; None if none did. The
    sentences name classes only, never a caller, a query or a request id.
    """

    sentences: tuple[str, ...]
    rule: AdmissionRule | None = None
    verdict: Verdict = Verdict.CANNOT_TELL
    confidence: Confidence = Confidence.UNSURE


_RULES: Final = {
    AdmissionRule.IMMEDIATE: "there was room, so it did not wait",
    AdmissionRule.URGENCY_WITHIN_SHARE: (
        "its class was within its share, and the most urgent of those"
    ),
    AdmissionRule.DEADLINE_WITHIN_SHARE: (
        "its class was within its share, and its deadline was the earliest"
    ),
    AdmissionRule.LEAST_NORMALISED_SERVICE: (
        "its class had received the least service for its share"
    ),
    AdmissionRule.RESERVED_CAPACITY: "there was room reserved for its kind of request",
    AdmissionRule.ONLY_CANDIDATE: "no other class had a query waiting",
    AdmissionRule.NOT_ADMITTED: "it was not admitted",
}


def explain_one(account: Account, name: str = "A") -> Explanation:
    """Explain when a request was served, or why it was not."""
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
    reason = _RULES.get(admission.rule, admission.rule.value)
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
    opening = _opening(first, later, first_name, later_name)
    unsure = _doubts(first, later, revision, clock_error_ms)
    confidence = _confidence(first, later, unsure)
    if not _both_waited(first, later):
        sentences = (
            opening,
            f"{later_name} arrived after {first_name} had been admitted, so no rule"
            " had to choose between them.",
            *unsure,
        )
        return Explanation(sentences, None, Verdict.RIGHT, confidence)
    expected = expected_order(first, later, first, document)
    rule = _deciding_rule(first, later)
    verdict = _verdict(expected, rule, first, document)
    sentences = (
        opening,
        f"The rule that decided was {rule.value}: {_RULES.get(rule, rule.value)}.",
        _verdict_sentence(verdict, expected, first, rule),
        *unsure,
    )
    return Explanation(sentences, rule, verdict, confidence)


def _by_admission(a: Account, b: Account) -> tuple[Account, Account, str, str]:
    infinity = float("inf")
    at_a = infinity if a.admitted_wall_ms is None else a.admitted_wall_ms
    at_b = infinity if b.admitted_wall_ms is None else b.admitted_wall_ms
    return (a, b, "A", "B") if at_a <= at_b else (b, a, "B", "A")


def _opening(first: Account, later: Account, first_name: str, later_name: str) -> str:
    start = (
        f"{first_name} (class {first.class_name}) went before"
        f" {later_name} (class {later.class_name})"
    )
    if first.admitted_wall_ms is None or later.admitted_wall_ms is None:
        return f"{start}, which was not admitted."
    gap_ms = later.admitted_wall_ms - first.admitted_wall_ms
    return f"{start} by {gap_ms:.1f} ms."


def _both_waited(first: Account, later: Account) -> bool:
    """Return whether the later one had arrived when the first was admitted."""
    admitted_ms = first.admitted_wall_ms
    return admitted_ms is not None and later.arrived_wall_ms <= admitted_ms


def _deciding_rule(first: Account, later: Account) -> AdmissionRule:
    """Return the rule by which the first one's class went ahead.

    The later account lists what went ahead of it, by class and rule; without
    such an entry, the rule that admitted the first one stands.
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
        has_capacity = reserved.get(first.kind, 0.0) > 0.0
        return Verdict.RIGHT if has_capacity else Verdict.WRONG
    if expected.a_first is None:
        return Verdict.CANNOT_TELL
    return Verdict.RIGHT if expected.a_first else Verdict.WRONG


def _verdict_sentence(
    verdict: Verdict, expected: ExpectedOrder, first: Account, rule: AdmissionRule
) -> str:
    if rule is AdmissionRule.RESERVED_CAPACITY:
        word = "is" if verdict is Verdict.RIGHT else "is not"
        return f"A part of group {first.group} {word} reserved for {first.kind}."
    openings = {
        Verdict.RIGHT: "By the document the order was right",
        Verdict.WRONG: "By the document the order was wrong",
        Verdict.CANNOT_TELL: "Whether the order was right cannot be told",
    }
    return f"{openings[verdict]}: {expected.because}."


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
                f"Their times differ by less than clocks may ({clock_error_ms:.0f} ms"
                " each), so the order itself is not sure."
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
    is_one_doubt_of_place = first.instance != later.instance and len(doubts) == 1
    return Confidence.LIKELY if is_one_doubt_of_place else Confidence.UNSURE
