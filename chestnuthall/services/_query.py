"""One request from admission to its answer."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Protocol, TypeAlias

from chestnuthall.core.fanout import (
    Action,
    Begin,
    CallAnswered,
    CallFailed,
    Cancel,
    Complete,
    Completion,
    Dispatch,
    Event,
    FanOut,
    FanOutContext,
    MapReplaced,
    Replan,
    SetTimer,
    TimerFired,
    target_shards,
)
from chestnuthall.core.model import (
    Account,
    AdmissionAccount,
    Answer,
    CallerClass,
    Configuration,
    FanOutAccount,
    MutationRequest,
    PartitionMap,
    Refusal,
    Request,
    SearchRequest,
    ShardCall,
    UpstreamGroup,
    is_idempotent,
    kind_of,
)
from chestnuthall.core.quarantine import QuarantineRegister
from chestnuthall.core.results import (
    DEADLINE_PASSED,
    NOT_READY,
    QUARANTINED,
    UNKNOWN_CLASS,
    UNKNOWN_GROUP,
    Failure,
    Repeat,
    ResultCode,
    RunState,
)
from chestnuthall.core.routing import ExtraLoadBudget
from chestnuthall.ports import Clock, Metrics, ShardCaller
from chestnuthall.services._admission import (
    Admission,
    Admitted,
    NotAdmitted,
    account_of_unqueued,
)
from chestnuthall.services._claims import ClaimLedger
from chestnuthall.services._configuration import ConfigurationKeeper
from chestnuthall.services._directory import Directory
from chestnuthall.services._membership import Identity

_log = logging.getLogger(__name__)

RETRY_AFTER_MS = 1_000.0

Outcome: TypeAlias = Answer | Refusal
DividedSearch: TypeAlias = Callable[
    [SearchRequest, PartitionMap, FanOutContext], Awaitable[Completion]
]


@dataclass(slots=True)
class _Progress:
    """What is known about a request while it is being served."""

    request: Request
    arrived_wall_ms: float
    revision: int
    admission: AdmissionAccount
    admitted_wall_ms: float | None = None
    is_claimed: bool = False


@dataclass(frozen=True, slots=True)
class _Plan:
    """The class, group and pinned map that a request is served with."""

    caller_class: CallerClass
    group: UpstreamGroup
    partition_map: PartitionMap


class QueryService:
    """Serves searches, lookups and mutations of callers."""

    def __init__(
        self,
        *,
        identity: Identity,
        clock: Clock,
        metrics: Metrics,
        caller: ShardCaller,
        directory: Directory,
        configuration: ConfigurationKeeper,
        ledger: ClaimLedger,
        quarantine: QuarantineRegister,
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._metrics = metrics
        self._caller = caller
        self._directory = directory
        self._configuration = configuration
        self._ledger = ledger
        self._quarantine = quarantine
        self._admissions: dict[str, Admission] = {}
        self._budgets: dict[str, ExtraLoadBudget] = {}
        self._divided_search: DividedSearch | None = None
        configuration.on_change(self._apply_configuration)

    def _apply_configuration(self, configuration: Configuration) -> None:
        document = configuration.document
        for group in document.groups:
            self._directory.add_group(group)
        self._budgets = {
            item.name: ExtraLoadBudget(document.extra_load) for item in document.classes
        }
        # Queries of the previous revision keep the queue that admitted them.
        self._admissions = {}

    def admission_of(self, group: UpstreamGroup) -> Admission:
        """Return the admission of a group, made at its first use."""
        admission = self._admissions.get(group.name)
        if admission is None:
            configuration = self._configuration.in_force
            classes = () if configuration is None else configuration.document.classes
            limit_cost = self._limit_cost(group)
            admission = Admission(classes, limit_cost, self._clock)
            self._admissions[group.name] = admission
        return admission

    def _limit_cost(self, group: UpstreamGroup) -> float:
        partition_map = self._directory.pin(group.name)
        if partition_map is None:
            return float(group.n_slots)
        n_replicas = sum(len(shard.replicas) for shard in partition_map.shards)
        return float(n_replicas * group.n_slots)

    async def serve(self, request: Request) -> Outcome:
        """Serve a request; every expected failure is a ``Refusal``."""
        progress = _Progress(
            request,
            self._clock.wall_ms(),
            self._configuration.revision,
            account_of_unqueued(),
        )
        outcome = await self._serve(progress)
        code = _code_of(outcome)
        self._metrics.count(f"requests.{kind_of(request)}.{code.name.lower()}")
        duration_ms = self._clock.now_ms() - request.arrived_ms
        self._metrics.timing(f"request_ms.{kind_of(request)}", duration_ms)
        return outcome

    async def _serve(self, progress: _Progress) -> Outcome:
        request = progress.request
        plan = self._plan(request)
        if isinstance(plan, Failure):
            return self._refuse(progress, plan)
        failure = await self._claim(progress)
        if failure is not None:
            return self._refuse(progress, failure)
        cost = float(len(target_shards(request, plan.partition_map)))
        admission = self.admission_of(plan.group)
        ticket = await admission.acquire(request, cost)
        progress.admission = ticket.account
        if isinstance(ticket, NotAdmitted):
            return self._refuse(progress, ticket.failure)
        try:
            return await self._run_admitted(progress, plan, admission, ticket)
        finally:
            admission.release(ticket)

    def _plan(self, request: Request) -> _Plan | Failure:
        configuration = self._configuration.in_force
        if configuration is None:
            return NOT_READY.because("no configuration is in force")
        caller_class = configuration.document.class_named(request.class_name)
        if caller_class is None:
            return UNKNOWN_CLASS.because(f"no class named {request.class_name!r}")
        group = configuration.document.group_named(request.group)
        if group is None:
            return UNKNOWN_GROUP.because(f"no upstream group named {request.group!r}")
        if self._quarantine.is_quarantined(request.fingerprint, self._clock.now_ms()):
            return QUARANTINED.because("earlier runs of the request lost replicas")
        partition_map = self._directory.pin(request.group)
        if partition_map is None:
            return NOT_READY.because(f"no partition map of {request.group!r} is known")
        return _Plan(caller_class, group, partition_map)

    async def _claim(self, progress: _Progress) -> Failure | None:
        request = progress.request
        if not isinstance(request, MutationRequest):
            return None
        claimed = await self._ledger.claim(request)
        if isinstance(claimed, Failure):
            return claimed
        progress.is_claimed = True
        return None

    async def _run_admitted(
        self,
        progress: _Progress,
        plan: _Plan,
        admission: Admission,
        ticket: Admitted,
    ) -> Outcome:
        request = progress.request
        progress.admitted_wall_ms = self._clock.wall_ms()
        if self._clock.now_ms() >= request.deadline_ms:
            failure = DEADLINE_PASSED.because("the deadline passed before dispatch")
            return self._refuse(progress, failure)
        # The map is pinned at the last moment, since the queue may have held
        # the request across a change of snapshot.
        partition_map = self._directory.pin(request.group) or plan.partition_map
        context = FanOutContext(
            router=self._directory.router(request.group),
            budget=self._budgets[request.class_name],
            quarantine=self._quarantine,
            caller_class=plan.caller_class,
            utilisation_ratio=admission.utilisation_ratio,
        )
        run = _FanOutRun(
            FanOut(request, partition_map, context),
            self._clock,
            self._caller,
            self._directory,
        )
        if self._divided_search is not None and isinstance(request, SearchRequest):
            completion = await self._divided_search(request, partition_map, context)
        else:
            completion = await run.complete()
        return self._finish(progress, completion)

    def divide_searches(self, search: DividedSearch) -> None:
        """Run searches over several instances from now on."""
        self._divided_search = search

    async def run_shards(
        self, request: SearchRequest, sub_map: PartitionMap, context: FanOutContext
    ) -> Completion:
        """Run a search over some shards of a map, on its snapshot only."""
        fan_out = FanOut(request, sub_map, context)
        run = _FanOutRun(fan_out, self._clock, self._caller, _NoOtherMap())
        return await run.complete()

    def read_context(self, class_name: str, group_name: str) -> FanOutContext | Failure:
        """Return what a peer's search shares with the queries of this instance."""
        configuration = self._configuration.in_force
        if configuration is None:
            return NOT_READY.because("no configuration is in force")
        caller_class = configuration.document.class_named(class_name)
        group = configuration.document.group_named(group_name)
        if caller_class is None or group is None:
            return NOT_READY.because("the class or group is not known here")
        return FanOutContext(
            router=self._directory.router(group_name),
            budget=self._budgets[class_name],
            quarantine=self._quarantine,
            caller_class=caller_class,
            utilisation_ratio=self.admission_of(group).utilisation_ratio,
        )

    def _finish(self, progress: _Progress, completion: Completion) -> Outcome:
        if completion.failure is not None:
            return self._refuse(progress, completion.failure, completion)
        coverage = completion.coverage
        code = ResultCode.OK if coverage.is_full else ResultCode.OK_PARTIAL
        return Answer(
            request_id=progress.request.request_id,
            result_code=code,
            hits=completion.hits,
            coverage=coverage,
            snapshot_id=completion.snapshot_id,
            configuration_revision=progress.revision,
            account=self._account(progress, code, completion),
        )

    def _refuse(
        self,
        progress: _Progress,
        failure: Failure,
        completion: Completion | None = None,
    ) -> Refusal:
        run, repeat = _run_and_repeat(progress, failure, completion)
        may_repeat = run is RunState.NO and repeat is Repeat.SAFE
        return Refusal(
            request_id=progress.request.request_id,
            failure=failure,
            run=run,
            repeat=repeat,
            configuration_revision=progress.revision,
            account=self._account(progress, failure.code, completion),
            retry_after_ms=RETRY_AFTER_MS if may_repeat else None,
        )

    def _account(
        self, progress: _Progress, code: ResultCode, completion: Completion | None
    ) -> Account:
        request = progress.request
        return Account(
            request_id=request.request_id,
            instance=self._identity.name,
            zone=self._identity.zone,
            class_name=request.class_name,
            kind=kind_of(request),
            group=request.group,
            arrived_wall_ms=progress.arrived_wall_ms,
            admitted_wall_ms=progress.admitted_wall_ms,
            finished_wall_ms=self._clock.wall_ms(),
            deadline_in_ms=request.deadline_ms - request.arrived_ms,
            admission=progress.admission,
            fan_out=FanOutAccount() if completion is None else completion.account,
            coverage_ratio=0.0 if completion is None else completion.coverage.ratio,
            snapshot_id=0 if completion is None else completion.snapshot_id,
            configuration_revision=progress.revision,
            result_code=int(code),
        )


