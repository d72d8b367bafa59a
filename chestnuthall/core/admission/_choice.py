"""Choice of the class to serve next, and the standings it is based on."""

from collections.abc import Iterable

from chestnuthall.core.admission._tickets import ClassQueue
from chestnuthall.core.model import AdmissionRule, ClassStanding

# Service by which a class may be ahead of the least served one and still count
# as within its share, as a multiple of the fleet-wide limit. Usage reports of
# other instances each cover about a second, and with less slack an urgent class
# waits until the others have caught up with one report of its own service. Over
# many seconds the effect on the shares is small.
SLACK_FACTOR = 8.0


def slack_of(queues: Iterable[ClassQueue], fleet_cost: float) -> float:
    """Return the lead in normalised service that counts as within the share."""
    total_share = sum(queue.caller_class.share for queue in queues)
    return SLACK_FACTOR * fleet_cost / total_share if total_share else 0.0


def choose_class(
    backlogged: list[ClassQueue], slack: float, kind: str | None = None
) -> tuple[ClassQueue, AdmissionRule]:
    """Return the class to serve next and the rule that decided.

    A class is within its share if its normalised service exceeds the least one
    by at most ``slack``, or if its demand over the whole fleet is below its
    share. Among these classes the most urgent one goes first, then the one whose
    next query has the earliest deadline. If only one class is within its share,
    it is the one with the least normalised service.
    """
    if len(backlogged) == 1:
        return backlogged[0], AdmissionRule.ONLY_CANDIDATE
    least = min(queue.normalised_service for queue in backlogged)
    within_share = [
        queue for queue in backlogged if _is_within_share(queue, least, slack)
    ]
    if len(within_share) == 1:
        return within_share[0], AdmissionRule.LEAST_NORMALISED_SERVICE
    urgency = max(queue.caller_class.urgency for queue in within_share)
    urgent = [queue for queue in within_share if queue.caller_class.urgency == urgency]
    if len(urgent) == 1:
        return urgent[0], AdmissionRule.URGENCY_WITHIN_SHARE
    earliest = min(urgent, key=lambda queue: _deadline_ms(queue, kind))
    return earliest, AdmissionRule.DEADLINE_WITHIN_SHARE


def _is_within_share(queue: ClassQueue, least: float, slack: float) -> bool:
    return queue.has_low_demand or queue.normalised_service <= least + slack


def _deadline_ms(queue: ClassQueue, kind: str | None) -> float:
    head = queue.head(kind)
    return float("inf") if head is None else head.deadline_ms


def standings_of(
    queues: Iterable[ClassQueue], slack: float
) -> tuple[ClassStanding, ...]:
    """Return the standing of every class."""
    listed = list(queues)
    backlogged = [queue.normalised_service for queue in listed if queue.n_waiting]
    least = min(backlogged, default=0.0)
    return tuple(
        ClassStanding(
            class_name=queue.caller_class.name,
            share=queue.caller_class.share,
            urgency=queue.caller_class.urgency,
            normalised_service=queue.normalised_service,
            n_queued=queue.n_waiting,
            is_within_share=_is_within_share(queue, least, slack),
        )
        for queue in listed
    )
