"""The usual tier for comparison, and each policy of the real one switched off."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from random import Random
from unittest.mock import patch

from benchmarks._deployments import Deployment, document_of
from chestnuthall.core.admission import AdaptiveLimit, AdmissionAction, AdmissionQueue
from chestnuthall.core.admission._capacity import Capacity
from chestnuthall.core.admission._limit import RATIO_MAX
from chestnuthall.core.admission._tickets import ClassQueue, Ticket
from chestnuthall.core.model import (
    AdmissionRule,
    EnvironmentDocument,
    ExtraLoadPolicy,
    Replica,
    Shard,
)
from chestnuthall.core.routing import Router
from chestnuthall.services import FleetUsageExchange


class FifoQueue(AdmissionQueue):
    """First in first out over all classes, without early refusal.

    It has the same limit as the real queue at its best, so that only the
    policies differ.
    """

    def expected_wait_ms(self, ticket: Ticket) -> float:
        """Expect no wait, so that nothing is refused early."""
        return 0.0

    def _is_too_late(self, ticket: Ticket, now_ms: float) -> bool:
        return now_ms >= ticket.deadline_ms

    def _admit_by_share(self, now_ms: float) -> AdmissionAction | None:
        ticket = next(iter(self.waiting.values()))
        if not self.capacity.has_capacity(ticket.cost):
            return None
        queue = self.queues[ticket.class_name]
        return self._admit_or_refuse(queue, ticket, AdmissionRule.IMMEDIATE, now_ms)


def _choose_random(
    router: Router,
    shard: Shard,
    snapshot_id: int,
    excluded_names: object,
    now_ms: float,
    **conditions: object,
) -> Replica | None:
    random: Random = router._random
    return random.choice(shard.replicas)


def _skip(*args: object, **kwargs: object) -> None:
    """Do nothing in place of a policy."""


Switch = Callable[[], object]

_SERVICE = "chestnuthall.services._admission"
_CAPACITY = "chestnuthall.core.admission._capacity"

SWITCHES: dict[str, tuple[Switch, ...]] = {
    "baseline": (
        lambda: patch(f"{_SERVICE}.AdmissionQueue", FifoQueue),
        lambda: patch.object(AdaptiveLimit, "adapt", _fix_limit),
        lambda: patch.object(FleetUsageExchange, "receive", _skip),
        lambda: patch.object(Router, "choose", _choose_random),
    ),
    "early_refusal": (
        lambda: patch.object(AdmissionQueue, "expected_wait_ms", lambda *_: 0.0),
        lambda: patch.object(AdmissionQueue, "_is_too_late", lambda *_: False),
    ),
    "fleet_shares": (lambda: patch.object(FleetUsageExchange, "receive", _skip),),
    "prediction": (
        lambda: patch.object(
            ClassQueue,
            "charge_service",
            lambda queue, cost, _: queue._add_service(cost),
        ),
    ),
    "adaptive_limit": (lambda: patch.object(AdaptiveLimit, "adapt", _skip),),
    "saved_room": (lambda: patch(f"{_CAPACITY}.CREDIT_MAX_MS", 0.0),),
    "urgent_room": (
        lambda: patch.object(Capacity, "has_urgent_capacity", lambda *_: False),
    ),
    "part_release": (
        lambda: patch(f"{_SERVICE}.Admission.on_call_result", _observe_only),
    ),
}
POLICIES = ("urgency", *(name for name in SWITCHES if name != "baseline"))


def _fix_limit(limit: AdaptiveLimit, utilisation_ratio: float) -> float:
    limit.ratio = RATIO_MAX
    return limit.ratio


def _observe_only(admission, admitted, call, result, elapsed_ms) -> None:  # type: ignore[no-untyped-def]
    """Adapt the limit but keep the room of a query until it ends."""
    admission._limit.observe_answer(call.replica.name, elapsed_ms)


@contextmanager
def switched_off(name: str) -> Iterator[None]:
    """Run without one policy, or as the baseline; an empty name changes nothing."""
    with ExitStack() as stack:
        for switch in SWITCHES.get(name, ()):
            stack.enter_context(switch())  # type: ignore[arg-type]
        yield


def document_without(deployment: Deployment, name: str) -> EnvironmentDocument:
    """Return the document for a run without a policy."""
    document = document_of(deployment)
    if name == "baseline":
        return replace(document, extra_load=ExtraLoadPolicy(max_ratio=0.0))
    if name == "urgency":
        classes = tuple(replace(item, urgency=0) for item in document.classes)
        return replace(document, classes=classes)
    return document
