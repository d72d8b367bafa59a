"""Events of the admission of one upstream group, and what each of them changes."""

from functools import singledispatch

from chestnuthall.core.admission._events import (
    AdmissionAction,
    AdmissionEvent,
    Arrive,
    DemandReported,
    ExpireDue,
    FleetUsageReported,
    LagObserved,
    LimitChanged,
    Reconfigured,
    Release,
    ReleaseCalls,
    WakeUpDue,
    Withdraw,
)
from chestnuthall.core.admission._state import AdmissionState
from chestnuthall.core.admission._tickets import ClassQueue, Ticket
from chestnuthall.core.results import (
    DEADLINE_PASSED,
    DEADLINE_UNREACHABLE,
    QUEUE_FULL,
    UNKNOWN_CLASS,
    Failure,
)

# Fraction of its share up to which the demand of a class counts as low. The margin
# covers the error of the measured demand and service rate.
LOW_DEMAND_RATIO = 0.95


def _refusal_at_arrival(queue: AdmissionState, ticket: Ticket) -> Failure | None:
    class_queue = queue.queues.get(ticket.class_name)
    if class_queue is None or class_queue.is_retired:
        return UNKNOWN_CLASS.with_reason(f"no class named {ticket.class_name!r}")
    n_queued_max = class_queue.caller_class.n_queued_max
    if class_queue.n_waiting >= n_queued_max and not ticket.is_return:
        return QUEUE_FULL.with_reason(f"the class has {n_queued_max} queries queued")
    wait_ms = queue.expected_wait_ms(ticket)
    if wait_ms <= 0.0:
        return None
    needed_ms = wait_ms + queue.service_times.needed_ms(ticket.kind)
    remaining_ms = ticket.deadline_ms - ticket.arrived_ms
    if needed_ms <= remaining_ms:
        return None
    return DEADLINE_UNREACHABLE.with_reason(
        f"expected to take {needed_ms:.0f} ms with {remaining_ms:.0f} ms remaining"
    )


@singledispatch
def apply_event(event: AdmissionEvent, queue: AdmissionState) -> list[AdmissionAction]:
    """Apply one event to the queue."""
    raise TypeError(f"not an event: {type(event).__name__}")


@apply_event.register
def _(event: Arrive, queue: AdmissionState) -> list[AdmissionAction]:
    ticket = queue.make_ticket(event)
    failure = _refusal_at_arrival(queue, ticket)
    if failure is not None:
        return [queue.refuse(ticket, failure, event.now_ms)]
    queue.enqueue(ticket)
    return queue.admit_next(event.now_ms)


@apply_event.register
def _(event: Release, queue: AdmissionState) -> list[AdmissionAction]:
    ticket = queue.running.pop(event.ticket, None)
    if ticket is None:
        return []
    queue.release(ticket, ticket.cost)
    if event.service_ms > 0.0:
        queue.service_times.observe_query(ticket.kind, event.service_ms)
    return queue.admit_next(event.now_ms)


@apply_event.register
def _(event: ReleaseCalls, queue: AdmissionState) -> list[AdmissionAction]:
    ticket = queue.running.get(event.ticket)
    if ticket is None:
        return []
    queue.release(ticket, event.cost)
    queue.service_times.observe_call(event.service_ms)
    return queue.admit_next(event.now_ms)


@apply_event.register
def _(event: Withdraw, queue: AdmissionState) -> list[AdmissionAction]:
    ticket = queue.waiting.get(event.ticket)
    if ticket is None:
        return []
    queue.drop(ticket)
    return queue.admit_next(event.now_ms)


@apply_event.register
def _(event: ExpireDue, queue: AdmissionState) -> list[AdmissionAction]:
    due = [item for item in queue.waiting.values() if item.deadline_ms <= event.now_ms]
    actions: list[AdmissionAction] = []
    for ticket in due:
        queue.drop(ticket)
        failure = DEADLINE_PASSED.with_reason("the deadline passed while queued")
        actions.append(queue.refuse(ticket, failure, event.now_ms))
    return actions + queue.admit_next(event.now_ms)


@apply_event.register
def _(event: WakeUpDue, queue: AdmissionState) -> list[AdmissionAction]:
    actions = queue.refuse_hopeless(event.now_ms)
    return actions + queue.admit_next(event.now_ms)


@apply_event.register
def _(event: LagObserved, queue: AdmissionState) -> list[AdmissionAction]:
    queue.service_times.lag_ms = event.lag_ms
    return []


@apply_event.register
def _(event: FleetUsageReported, queue: AdmissionState) -> list[AdmissionAction]:
    class_queue = queue.queues.get(event.class_name)
    if class_queue is not None:
        class_queue.reconcile(event.cost)
    return []


@apply_event.register
def _(event: DemandReported, queue: AdmissionState) -> list[AdmissionAction]:
    class_queue = queue.queues.get(event.class_name)
    if class_queue is not None and queue.service_times.call_ms is not None:
        shares = sum(item.caller_class.share for item in queue.queues.values())
        fleet_per_ms = (
            queue.capacity.limit_cost / queue.quota_ratio / queue.service_times.call_ms
        )
        entitled_per_ms = fleet_per_ms * class_queue.caller_class.share / shares
        class_queue.has_low_demand = (
            event.cost_per_ms <= LOW_DEMAND_RATIO * entitled_per_ms
        )
    return []


@apply_event.register
def _(event: LimitChanged, queue: AdmissionState) -> list[AdmissionAction]:
    queue.capacity.limit_cost = event.limit_cost
    queue.quota_ratio = event.quota_ratio
    queue.class_demand_ratios = dict(event.class_demand_ratios)
    return queue.admit_next(event.now_ms)


@apply_event.register
def _(event: Reconfigured, queue: AdmissionState) -> list[AdmissionAction]:
    queue.capacity.reserved_ratios = dict(event.reserved_ratios)
    previous = queue.queues
    queue.queues = {}
    queue.returns.retain(frozenset(item.name for item in event.classes))
    for caller_class in event.classes:
        class_queue = previous.pop(caller_class.name, None) or ClassQueue(caller_class)
        class_queue.caller_class = caller_class
        class_queue.is_retired = False
        queue.queues[caller_class.name] = class_queue
    for name, class_queue in previous.items():
        class_queue.is_retired = True
        if class_queue.n_waiting:
            queue.queues[name] = class_queue
    return queue.admit_next(event.now_ms)