def _code_of(outcome: Outcome) -> ResultCode:
    if isinstance(outcome, Answer):
        return outcome.result_code
    return outcome.failure.code


def _run_and_repeat(
    progress: _Progress, failure: Failure, completion: Completion | None
) -> tuple[RunState, Repeat]:
    """Return what a refusal says about this request.

    A search that made no call was not run, whatever the kind of failure says
    in general. A mutation whose key is claimed needs a new key.
    """
    kind = failure.kind
    run, repeat = kind.run, kind.repeat
    n_calls = 0 if completion is None else completion.account.n_calls
    if is_idempotent(progress.request):
        if n_calls > 0 and run is RunState.NO:
            run = RunState.UNKNOWN
        return run, repeat
    if progress.is_claimed and run is RunState.NO and repeat is Repeat.SAFE:
        repeat = Repeat.NEW_KEY
    return run, repeat


class _MapSource(Protocol):
    """Where another map comes from when the pinned snapshot goes away."""

    async def pin_another(
        self, group_name: str, gone: tuple[int, ...]
    ) -> PartitionMap | None:
        """Return a map of a snapshot that is not gone, or None."""
        ...


class _NoOtherMap:
    """Keeps a part of a divided search on the snapshot of the whole."""

    async def pin_another(
        self, group_name: str, gone: tuple[int, ...]
    ) -> PartitionMap | None:
        """Return None."""
        return None


