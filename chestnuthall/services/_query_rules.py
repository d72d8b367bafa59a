"""Rules of the query service that are independent of its state."""

from collections.abc import Callable
from dataclasses import replace

from chestnuthall.core.fanout import Completion, target_shards
from chestnuthall.core.model import (
    CallerClass,
    Decision,
    DecisionEvent,
    PartitionMap,
    Replica,
    Request,
    ScatterRequest,
    UpstreamGroup,
    is_idempotent,
    reachable_ratio,
)
from chestnuthall.core.overload import (
    Leaving,
    ReplicasFull,
    ReplicasUnavailable,
    Starting,
    StoreUnavailable,
)
from chestnuthall.core.results import (
    NO_REPLICA,
    NOT_READY,
    SHED_BY_UPSTREAM,
    SHUTTING_DOWN,
    STORE_UNAVAILABLE,
    Failure,
    FailureKind,
    RetryAdvice,
    RunState,
)
from chestnuthall.services._admission import Admitted

# Time that a request that may run only once needs before the end of the instance, as a
# multiple of its objective.
UNREPEATABLE_TIME_FACTOR = 2.0


def admission_decision(ticket: Admitted) -> Decision:
    """Return the decision by which a query was admitted, for the log."""
    account = ticket.account
    return Decision(
        ticket.admitted_ms,
        DecisionEvent.ADMITTED,
        (account.rule.value, account.queued_ms, account.n_ahead_at_arrival),
    )


def failure_without_replicas(
    request: Request, caller_class: CallerClass, partition_map: PartitionMap
) -> Failure | None:
    """Return a failure if too few shards have replicas for the coverage floor.

    A group without replicas has no slots, so that the query would wait for
    admission until its deadline.
    """
    floor = caller_class.coverage_floor_ratio
    reachable = reachable_ratio(target_shards(request, partition_map))
    if reachable > 0.0 and reachable >= floor:
        return None
    return NO_REPLICA.with_reason(
        f"replicas are known for {reachable:.4f} of the index, the floor is {floor:.4f}"
    )


def failure_while_stopping(
    request: Request, caller_class: CallerClass, now_ms: float, ends_at_ms: float
) -> Failure | None:
    """Return a failure if the instance ends before the request would be answered.

    Another instance can then run it. A request that may run only once is given more
    time, because its caller could not repeat it.
    """
    needed_ms = caller_class.objective.latency_ms
    if not is_idempotent(request):
        needed_ms *= UNREPEATABLE_TIME_FACTOR
    needed_ms = min(needed_ms, request.deadline_ms - now_ms)
    if now_ms + needed_ms <= ends_at_ms:
        return None
    return SHUTTING_DOWN.with_reason("the instance ends before the request would")


def reaches_floor(
    request: Request,
    caller_class: CallerClass,
    partition_map: PartitionMap,
    is_refusing: Callable[[Replica], bool],
) -> bool:
    """Return whether enough shards have a replica that accepts calls.

    A shard without an unavailable replica counts as reachable.
    """
    reachable = reachable_ratio(
        [
            shard
            if any(not is_refusing(replica) for replica in shard.replicas)
            else replace(shard, replicas=())
            for shard in target_shards(request, partition_map)
        ]
    )
    return reachable > 0.0 and reachable >= caller_class.coverage_floor_ratio


def rejection_cause(kind: FailureKind, call_ms: float, outage_ms: float) -> object:
    """Return the cause of a rejection that admission did not decide.

    ``call_ms`` is the usual duration of a shard call, and ``outage_ms`` how long too
    few shards could be called. The replicas of a request that
    was not run for any other reason could not be called.
    """
    causes: dict[FailureKind, object] = {
        NOT_READY: Starting(),
        SHUTTING_DOWN: Leaving(),
        STORE_UNAVAILABLE: StoreUnavailable(),
        SHED_BY_UPSTREAM: ReplicasFull(call_ms),
    }
    return causes.get(kind, ReplicasUnavailable(outage_ms))


def n_slots(group: UpstreamGroup, partition_map: PartitionMap) -> float:
    """Return the slots of all replicas.

    A replica that does not state its slots has the number of its group.
    """
    return float(
        sum(
            replica.n_slots or group.n_slots
            for shard in partition_map.shards
            for replica in shard.replicas
        )
    )


def may_be_combined(request: Request) -> bool:
    """Return whether peers may answer for some shards of a request.

    A request by a peer for a set of shards is not divided further.
    """
    return isinstance(request, ScatterRequest) and not request.shard_ids


def class_for_shard_set(request: Request, caller_class: CallerClass) -> CallerClass:
    """Return the class with the coverage floor of the shard set that a peer requests.

    A request for the whole index keeps the floor of its class.

    Examples
    --------
    >>> caller_class = CallerClass(
    ...     name="c", share=1.0, urgency=1, coverage_floor_ratio=0.9, deadline_ms=500.0
    ... )
    >>> request = ScatterRequest(
    ...     request_id="q", class_name="c", group="g", arrived_ms=0.0,
    ...     deadline_ms=500.0, fingerprint="f", method="GET", target="/", headers=(),
    ...     body=b"", n_replicas_max=2, n_records_max=5, n_record_bytes=16,
    ...     shard_ids=frozenset({"s0", "s1", "s2", "s3"}), n_missing_max=1,
    ... )
    >>> class_for_shard_set(request, caller_class).coverage_floor_ratio
    0.75
    """
    if not isinstance(request, ScatterRequest) or not request.shard_ids:
        return caller_class
    n_shards = len(request.shard_ids)
    n_required = max(1, n_shards - request.n_missing_max)
    return replace(caller_class, coverage_floor_ratio=n_required / n_shards)


def bound_deadline(
    request: Request, caller_class: CallerClass, ends_at_ms: float = float("inf")
) -> Request:
    """Return the request with its deadline limited to that of its class.

    A request is also answered before the instance ends at ``ends_at_ms``.
    """
    latest_ms = min(request.arrived_ms + caller_class.deadline_ms, ends_at_ms)
    if request.deadline_ms <= latest_ms:
        return request
    return replace(request, deadline_ms=latest_ms)


def run_state_and_retry_advice(
    failure: Failure, completion: Completion | None, has_claim: bool
) -> tuple[RunState, RetryAdvice]:
    """Return whether a refused request was run, and whether it may be repeated.

    Before the fan-out, the kind of the failure states both, as far as they are
    known. Afterwards the results of the calls decide whether it was run: a search
    whose calls were all refused before they started was not run, whatever the kind
    of its failure states.
    A mutation whose key stays claimed needs a new key to be repeated.
    """
    kind = failure.kind
    run_state, repeat = kind.run, kind.repeat
    if completion is not None:
        run_state = completion.run_state
    if has_claim and run_state is RunState.NO and repeat is RetryAdvice.SAFE:
        repeat = RetryAdvice.NEW_KEY
    return run_state, repeat
