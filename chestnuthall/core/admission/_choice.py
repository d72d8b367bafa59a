"""Which class goes next, and the standings that the choice was made from."""

from collections.abc import Iterable

from chestnuthall.core.admission._tickets import ClassQueue
from chestnuthall.core.model import AdmissionRule, ClassStanding

# Turnovers of the group's slots by which a class may be ahead of the least
# served one and still count as within its share. News of other instances comes
# in lumps of about a second, and with less slack an urgent class waits out the
# lump of its own service; over many seconds the difference is small.
N_TURNOVERS_AHEAD = 8.0


def slack_of(queues: Iterable[ClassQueue], fleet_cost: float) -> float:
    """Return the normalised service that counts as within the share."""
    total_share = sum(queue.caller_class.share for queue in queues)
    return N_TURNOVERS_AHEAD * fleet_cost / total_share if total_share else 0.0


def choose_class(
    busy: list[ClassQueue], slack: float, kind: str | None = None
) -> tuple[ClassQueue, AdmissionRule]:
    """Return the class that goes next and the rule that decided.

    A class is within its share if it received little more than the least
    served one, or if it asks for less than its share over the whole fleet.
    Among these the more urgent one goes first, then the one whose next query
    has the earlier deadline. When only one class is within its share it is
    the one with the least normalised service.
    """
    if len(busy) == 1:
        return busy[0], AdmissionRule.ONLY_CANDIDATE
    least = min(queue.normalised_service for queue in busy)
    within = [queue for queue in busy if _is_within(queue, least, slack)]
    if len(within) == 1:
        return within[0], AdmissionRule.LEAST_NORMALISED_SERVICE
    urgency = max(queue.caller_class.urgency for queue in within)
    urgent = [queue for queue in within if queue.caller_class.urgency == urgency]
    if len(urgent) == 1:
        return urgent[0], AdmissionRule.URGENCY_WITHIN_SHARE
    earliest = min(urgent, key=lambda queue: _deadline_ms(queue, kind))
    return earliest, AdmissionRule.DEADLINE_WITHIN_SHARE


def _is_within(queue: ClassQueue, least: float, slack: float) -> bool:
    return queue.is_modest or queue.normalised_service <= least + slack


def _deadline_ms(queue: ClassQueue, kind: str | None) -> float:
    head = queue.head(kind)
    return float("inf") if head is None else head.deadline_ms


def standings_of(
    queues: Iterable[ClassQueue], slack: float
) -> tuple[ClassStanding, ...]:
    """Return the standing of every class."""
    listed = list(queues)
    busy = [queue.normalised_service for queue in listed if queue.n_waiting]
    least = min(busy, default=0.0)
    return tuple(
        ClassStanding(
            class_name=queue.caller_class.name,
            share=queue.caller_class.share,
            urgency=queue.caller_class.urgency,
            normalised_service=queue.normalised_service,
            n_queued=queue.n_waiting,
            is_within_share=_is_within(queue, least, slack),
        )
        for queue in listed
    )
