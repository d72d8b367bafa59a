"""Runs the actions of one fan-out on the event loop."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial, singledispatchmethod
from typing import Protocol, TypeAlias

from chestnuthall.core.fanout import (
    Action,
    CallAnswered,
    CallFailed,
    Cancel,
    Complete,
    Completion,
    Dispatch,
    Event,
    FanOut,
    MapReplaced,
    NotifyPeers,
    PeersNotified,
    QueryStarted,
    Replan,
    SetTimer,
    TimerFired,
    VerdictReached,
)
from chestnuthall.core.model import PartitionMap, ShardAnswer, ShardCall
from chestnuthall.core.results import CALL_TIMED_OUT, Failure
from chestnuthall.ports import Clock, DirectShardCaller, ShardCaller
from chestnuthall.services._silence_checks import (
    CHECK_DELAY_MS,
    PROBE_CHECK_DELAY_MS,
    SilenceChecks,
)
from chestnuthall.services._suspicion_notifier import SuspicionNotifier

ProbeClaim: TypeAlias = Callable[[str], Awaitable[bool]]
CallObserver: TypeAlias = Callable[[ShardCall, ShardAnswer | Failure, float], None]


class MapSource(Protocol):
    """Source of another partition map if the pinned snapshot is replaced."""

    async def pin_replacement(
        self, group_name: str, unavailable_snapshot_ids: tuple[int, ...]
    ) -> PartitionMap | None:
        """Return a map of a snapshot that is still available, or None."""
        ...


class NoReplacementMap:
    """Map source without other maps, for one shard set of a divided search.

    All shard sets of a search have to be of the same snapshot.
    """

    async def pin_replacement(
        self, group_name: str, unavailable_snapshot_ids: tuple[int, ...]
    ) -> PartitionMap | None:
        """Return None."""
        return None


def _ignore_result(
    call: ShardCall, result: ShardAnswer | Failure, elapsed_ms: float
) -> None:
    """Do nothing; the instance that admitted the query observes its calls."""


async def _grant_probe(fingerprint: str) -> bool:
    """Grant every probe, for an instance without peers."""
    return True


class FanOutRun:
    """Runs one fan-out: its calls, its timer and its background tasks."""

    def __init__(
        self,
        fan_out: FanOut,
        clock: Clock,
        caller: ShardCaller,
        directory: MapSource,
        suspicion_notifier: SuspicionNotifier,
        on_call_result: CallObserver = _ignore_result,
        silence_checks: SilenceChecks | None = None,
        claim_probe: ProbeClaim = _grant_probe,
    ) -> None:
        self._claim_probe = claim_probe
        self._silence_checks = silence_checks
        self._silence_timers: list[asyncio.TimerHandle] = []
        self._on_call_result = on_call_result
        self._fan_out = fan_out
        self._clock = clock
        self._caller = caller
        self._directory = directory
        self._suspicion_notifier = suspicion_notifier
        self._loop = asyncio.get_running_loop()
        self._done: asyncio.Future[Completion] = self._loop.create_future()
        self._direct_caller = caller if isinstance(caller, DirectShardCaller) else None
        self._cancel_by_call_id: dict[str, Callable[[], object]] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._timer: asyncio.TimerHandle | None = None
        # Each access of a singledispatchmethod creates a new function, so the
        # bound one is kept.
        self._perform_action: Callable[[Action], None] = self._perform

    async def complete(self) -> Completion:
        """Run the fan-out to its end; cancel its calls when cancelled."""
        fingerprint = self._fan_out.request.fingerprint
        self._suspicion_notifier.add_waiter(fingerprint, self._on_verdict)
        try:
            self._handle(QueryStarted(self._clock.now_ms()))
            self._check_silence_after(CHECK_DELAY_MS)
            return await self._done
        finally:
            self._suspicion_notifier.remove_waiter(fingerprint, self._on_verdict)
            self._stop()

    def _stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        for silence_timer in self._silence_timers:
            silence_timer.cancel()
        for task in self._tasks:
            task.cancel()
        if not self._fan_out.is_complete:
            self._fan_out.cancel(self._clock.now_ms())
        self._cancel_calls()
        self._check_silence()

    def _cancel_calls(self) -> None:
        """Cancel the calls, except a probe that goes on until its deadline."""
        probe = self._fan_out.detached_probe
        for call_id in tuple(self._cancel_by_call_id):
            if probe is None or call_id != probe.call.call_id:
                self._cancel_by_call_id.pop(call_id)()
        if probe is not None:
            left_ms = probe.call.deadline_ms - self._clock.now_ms()
            self._loop.call_later(max(0.0, left_ms) / 1000.0, self._end_probe)

    def _end_probe(self) -> None:
        """End a detached probe that no replica has answered in time."""
        probe = self._fan_out.detached_probe
        if probe is None:
            return
        self._cancel_by_call_id.pop(probe.call.call_id)()
        failure = CALL_TIMED_OUT.with_reason("the deadline passed")
        self._handle(CallFailed(self._clock.now_ms(), probe.call.call_id, failure))

    def _check_silence_after(self, delay_ms: float) -> None:
        if self._silence_checks is not None:
            timer = self._loop.call_later(delay_ms / 1000.0, self._check_silence)
            self._silence_timers.append(timer)

    def _check_silence(self) -> None:
        """Check the replicas of a query that none of them has answered."""
        if self._silence_checks is not None:
            self._silence_checks.start(self._fan_out)

    def _handle(self, event: Event) -> None:
        """Apply an event; an error ends the run, whose timer it may have prevented."""
        try:
            for action in self._fan_out.handle(event):
                self._perform_action(action)
        except Exception as error:
            if not self._done.done():
                self._done.set_exception(error)

    @singledispatchmethod
    def _perform(self, action: Action) -> None:
        raise TypeError(f"not an action: {type(action).__name__}")

    @_perform.register
    def _(self, action: Dispatch) -> None:
        call = action.call
        cancel = self._start_directly(call)
        if cancel is None:
            cancel = self._loop.create_task(self._call(call)).cancel
        self._cancel_by_call_id[call.call_id] = cancel
        if call.is_probe:
            self._check_silence_after(PROBE_CHECK_DELAY_MS)

    def _start_directly(self, call: ShardCall) -> Callable[[], object] | None:
        """Start a call without a task and return the function that cancels it.

        Return None if the call needs a task.
        """
        if self._direct_caller is None:
            return None
        started_ms = self._clock.now_ms()
        return self._direct_caller.start_call(
            call, partial(self._on_result, call, started_ms)
        )

    @_perform.register
    def _(self, action: Cancel) -> None:
        cancel = self._cancel_by_call_id.pop(action.call_id, None)
        if cancel is not None:
            cancel()

    @_perform.register
    def _(self, action: SetTimer) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay_ms = max(0.0, action.at_ms - self._clock.now_ms())
        self._timer = self._loop.call_later(delay_ms / 1000.0, self._on_timer)

    @_perform.register
    def _(self, action: Replan) -> None:
        self._tasks.append(self._loop.create_task(self._replan(action)))

    @_perform.register
    def _(self, action: NotifyPeers) -> None:
        self._tasks.append(self._loop.create_task(self._notify_peers()))

    @_perform.register
    def _(self, action: Complete) -> None:
        if not self._done.done():
            self._done.set_result(action.completion)

    def _on_timer(self) -> None:
        self._handle(TimerFired(self._clock.now_ms()))

    def _on_verdict(self) -> None:
        self._handle(VerdictReached(self._clock.now_ms()))

    async def _notify_peers(self) -> None:
        await self._suspicion_notifier.notify_peers()
        is_granted = await self._claim_probe(self._fan_out.request.fingerprint)
        self._handle(PeersNotified(self._clock.now_ms(), is_granted))

    async def _call(self, call: ShardCall) -> None:
        started_ms = self._clock.now_ms()
        self._on_result(call, started_ms, await self._caller.call(call))

    def _on_result(
        self, call: ShardCall, started_ms: float, result: ShardAnswer | Failure
    ) -> None:
        self._cancel_by_call_id.pop(call.call_id, None)
        now_ms = self._clock.now_ms()
        if call.shard_set is None and not self._fan_out.is_complete:
            self._on_call_result(call, result, now_ms - started_ms)
        if isinstance(result, Failure):
            self._handle(CallFailed(now_ms, call.call_id, result))
        else:
            self._handle(CallAnswered(now_ms, call.call_id, result))

    async def _replan(self, action: Replan) -> None:
        group = self._fan_out.request.group
        replacement = await self._directory.pin_replacement(
            group, action.unavailable_snapshot_ids
        )
        self._handle(MapReplaced(self._clock.now_ms(), replacement))
