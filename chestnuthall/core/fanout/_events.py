"""Input events and output actions of the fan-out state machine."""

from dataclasses import dataclass

from chestnuthall.core.model import (
    Coverage,
    Decision,
    FanOutAccount,
    Hit,
    PartitionMap,
    Reply,
    ShardAnswer,
    ShardCall,
)
from chestnuthall.core.results import Failure, RunState


@dataclass(frozen=True, slots=True)
class Event:
    """Base of all events; ``now_ms`` is the instance's monotonic time."""

    now_ms: float


@dataclass(frozen=True, slots=True)
class QueryStarted(Event):
    """The query was admitted and its partition map is pinned."""


@dataclass(frozen=True, slots=True)
class CallAnswered(Event):
    """A replica answered a call."""

    call_id: str
    answer: ShardAnswer


@dataclass(frozen=True, slots=True)
class CallFailed(Event):
    """A call ended without an answer."""

    call_id: str
    failure: Failure


@dataclass(frozen=True, slots=True)
class TimerFired(Event):
    """The most recently set timer expired."""


@dataclass(frozen=True, slots=True)
class MapReplaced(Event):
    """Result of ``Replan``: another map to pin, or None if there is none."""

    partition_map: PartitionMap | None


@dataclass(frozen=True, slots=True)
class PeersNotified(Event):
    """Result of ``NotifyPeers``: all reachable peers were notified.

    Without ``is_probe_granted`` another instance runs the probe.
    """

    is_probe_granted: bool = True


@dataclass(frozen=True, slots=True)
class VerdictReached(Event):
    """A suspected request was cleared or quarantined, here or at a peer."""


@dataclass(frozen=True, slots=True)
class Action:
    """Base of all actions."""


@dataclass(frozen=True, slots=True)
class Dispatch(Action):
    """Start a shard call."""

    call: ShardCall


@dataclass(frozen=True, slots=True)
class Cancel(Action):
    """Cancel a shard call whose answer is no longer needed."""

    call_id: str


@dataclass(frozen=True, slots=True)
class SetTimer(Action):
    """Replace the timer; it fires at ``at_ms``."""

    at_ms: float


@dataclass(frozen=True, slots=True)
class Replan(Action):
    """Request a map whose snapshot is none of the unavailable ones."""

    unavailable_snapshot_ids: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class NotifyPeers(Action):
    """Notify the peers of a suspected request before a second replica runs it."""

    fingerprint: str


@dataclass(frozen=True, slots=True)
class Completion:
    """Outcome of a fan-out; ``failure`` is None on success.

    ``run_state`` states whether any replica ran the request. ``reply`` is the reply
    to the caller of a relayed request, merged from ``shard_replies``. ``decisions``
    lists the decisions that led to the outcome, in chronological order.
    ``soft_decision_ms`` is the soft deadline if it ended the query, unless the
    coverage floor was only reached later.
    """

    failure: Failure | None
    hits: tuple[Hit, ...]
    coverage: Coverage
    snapshot_id: int
    account: FanOutAccount
    run_state: RunState = RunState.UNKNOWN
    reply: Reply | None = None
    shard_replies: tuple[Reply, ...] = ()
    decisions: tuple[Decision, ...] = ()
    soft_decision_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Complete(Action):
    """End the query; all calls still in flight have been cancelled."""

    completion: Completion
