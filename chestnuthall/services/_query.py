"""Serves one request, from admission to its outcome."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING, TypeAlias

from chestnuthall.core.fanout import (
    Completion,
    FanOut,
    FanOutContext,
    call_type_of,
    target_shards,
)
from chestnuthall.core.model import (
    Account,
    AdmissionAccount,
    Answer,
    CallerClass,
    Configuration,
    Decision,
    EnvironmentDocument,
    FanOutAccount,
    MutationRequest,
    PartitionMap,
    Refusal,
    Request,
    ReturnAdvice,
    SearchRequest,
    Shard,
    UpstreamGroup,
    request_kind,
)
from chestnuthall.core.overload import AnswerOverrun
from chestnuthall.core.quarantine import QuarantineRegistry
from chestnuthall.core.results import (
    DEADLINE_PASSED,
    NOT_READY,
    QUARANTINED,
    UNKNOWN_CLASS,
    UNKNOWN_GROUP,
    Failure,
    ResultCode,
    RetryAdvice,
    RunState,
)
from chestnuthall.core.routing import (
    ExtraLoad,
    ExtraLoadBudget,
    UtilisationAverage,
)
from chestnuthall.ports import Clock, Metrics, ReplicaReachability, ShardCaller
from chestnuthall.services._admission import (
    Admission,
    Admissions,
    Admitted,
    NotAdmitted,
    unqueued_account,
)
from chestnuthall.services._configuration import ConfigurationManager
from chestnuthall.services._decision_log import DecisionLog
from chestnuthall.services._fan_out_run import CallObserver, FanOutRun, NoReplacementMap
from chestnuthall.services._group_directory import GroupDirectory
from chestnuthall.services._identity import InstanceIdentity
from chestnuthall.services._query_rules import (
    admission_decision,
    bound_deadline,
    class_for_shard_set,
    failure_while_stopping,
    failure_without_replicas,
    may_be_combined,
    n_slots,
    run_state_and_retry_advice,
)
from chestnuthall.services._rejections import Rejections
from chestnuthall.services._retests import OwnRetests, RetestClaims
from chestnuthall.services._silence_checks import SilenceChecks
from chestnuthall.services._suspicion_notifier import SuspicionNotifier

if TYPE_CHECKING:
    from chestnuthall.core.claims import KeyClaim
    from chestnuthall.services._claims import ClaimLedger

Outcome: TypeAlias = Answer | Refusal
DividedSearch: TypeAlias = Callable[
    [SearchRequest, PartitionMap, FanOutContext], Awaitable[Completion]
]


@dataclass(slots=True)
class _Progress:
    """The mutable state of a request while it is being served."""

    request: Request
    arrived_wall_ms: float
    revision: int
    admission: AdmissionAccount
    admitted_wall_ms: float | None = None
    claim: "KeyClaim | None" = None
    advice: ReturnAdvice | None = None
    decisions: tuple[Decision, ...] = ()
    objective_ms: float = float("inf")


@dataclass(frozen=True, slots=True)
class _Plan:
    """The class, group, pinned map and extra-load budget of a request."""

    caller_class: CallerClass
    group: UpstreamGroup
    partition_map: PartitionMap
    budget: ExtraLoad


class QueryService:
    """Serves the requests of callers and peers: searches, lookups and mutations.

    Each request is planned, admitted and run over its shards. ``combine_shards``
    combines shards into sets that peers answer for, ``disseminate`` sends the
    quarantine notices to peers, ``retests`` grants the retests of quarantined requests,
    and ``shared_budget`` replaces the extra-load budgets of the classes. ``ends_at_ms``
    returns the time by which a request has to be answered because the instance stops.
    Without ``reachability``, replicas that end silently are not attributed to requests.
    ``knows_quarantines`` tells whether the fleet's quarantines have been read.
    """

    def __init__(
        self,
        *,
        identity: InstanceIdentity,
        clock: Clock,
        metrics: Metrics,
        caller: ShardCaller,
        directory: GroupDirectory,
        configuration: ConfigurationManager,
        ledger: "ClaimLedger | None",
        quarantine: QuarantineRegistry,
        retests: RetestClaims | None = None,
        admissions: Admissions,
        record_outcome: Callable[[Outcome], None] | None = None,
        disseminate: Callable[[], Awaitable[None]] | None = None,
        n_instances: Callable[[], int] = lambda: 1,
        shared_budget: ExtraLoad | None = None,
        decision_log: DecisionLog | None = None,
        combine_shards: Callable[[Sequence[Shard]], tuple[Shard, ...]] | None = None,
        ends_at_ms: Callable[[], float] = lambda: float("inf"),
        reachability: ReplicaReachability | None = None,
        knows_quarantines: Callable[[], bool] = lambda: True,
    ) -> None:
        self._knows_quarantines = knows_quarantines
        self._ends_at_ms = ends_at_ms
        self._combine_shards = combine_shards
        self._decision_log = decision_log
        self._record_outcome = record_outcome
        self._identity = identity
        self._clock = clock
        self._metrics = metrics
        self._caller = caller
        self._directory = directory
        self._configuration = configuration
        self._ledger = ledger
        self._quarantine = quarantine
        self._retests = retests or OwnRetests(quarantine, clock)
        self._suspicion_notifier = SuspicionNotifier(quarantine, clock, disseminate)
        self._silence_checks = (
            None
            if reachability is None
            else SilenceChecks(quarantine, clock, metrics, reachability)
        )
        self._n_instances = n_instances
        self._utilisation: dict[str, UtilisationAverage] = {}
        self._admissions = admissions
        self._budgets: dict[str, ExtraLoad] = {}
        self._shared_budget = shared_budget
        self._divided_search: DividedSearch | None = None
        self._overrun = AnswerOverrun()
        self._rejections = Rejections(clock, metrics, admissions)
        configuration.add_listener(self._apply_configuration)

    def _apply_configuration(self, configuration: Configuration) -> None:
        document = configuration.document
        for group in document.groups:
            self._directory.add_group(group)
        # A class keeps its extra-load credit across revisions. Otherwise each
        # change of the document would grant the initial credit again.
        previous = self._budgets
        self._budgets = {
            item.name: self._budget_of(previous.get(item.name), document)
            for item in document.classes
        }
        self._admissions.reconfigure(document)

    def _budget_of(
        self, previous: ExtraLoad | None, document: EnvironmentDocument
    ) -> ExtraLoad:
        if self._shared_budget is not None:
            return self._shared_budget
        is_kept = isinstance(previous, ExtraLoadBudget) and (
            previous.policy == document.extra_load
        )
        if previous is not None and is_kept:
            return previous
        return ExtraLoadBudget(document.extra_load)

    def admission_of(self, group: UpstreamGroup) -> Admission:
        """Return the admission of a group, created at its first use."""
        configuration = self._configuration.in_force
        document = EnvironmentDocument(classes=(), groups=())
        if configuration is not None:
            document = configuration.document
        return self._admissions.of(document, group, self._slots_cost(group))

    def _slots_cost(self, group: UpstreamGroup) -> float:
        partition_map = self._directory.pin(group.name)
        if partition_map is None:
            return float(group.n_slots)
        return n_slots(group, partition_map)

    async def serve(self, request: Request) -> Outcome:
        """Serve a request; return a ``Refusal`` for every expected failure."""
        progress = _Progress(
            request,
            self._clock.wall_ms(),
            self._configuration.revision,
            unqueued_account(),
        )
        try:
            outcome = await self._serve(progress)
        except asyncio.CancelledError:
            self._record_abandoned(request)
            raise
        code = _result_code_of(outcome)
        self._metrics.count(f"requests.{request_kind(request)}.{code.name.lower()}")
        duration_ms = self._clock.now_ms() - request.arrived_ms
        self._metrics.timing(f"request_ms.{request_kind(request)}", duration_ms)
        if self._record_outcome is not None:
            self._record_outcome(outcome)
        if self._decision_log is not None:
            self._decision_log.request_ended(outcome, progress.decisions)
        return outcome

    def _record_abandoned(self, request: Request) -> None:
        self._metrics.count(f"requests.{request_kind(request)}.abandoned")
        if self._decision_log is not None:
            self._decision_log.request_abandoned(request)

    async def _serve(self, progress: _Progress) -> Outcome:
        request = progress.request
        plan = self._plan(request)
        if isinstance(plan, Failure):
            return self._refuse(progress, plan)
        progress.objective_ms = plan.caller_class.objective.latency_ms
        now_ms, ends_at_ms = self._clock.now_ms(), self._ends_at_ms()
        refused = failure_while_stopping(request, plan.caller_class, now_ms, ends_at_ms)
        request = bound_deadline(request, plan.caller_class, ends_at_ms)
        progress.request = request
        failure = (
            refused
            or failure_without_replicas(request, plan.caller_class, plan.partition_map)
            or self._rejections.failure_during_outage(
                request,
                plan.caller_class,
                plan.partition_map,
                self._directory.router(request.group),
            )
            or await self._claim(progress)
        )
        if failure is not None:
            return self._refuse(progress, failure)
        cost = float(len(target_shards(request, plan.partition_map)))
        admission = self.admission_of(plan.group)
        try:
            ticket = await admission.acquire(request, cost)
        except asyncio.CancelledError:
            self._release_claim(progress)
            raise
        progress.admission = ticket.account
        if ticket.account.is_return:
            self._metrics.count("returns.honoured")
        if isinstance(ticket, NotAdmitted):
            self._release_claim(progress)
            progress.advice = ticket.advice
            return self._refuse(progress, ticket.failure)
        try:
            return await self._run_admitted(progress, plan, admission, ticket)
        finally:
            admission.release(ticket)

    def _plan(self, request: Request) -> _Plan | Failure:
        configuration = self._configuration.in_force
        if configuration is None:
            return NOT_READY.with_reason("no configuration is in force")
        if not self._knows_quarantines():
            return NOT_READY.with_reason("the quarantines have not been read yet")
        caller_class = configuration.document.find_class(request.class_name)
        if caller_class is None:
            return UNKNOWN_CLASS.with_reason(f"no class named {request.class_name!r}")
        group = configuration.document.find_group(request.group)
        if group is None:
            return UNKNOWN_GROUP.with_reason(
                f"no upstream group named {request.group!r}"
            )
        now_ms = self._clock.now_ms()
        if self._quarantine.is_quarantined(
            request.fingerprint, now_ms
        ) and not self._quarantine.is_retest_due(request.fingerprint, now_ms):
            return _quarantined(request)
        partition_map = self._directory.pin(request.group)
        if partition_map is None:
            return NOT_READY.with_reason(
                f"no partition map of {request.group!r} is known"
            )
        budget = self._budgets[request.class_name]
        caller_class = class_for_shard_set(request, caller_class)
        return _Plan(caller_class, group, partition_map, budget)

    async def _claim(self, progress: _Progress) -> Failure | None:
        request = progress.request
        if not isinstance(request, MutationRequest) or self._ledger is None:
            return None
        claimed = await self._ledger.claim(request)
        if isinstance(claimed, Failure):
            return claimed
        progress.claim = claimed
        return None

    def _release_claim(self, progress: _Progress) -> None:
        """Release the idempotency key of a request that is not dispatched."""
        if progress.claim is not None and self._ledger is not None:
            self._ledger.abandon(progress.claim)

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
            self._release_claim(progress)
            failure = DEADLINE_PASSED.with_reason("the deadline passed before dispatch")
            return self._refuse(progress, failure)
        if not await self._may_run(request):
            self._release_claim(progress)
            return self._refuse(progress, _quarantined(request))
        # The map is pinned again after the queue, because the snapshot may have
        # been replaced while the request waited.
        partition_map = self._directory.pin(request.group) or plan.partition_map
        context = FanOutContext(
            router=self._directory.router(request.group),
            budget=plan.budget,
            quarantine=self._quarantine,
            caller_class=self._decide_earlier(plan),
            utilisation_ratio=max(
                self._sample_utilisation(plan, ticket), admission.utilisation_ratio
            ),
            call_type=call_type_of(request),
            combine_shards=self._combine_shards if may_be_combined(request) else None,
        )
        if self._divided_search is not None and isinstance(request, SearchRequest):
            completion = await self._divided_search(request, partition_map, context)
        else:
            observer = partial(admission.on_call_result, ticket)
            completion = await self._run_locally(
                request, partition_map, context, observer
            )
        if completion.account.n_calls == 0:
            self._release_claim(progress)
        progress.decisions = (admission_decision(ticket), *completion.decisions)
        outcome = self._finish(progress, completion)
        if completion.soft_decision_ms is not None:
            self._overrun.observe(self._clock.now_ms() - completion.soft_decision_ms)
        return outcome

    async def _may_run(self, request: Request) -> bool:
        """Return whether a request may run; a quarantined one only as its retest."""
        fingerprint = request.fingerprint
        quarantine = self._quarantine
        if not quarantine.is_quarantined(fingerprint, self._clock.now_ms()):
            return True
        if not quarantine.is_retest_due(fingerprint, self._clock.now_ms()):
            return False
        if not await self._retests.claim(fingerprint):
            return False
        now_ms = self._clock.now_ms()
        # The instance may have been paused since the retest was claimed.
        return now_ms < request.deadline_ms and quarantine.begin_retest(
            fingerprint, request.request_id, now_ms
        )

    def _decide_earlier(self, plan: _Plan) -> CallerClass:
        """Return the class with its soft deadline earlier by the usual overrun."""
        caller_class = plan.caller_class
        soft_ms = caller_class.soft_deadline_ms
        n_shards = len(plan.partition_map.shards)
        if soft_ms is None or n_shards == 1:
            return caller_class
        reserve_ms = self._overrun.reserve_ms(soft_ms, n_shards)
        return replace(caller_class, soft_deadline_ms=soft_ms - reserve_ms)

    async def _run_locally(
        self,
        request: Request,
        partition_map: PartitionMap,
        context: FanOutContext,
        on_call_result: CallObserver,
    ) -> Completion:
        """Run the fan-out of a request on this instance."""
        run = FanOutRun(
            FanOut(request, partition_map, context),
            self._clock,
            self._caller,
            self._directory,
            self._suspicion_notifier,
            on_call_result,
            self._silence_checks,
            self._retests.claim_probe,
        )
        return await run.complete()

    def set_divided_search(self, search: DividedSearch) -> None:
        """Set the function that divides each search over several instances."""
        self._divided_search = search

    async def run_shards(
        self, request: SearchRequest, sub_map: PartitionMap, context: FanOutContext
    ) -> Completion:
        """Run a search over a subset of the shards, without changing its snapshot."""
        run = FanOutRun(
            FanOut(request, sub_map, context),
            self._clock,
            self._caller,
            NoReplacementMap(),
            self._suspicion_notifier,
            silence_checks=self._silence_checks,
            claim_probe=self._retests.claim_probe,
        )
        return await run.complete()

    def fan_out_context(
        self, class_name: str, group_name: str
    ) -> FanOutContext | Failure:
        """Return the context in which this instance runs a peer's shard set."""
        configuration = self._configuration.in_force
        if configuration is None:
            return NOT_READY.with_reason("no configuration is in force")
        caller_class = configuration.document.find_class(class_name)
        group = configuration.document.find_group(group_name)
        if caller_class is None or group is None:
            return NOT_READY.with_reason(
                "this instance does not know the class or the group"
            )
        return FanOutContext(
            router=self._directory.router(group_name),
            budget=self._budgets[class_name],
            quarantine=self._quarantine,
            caller_class=caller_class,
            utilisation_ratio=self.admission_of(group).utilisation_ratio,
        )

    def _sample_utilisation(self, plan: _Plan, ticket: Admitted) -> float:
        """Return the average utilisation of this instance's quota of a group's slots.

        Calls in flight are counted, since admission counts a query with all of
        its calls until the slowest one ends. The group is taken as saturated if
        the query was queued for longer than the hedge delay.
        """
        group_name = plan.group.name
        router = self._directory.router(group_name)
        n_own_slots = n_slots(plan.group, plan.partition_map) / self._n_instances()
        ratio = min(1.0, router.n_in_flight / n_own_slots) if n_own_slots else 1.0
        if ticket.account.queued_ms > router.hedge_delay_ms():
            ratio = 1.0
        average = self._utilisation.setdefault(group_name, UtilisationAverage())
        return average.add(ratio)

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
            reply=completion.reply,
            replica_replies=completion.shard_replies,
        )

    def _refuse(
        self,
        progress: _Progress,
        failure: Failure,
        completion: Completion | None = None,
    ) -> Refusal:
        run_state, repeat = run_state_and_retry_advice(
            failure, completion, has_claim=progress.claim is not None
        )
        is_safe_to_repeat = run_state is RunState.NO and repeat is RetryAdvice.SAFE
        advice = None
        if is_safe_to_repeat:
            advice = self._rejections.advise(progress.request, failure, progress.advice)
        return Refusal(
            request_id=progress.request.request_id,
            failure=failure,
            run_state=run_state,
            repeat=repeat,
            configuration_revision=progress.revision,
            account=self._account(progress, failure.code, completion),
            advice=advice,
            reply=None if completion is None else completion.reply,
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
            kind=request_kind(request),
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
            is_late=self._clock.now_ms() - request.arrived_ms > progress.objective_ms,
        )


def _quarantined(request: Request) -> Failure:
    return QUARANTINED.with_reason(
        f"earlier runs lost replicas; fingerprint {request.fingerprint}"
    )


def _result_code_of(outcome: Outcome) -> ResultCode:
    if isinstance(outcome, Answer):
        return outcome.result_code
    return outcome.failure.code
