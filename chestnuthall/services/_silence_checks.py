"""Finds out whether replicas that leave a request unanswered have ended."""

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import dataclass

from chestnuthall.core.fanout import FanOut, RunningCall
from chestnuthall.core.model import Replica
from chestnuthall.core.quarantine import QuarantineRegistry, loss_name
from chestnuthall.ports import Clock, Metrics, ReplicaReachability

_log = logging.getLogger(__name__)

# Age of a call at which its replica is checked. Requests that take longer at a healthy
# replica cost a connection.
CHECK_DELAY_MS = 500.0
# The same for a probe, for whose verdict other runs of the request wait.
PROBE_CHECK_DELAY_MS = 250.0
# Time after which a replica that was alive is checked once more, if the query has ended
# without the shard: its run may have gone on.
SECOND_CHECK_DELAY_MS = 1_000.0
# Far longer than a replica takes to accept a connection. A lost packet delays one by a
# second, so a single attempt proves nothing.
CONNECT_TIMEOUT_MS = 300.0
N_CONNECT_ATTEMPTS = 2
# Replicas that are checked for one request, and for one that other shards answered.
N_REPLICAS_CHECKED_MAX = 4
N_REPLICAS_CHECKED_PARTLY_MAX = 2
# Concurrent checks. The end of many replicas leaves more requests unanswered.
N_CHECKS_MAX = 32
# Requests that may have ended a silent replica, the first ones that it left unanswered.
# Those that it was sent later found it silent. Requests that are suspected already are
# counted apart: several that crash replicas may reach all of them in the same order.
N_SUSPECTS_PER_REPLICA = 2


@dataclass(frozen=True, slots=True)
class _UnansweredCall:
    """A call of a query that has to be explained."""

    fan_out: FanOut
    running: RunningCall


class SilenceChecks:
    """Checks the replicas of shards that leave a request without an answer.

    The end of a replica that loses power shows neither in its connections nor, for
    some seconds, in its registration. A replica that accepts no connection is reported
    to the quarantine registry, which decides what that means for the requests that it
    left unanswered first. One check serves all calls to the replica, and costs no
    connection if the replica answers any call before it is due.
    """

    def __init__(
        self,
        registry: QuarantineRegistry,
        clock: Clock,
        metrics: Metrics,
        reachability: ReplicaReachability,
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._metrics = metrics
        self._reachability = reachability
        self._tasks: set[asyncio.Task[None]] = set()
        # Calls whose replicas are being checked, by the name of the incarnation.
        self._calls: dict[str, list[_UnansweredCall]] = {}

    def start(self, fan_out: FanOut) -> None:
        """Check the replicas of the unanswered calls of a query in the background.

        A probe stays reserved after the end of its query until its check has ended.
        """
        has_ended = fan_out.is_complete
        calls = fan_out.unanswered if has_ended else fan_out.unanswered_calls()
        for running in self._select(calls, bool(fan_out.replied_shard_ids())):
            self._add(_UnansweredCall(fan_out, running))

    def _select(
        self, calls: Sequence[RunningCall], is_partly_answered: bool
    ) -> list[RunningCall]:
        """Return the calls to check: the probe, then those silent for longest.

        Of a request that other shards answered, one call of each shard is sufficient.
        """
        ordered = sorted(
            calls,
            key=lambda item: (
                not item.is_probe,
                self._reachability.last_answer_ms(item.call.replica),
            ),
        )
        if not is_partly_answered:
            return ordered[:N_REPLICAS_CHECKED_MAX]
        by_shard: dict[str, RunningCall] = {}
        for item in ordered:
            by_shard.setdefault(item.call.shard_id, item)
        return list(by_shard.values())[:N_REPLICAS_CHECKED_PARTLY_MAX]

    def _add(self, call: _UnansweredCall) -> None:
        """Add a call to the check of its replica, which is started if there is none."""
        replica = call.running.call.replica
        name = loss_name(replica)
        calls = self._calls.get(name)
        if calls is None:
            if len(self._calls) >= N_CHECKS_MAX:
                return
            calls = self._calls[name] = []
            is_probe = call.running.is_probe
            delay_ms = PROBE_CHECK_DELAY_MS if is_probe else CHECK_DELAY_MS
            task = asyncio.get_running_loop().create_task(
                self._check(replica, call.running.started_ms + delay_ms)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif any(item.running.call is call.running.call for item in calls):
            return
        calls.append(call)
        self._registry.begin_silence_check(
            call.fan_out.request.fingerprint, call.running.call.shard_id
        )

    async def _check(self, replica: Replica, due_ms: float) -> None:
        name = loss_name(replica)
        calls = self._calls[name]
        try:
            is_alive = await self._is_alive(replica, due_ms)
            if is_alive and any(item.fan_out.is_complete for item in calls):
                due_ms = self._clock.now_ms() + SECOND_CHECK_DELAY_MS
                is_alive = await self._is_alive(replica, due_ms)
            if not is_alive:
                self._record_silence(replica, calls)
        finally:
            for item in self._calls.pop(name):
                self._end(item)

    async def _is_alive(self, replica: Replica, due_ms: float) -> bool:
        started_ms = self._clock.now_ms()
        await self._clock.sleep_ms(max(0.0, due_ms - started_ms))
        if self._reachability.last_answer_ms(replica) > started_ms:
            return True
        for _ in range(N_CONNECT_ATTEMPTS):
            if await self._reachability.accepts_connections(
                replica, CONNECT_TIMEOUT_MS
            ):
                return True
        return False

    def _record_silence(self, replica: Replica, calls: list[_UnansweredCall]) -> None:
        """Report the probe, and the calls that the replica left unanswered first."""
        self._metrics.count("silent_replicas")
        now_ms = self._clock.now_ms()
        by_start = sorted(calls, key=lambda item: item.running.started_ms)
        probes = [item for item in by_start if item.running.is_probe]
        known: list[_UnansweredCall] = []
        others: list[_UnansweredCall] = []
        for item in by_start:
            fingerprint = item.fan_out.request.fingerprint
            if item.running.is_probe:
                continue
            is_known = self._registry.is_suspected(fingerprint, now_ms)
            (known if is_known else others).append(item)
        n_max = N_SUSPECTS_PER_REPLICA
        for item in [*probes, *known[:n_max], *others[:n_max]]:
            request, running = item.fan_out.request, item.running
            _log.info(
                "replica is silent",
                extra={
                    "replica": loss_name(replica),
                    "fingerprint": request.fingerprint,
                    "request_id": request.request_id,
                    "is_probe": running.is_probe,
                },
            )
            self._registry.record_silence(
                request.fingerprint,
                replica,
                running.call.shard_id,
                now_ms,
                running.started_ms,
                is_probe=running.is_probe,
                answered_shard_ids=item.fan_out.replied_shard_ids(),
            )

    def _end(self, call: _UnansweredCall) -> None:
        fan_out, running = call.fan_out, call.running
        fingerprint = fan_out.request.fingerprint
        self._registry.end_silence_check(fingerprint, running.call.shard_id)
        if running.is_probe and fan_out.is_complete:
            now_ms = self._clock.now_ms()
            self._registry.release_probe(fingerprint, fan_out.run_id, now_ms)
