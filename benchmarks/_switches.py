"""Ablations: the comparison baseline, and the tier without one of its policies."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from random import Random
from unittest.mock import patch

from benchmarks._deployments import Deployment, make_document
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
    """First-in-first-out queue over all classes, without early refusal.

    It has the largest limit that the adaptive limit of the real queue reaches, so
    that only the policies differ.
    """

    def expected_wait_ms(self, ticket: Ticket) -> float:
        """Return 0, so that no request is refused early."""
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


def _do_nothing(*args: object, **kwargs: object) -> None:
    """Replace a policy with a no-op."""


PatchFactory = Callable[[], object]

_ADMISSION_SERVICE_MODULE = "chestnuthall.services._admission"
_CAPACITY_MODULE = "chestnuthall.core.admission._capacity"

ABLATIONS: dict[str, tuple[PatchFactory, ...]] = {
    "baseline": (
        lambda: patch(f"{_ADMISSION_SERVICE_MODULE}.AdmissionQueue", FifoQueue),
        lambda: patch.object(AdaptiveLimit, "adapt", _set_largest_limit),
        lambda: patch.object(FleetUsageExchange, "receive", _do_nothing),
        lambda: patch.object(Router, "choose", _choose_random),
    ),
    "early_refusal": (
        lambda: patch.object(AdmissionQueue, "expected_wait_ms", lambda *_: 0.0),
        lambda: patch.object(AdmissionQueue, "_is_too_late", lambda *_: False),
    ),
    "fleet_shares": (lambda: patch.object(FleetUsageExchange, "receive", _do_nothing),),
    "prediction": (
        lambda: patch.object(
            ClassQueue,
            "charge_service",
            lambda queue, cost, _: queue._add_service(cost),
        ),
    ),
    "adaptive_limit": (lambda: patch.object(AdaptiveLimit, "adapt", _do_nothing),),
    "saved_room": (lambda: patch(f"{_CAPACITY_MODULE}.CREDIT_MAX_MS", 0.0),),
    "urgent_room": (
        lambda: patch.object(Capacity, "has_urgent_capacity", lambda *_: False),
    ),
    "part_release": (
        lambda: patch(
            f"{_ADMISSION_SERVICE_MODULE}.Admission.on_call_result", _observe_only
        ),
    ),
}
POLICIES = ("urgency", *(name for name in ABLATIONS if name != "baseline"))


def _set_largest_limit(limit: AdaptiveLimit, utilisation_ratio: float) -> float:
    limit.ratio = RATIO_MAX
    return limit.ratio


def _observe_only(admission, admitted, call, result, elapsed_ms) -> None:  # type: ignore[no-untyped-def]
    """Adapt the limit, but release no capacity before the end of the query."""
    admission._limit.observe_answer(call.replica.name, elapsed_ms)


@contextmanager
def without_policy(name: str) -> Iterator[None]:
    """Disable one policy or patch in the baseline; an empty name changes nothing."""
    with ExitStack() as stack:
        for make_patch in ABLATIONS.get(name, ()):
            stack.enter_context(make_patch())  # type: ignore[arg-type]
        yield


def document_without(deployment: Deployment, name: str) -> EnvironmentDocument:
    """Return the environment document for a run without the named policy."""
    document = make_document(deployment)
    if name == "baseline":
        return replace(document, extra_load=ExtraLoadPolicy(max_ratio=0.0))
    if name == "urgency":
        classes = tuple(replace(item, urgency=0) for item in document.classes)
        return replace(document, classes=classes)
    return document
