"""State of one query over its shards, and the steps that change it."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from chestnuthall.core.fanout._events import Action, Cancel, Dispatch
from chestnuthall.core.fanout._merge import coverage_of
from chestnuthall.core.fanout._progress import ProbeStep, RunningCall, ShardProgress
from chestnuthall.core.fanout._targets import open_shard, target_shards
from chestnuthall.core.model import (
    CallerClass,
    Coverage,
    Decision,
    DecisionEvent,
    FanOutAccount,
    PartitionMap,
    Replica,
    Reply,
    Request,
    Shard,
    ShardAnswer,
    ShardCall,
    ShardSet,
    is_idempotent,
)
from chestnuthall.core.quarantine import QuarantineRegistry
from chestnuthall.core.results import (
    CALL_CANCELLED,
    CONNECTION_REFUSED,
    DEADLINE_PASSED,
    NO_REPLICA,
    REPLICA_REPLACED,
    SHED_BY_UPSTREAM,
    SNAPSHOT_GONE,
    Failure,
    FailureKind,
    RunState,
)
from chestnuthall.core.routing import ExtraLoad, Router

N_ATTEMPTS_MAX = 4
N_REPLANS_MAX = 2
# Peers that a set of shards is offered to before its members are called from here.
N_PEERS_TRIED = 2
# Reason of a call whose outcome is the verdict on a suspected request.
PROBE = "probe"

# Failures that prove that the replica did not begin the call.
NOT_STARTED_KINDS: frozenset[FailureKind] = frozenset(
    {
        NO_REPLICA,
        CONNECTION_REFUSED,
        REPLICA_REPLACED,
        SHED_BY_UPSTREAM,
        SNAPSHOT_GONE,
        DEADLINE_PASSED,
    }
)

# Failures of which nothing was written to the replica.
NOT_SENT_KINDS: frozenset[FailureKind] = frozenset(
    {NO_REPLICA, CONNECTION_REFUSED, DEADLINE_PASSED}
)


@dataclass(frozen=True, slots=True, kw_only=True)
class FanOutContext:
    """What a fan-out shares with the other queries of its instance."""

    router: Router
    budget: ExtraLoad
    quarantine: QuarantineRegistry
    caller_class: CallerClass
    utilisation_ratio: float = 0.0
    # Names the kind of call for the router's latencies; see ``Router``.
    call_type: str = ""
    # Joins shards into sets that peers answer for; None where there are no sets.
    combine_shards: Callable[[Sequence[Shard]], tuple[Shard, ...]] | None = None


class FanOutState:
    """The pinned map, the progress of its shards, and what the calls did."""

    def __init__(
        self, request: Request, partition_map: PartitionMap, context: FanOutContext
    ) -> None:
        self.request = request
        self.context = context
        self.partition_map = partition_map
        self.shards: dict[str, ShardProgress] = {}
        self.is_complete = False
        self.is_replanning = False
        self.has_given_up = False
        self.probe_step = ProbeStep.NONE
        self.unavailable_snapshot_ids: list[int] = []
        self.last_failure: Failure | None = None
        self.error_reply: Reply | None = None
        self.n_calls = 0
        self.n_not_started = 0
        self.n_answered = 0
        self.n_hedges = 0
        self.n_retries = 0
        self.n_discarded = 0
        self.slowest_shard_id = ""
        self.slowest_shard_ms = 0.0
        self._shard_of_call: dict[str, str] = {}
        self._n_call_ids = 0
        self._unsettled: list[ShardProgress] = []
        self.decisions: list[Decision] = []

    def note(self, event: DecisionEvent, now_ms: float, *values: object) -> None:
        """Keep a decision for the log."""
        self.decisions.append(Decision(now_ms, event, values))

    def give_up(self, progress: ShardProgress, why: str, now_ms: float) -> None:
        """Make no further attempt at a shard; a call that runs may still answer."""
        progress.is_given_up = True
        self.has_given_up = True
        shard_id = progress.shard.shard_id
        self.note(
            DecisionEvent.SHARD_GIVEN_UP, now_ms, shard_id, progress.n_attempts, why
        )

    def plan(self, partition_map: PartitionMap, may_combine: bool = False) -> None:
        """Pin a map and forget everything that was merged from another one."""
        self.partition_map = partition_map
        shards = target_shards(self.request, partition_map)
        if may_combine and self.context.combine_shards is not None:
            shards = self.context.combine_shards(shards)
        self.shards = {shard.shard_id: ShardProgress(shard) for shard in shards}
        self._unsettled = list(self.shards.values())

    def own_shard_ids(self) -> list[str]:
        """Return the shards whose replicas are called from here."""
        return [
            shard_id
            for shard_id, progress in self.shards.items()
            if not progress.shard.shards
        ]

    def call_type_of(self, progress: ShardProgress) -> str:
        """Return the kind of call that a shard needs; a set takes longer."""
        call_type = self.context.call_type
        return f"{call_type} set" if progress.shard.shards else call_type

    @property
    def is_settled(self) -> bool:
        """Whether nothing more will come from any shard.

        A settled shard stays settled, so each one is passed only once.
        """
        while self._unsettled and self._unsettled[-1].is_settled:
            self._unsettled.pop()
        return not self._unsettled

    def dispatch_all(self, now_ms: float) -> list[Action]:
        """Start the first call of every shard."""
        actions: list[Action] = []
        for progress in tuple(self.shards.values()):
            actions += self.try_dispatch(progress, now_ms)
        return actions

    def try_dispatch(self, progress: ShardProgress, now_ms: float) -> list[Action]:
        """Start a call of a shard, or give the shard up if nothing can run it."""
        progress.retry_at_ms = None
        if progress.shard.shards:
            return self._dispatch_set(progress, now_ms)
        replica = self._choose(progress, now_ms)
        if replica is None and progress.tried_names and is_idempotent(self.request):
            progress.tried_names.clear()
            replica = self._choose(progress, now_ms)
        if replica is None:
            self.give_up(progress, "no replica", now_ms)
            return []
        reason = "retry" if progress.n_attempts else "first"
        return [self.start(progress, replica, now_ms, reason)]

    def _dispatch_set(self, progress: ShardProgress, now_ms: float) -> list[Action]:
        """Offer a set to a peer, or call its members where no peer takes it."""
        replica = None
        if progress.n_attempts < N_PEERS_TRIED:
            replica = self._choose(progress, now_ms)
        if replica is None:
            return self._open_set(progress, now_ms)
        reason = "retry" if progress.n_attempts else "first"
        return [self.start(progress, replica, now_ms, reason)]

    def _open_set(self, progress: ShardProgress, now_ms: float) -> list[Action]:
        """Put the members of a set in its place; no replica of theirs was called."""
        del self.shards[progress.shard.shard_id]
        self._unsettled.remove(progress)
        members = [ShardProgress(shard) for shard in progress.shard.shards]
        self.shards |= {item.shard.shard_id: item for item in members}
        self._unsettled += members
        context = self.context
        member_ids = [item.shard.shard_id for item in members]
        context.budget.record_calls(member_ids, context.utilisation_ratio, now_ms)
        actions: list[Action] = []
        for item in members:
            actions += self.try_dispatch(item, now_ms)
        return actions

    def _choose(self, progress: ShardProgress, now_ms: float) -> Replica | None:
        return self.context.router.choose(
            open_shard(self.request, progress),
            self.partition_map.snapshot_id,
            progress.tried_names,
            now_ms,
            call_type=self.call_type_of(progress),
        )

    def _shard_set(self, shard: Shard) -> ShardSet | None:
        if not shard.shards:
            return None
        floor = self.context.caller_class.coverage_floor_ratio
        n_total = len(self.partition_map.shards)
        # Binary fractions put a product such as 0.1 * 30 just below its integer.
        n_missing_max = int((1.0 - floor) * n_total + 1e-9)
        shard_ids = tuple(item.shard_id for item in shard.shards)
        return ShardSet(shard_ids, n_missing_max)

    def start(
        self,
        progress: ShardProgress,
        replica: Replica,
        now_ms: float,
        reason: str,
    ) -> Dispatch:
        """Start a call of a shard at a replica."""
        self._n_call_ids += 1
        call = ShardCall(
            call_id=f"{self.request.request_id}.{self._n_call_ids}",
            replica=replica,
            shard_id=progress.shard.shard_id,
            snapshot_id=self.partition_map.snapshot_id,
            deadline_ms=self.request.deadline_ms,
            request=self.request,
            shard_set=self._shard_set(progress.shard),
        )
        is_probe = reason == PROBE
        progress.running[call.call_id] = RunningCall(call, now_ms, is_probe)
        progress.tried_names.add(replica.name)
        progress.sent_names.add(replica.name)
        progress.n_attempts += 1
        self._shard_of_call[call.call_id] = call.shard_id
        self.n_calls += 1
        self._note_sent(call, progress, reason, now_ms)
        self.context.router.on_started(replica, now_ms, self.call_type_of(progress))
        return Dispatch(call)

    def _note_sent(
        self, call: ShardCall, progress: ShardProgress, reason: str, now_ms: float
    ) -> None:
        replica = call.replica
        seen = self.context.router.state_of(replica.name)
        self.note(
            DecisionEvent.CALL_SENT,
            now_ms,
            call.shard_id,
            replica.name,
            replica.incarnation,
            replica.zone,
            progress.n_attempts,
            reason,
            call.deadline_ms - now_ms,
            seen.n_in_flight,
            seen.latency_ms,
            now_ms - seen.updated_ms,
        )

    def take_running(self, call_id: str) -> tuple[ShardProgress, RunningCall] | None:
        """Remove a running call; None for one that was dropped before."""
        progress = self.shards.get(self._shard_of_call.pop(call_id, ""))
        if progress is None:
            return None
        running = progress.running.pop(call_id, None)
        return None if running is None else (progress, running)

    def cancel_running(self, progress: ShardProgress, now_ms: float) -> list[Action]:
        """Cancel the calls of a shard that still run."""
        actions: list[Action] = []
        for call_id, running in progress.running.items():
            self._shard_of_call.pop(call_id, None)
            self.context.router.on_failed(
                running.call.replica,
                CALL_CANCELLED.with_reason("answer no longer needed"),
                running.call.snapshot_id,
                running.started_ms,
                now_ms,
                call_type=self.call_type_of(progress),
            )
            self.note(
                DecisionEvent.CALL_CANCELLED,
                now_ms,
                running.call.shard_id,
                running.call.replica.name,
                now_ms - running.started_ms,
            )
            actions.append(Cancel(call_id))
        progress.running.clear()
        return actions

    def cancel_all(self, now_ms: float) -> list[Action]:
        """Cancel every call that still runs."""
        actions: list[Action] = []
        for progress in self.shards.values():
            actions += self.cancel_running(progress, now_ms)
        return actions

    def may_replan(self) -> bool:
        """Return whether the query may start over on another snapshot."""
        return len(self.unavailable_snapshot_ids) < N_REPLANS_MAX

    def is_suspected(self, now_ms: float) -> bool:
        """Return whether the request cost a replica and was not cleared since."""
        return self.context.quarantine.is_suspected(self.request.fingerprint, now_ms)

    def is_quarantined(self, now_ms: float) -> bool:
        """Return whether the request may not run any more."""
        return self.context.quarantine.is_quarantined(self.request.fingerprint, now_ms)

    def coverage(self) -> Coverage:
        """Return the coverage of the shard answers merged so far."""
        shards = [progress.shard for progress in self.shards.values()]
        return coverage_of(shards, self.answers())

    def answers(self) -> dict[str, ShardAnswer]:
        """Return the answers taken for the pinned map, by shard id."""
        return {
            shard_id: progress.answer
            for shard_id, progress in self.shards.items()
            if progress.answer is not None
        }

    @property
    def may_reach_floor(self) -> bool:
        """Whether the shards that are not given up could still reach the floor."""
        if not self.has_given_up:
            return True
        open_shards = [item for item in self.shards.values() if not item.is_lost]
        n_total = sum(item.shard.n_documents for item in self.shards.values())
        n_open = sum(item.shard.n_documents for item in open_shards)
        return n_open >= self.context.caller_class.coverage_floor_ratio * n_total

    def run_state(self) -> RunState:
        """Return whether any replica ran the request, as far as known."""
        if self.n_answered > 0:
            return RunState.YES
        if self.n_calls == self.n_not_started:
            return RunState.NO
        return RunState.UNKNOWN

    def account(self) -> FanOutAccount:
        """Return what the shard calls did so far."""
        return FanOutAccount(
            n_calls=self.n_calls,
            n_hedges=self.n_hedges,
            n_retries=self.n_retries,
            n_replans=len(self.unavailable_snapshot_ids),
            n_discarded=self.n_discarded,
            slowest_shard_id=self.slowest_shard_id,
            slowest_shard_ms=self.slowest_shard_ms,
        )
