"""Finds out whether replicas that leave a request unanswered have ended."""

import asyncio
import logging
from collections.abc import Sequence

from chestnuthall.core.fanout import FanOut, RunningCall
from chestnuthall.core.model import Request
from chestnuthall.core.quarantine import QuarantineRegistry, loss_name
from chestnuthall.ports import Clock, Metrics, ReplicaReachability

_log = logging.getLogger(__name__)

# Age of a call at which its replica is checked. Requests that take longer at a healthy
# replica cost a connection.
CHECK_DELAY_MS = 500.0
# Far longer than a replica takes to accept a connection. A lost packet delays one by a
# second, so a single attempt proves nothing.
CONNECT_TIMEOUT_MS = 400.0
N_CONNECT_ATTEMPTS = 2
# Replicas that are checked for one request. One is sufficient for a suspicion.
N_REPLICAS_CHECKED_MAX = 4
# Concurrent checks. The end of many replicas leaves more requests unanswered.
N_CHECKS_MAX = 32


class SilenceChecks:
    """Checks the replicas of requests that no replica has answered.

    The end of a replica that loses power shows neither in its connections nor, for
    some seconds, in its registration. A replica that accepts no connection is reported
    to the quarantine registry, which decides what that means for the request.
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
        # Calls whose replicas are being checked.
        self._call_ids: set[str] = set()

    def start(self, fan_out: FanOut) -> None:
        """Check the replicas of the unanswered calls of a query in the background.

        A probe stays reserved after the end of its query until its check has ended.
        """
        has_ended = fan_out.is_complete
        calls = fan_out.unanswered if has_ended else fan_out.unanswered_calls()
        # A probe follows the calls before it.
        calls = calls[::-1][:N_REPLICAS_CHECKED_MAX]
        unchecked = [x for x in calls if x.call.call_id not in self._call_ids]
        if not unchecked or len(self._tasks) >= N_CHECKS_MAX:
            return
        self._call_ids.update(item.call.call_id for item in unchecked)
        task = asyncio.get_running_loop().create_task(
            self._check_all(fan_out, unchecked)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check_all(self, fan_out: FanOut, calls: Sequence[RunningCall]) -> None:
        request = fan_out.request
        self._registry.begin_silence_check(request.fingerprint)
        try:
            await asyncio.gather(*(self._check(request, item) for item in calls))
        finally:
            self._call_ids.difference_update(item.call.call_id for item in calls)
            self._registry.end_silence_check(request.fingerprint)
            if fan_out.is_complete:
                self._registry.release_probe(
                    request.fingerprint, request.request_id, self._clock.now_ms()
                )

    async def _check(self, request: Request, running: RunningCall) -> None:
        replica = running.call.replica
        for _ in range(N_CONNECT_ATTEMPTS):
            if await self._reachability.accepts_connections(
                replica, CONNECT_TIMEOUT_MS
            ):
                return
        self._metrics.count("silent_replicas")
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
            self._clock.now_ms(),
            running.started_ms,
            is_probe=running.is_probe,
        )