class _FanOutRun:
    """Carries out the actions of one fan-out on the event loop."""

    def __init__(
        self,
        fan_out: FanOut,
        clock: Clock,
        caller: ShardCaller,
        directory: _MapSource,
    ) -> None:
        self._fan_out = fan_out
        self._clock = clock
        self._caller = caller
        self._directory = directory
        self._loop = asyncio.get_running_loop()
        self._done: asyncio.Future[Completion] = self._loop.create_future()
        self._calls: dict[str, asyncio.Task[None]] = {}
        self._replan: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def complete(self) -> Completion:
        """Run the fan-out to its end; cancelling it cancels its calls."""
        self._handle(Begin(self._clock.now_ms()))
        try:
            return await self._done
        finally:
            self._stop()

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._replan is not None:
            self._replan.cancel()
        if not self._fan_out.is_complete:
            self._fan_out.cancel_all(self._clock.now_ms())
        for task in self._calls.values():
            task.cancel()

    def _handle(self, event: Event) -> None:
        for action in self._fan_out.handle(event):
            self._perform(action)

    @singledispatchmethod
    def _perform(self, action: Action) -> None:
        raise TypeError(f"not an action: {type(action).__name__}")

    @_perform.register
    def _(self, action: Dispatch) -> None:
        call = action.call
        self._calls[call.call_id] = self._loop.create_task(self._call(call))

    @_perform.register
    def _(self, action: Cancel) -> None:
        task = self._calls.pop(action.call_id, None)
        if task is not None:
            task.cancel()

    @_perform.register
    def _(self, action: SetTimer) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay_ms = max(0.0, action.at_ms - self._clock.now_ms())
        self._timer = self._loop.call_later(delay_ms / 1000.0, self._on_timer)

    @_perform.register
    def _(self, action: Replan) -> None:
        self._replan = self._loop.create_task(self._pin_another(action))

    @_perform.register
    def _(self, action: Complete) -> None:
        if not self._done.done():
            self._done.set_result(action.completion)

    def _on_timer(self) -> None:
        self._handle(TimerFired(self._clock.now_ms()))

    async def _call(self, call: ShardCall) -> None:
        result = await self._caller.call(call)
        self._calls.pop(call.call_id, None)
        now_ms = self._clock.now_ms()
        if isinstance(result, Failure):
            self._handle(CallFailed(now_ms, call.call_id, result))
        else:
            self._handle(CallAnswered(now_ms, call.call_id, result))

    async def _pin_another(self, action: Replan) -> None:
        group = self._fan_out.request.group
        another = await self._directory.pin_another(group, action.gone_snapshot_ids)
        self._handle(MapReplaced(self._clock.now_ms(), another))
