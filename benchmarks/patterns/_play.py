"""Plays a load pattern over the real services, open loop and in virtual time."""

import asyncio
from dataclasses import dataclass, replace
from math import pi, sin
from random import Random

from benchmarks._deployments import make_document
from benchmarks._fakes import cancel_all
from benchmarks._fleet import VirtualFleet, VirtualInstance
from benchmarks._scenarios import search_capacity_per_s
from benchmarks._upstreams import ReplicaModel
from benchmarks.patterns._models import CallerStream, LoadPattern, Step, Trouble
from chestnuthall.core.model import (
    Answer,
    LookupRequest,
    Refusal,
    Request,
    SearchRequest,
)
from chestnuthall.core.results import RunState
from chestnuthall.standins.virtual_time import run_virtual

# Fraction of its remaining time that a rejected caller waits at most.
WAIT_RATIO_MAX = 1.0 / 3.0
# Time for which an instance that restarts gets no requests.
RESTART_MS = 500.0
RATE_CHECK_MS = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One attempt of a caller; times count from the start of the pattern.

    ``retry_after_ms`` is set for a rejection that tells when to return, and
    ``is_return`` for an attempt that was sent at the time that the caller was told.
    ``latency_ms`` counts from the first attempt.
    """

    class_name: str
    instance: str
    sent_ms: float
    number: int
    is_return: bool
    latency_ms: float
    is_answer: bool
    was_rejected: bool
    retry_after_ms: float | None
    drain_ms: float | None
    is_booked: bool
    arrived_ms: float
    admitted_ms: float | None
    n_calls: int
    n_extra_calls: int


def play(pattern: LoadPattern, seed: int) -> list[Attempt]:
    """Play a pattern and return all attempts of its callers."""
    return run_virtual(_Player(pattern, seed).run())


class _Player:
    def __init__(self, pattern: LoadPattern, seed: int) -> None:
        self._pattern = pattern
        self._random = Random(f"{seed}/pattern")
        self._seed = seed
        self._tasks: set[asyncio.Task[None]] = set()
        self._attempts: list[Attempt] = []
        self._n_requests = 0
        self._restarting: set[str] = set()

    async def run(self) -> list[Attempt]:
        deployment = self._pattern.find_deployment()
        document = make_document(deployment)
        limits = self._pattern.n_queued_max
        classes = tuple(
            replace(item, n_queued_max=limits.get(item.name, item.n_queued_max))
            for item in document.classes
        )
        self._fleet = VirtualFleet(
            deployment, self._seed, replace(document, classes=classes)
        )
        await self._fleet.start()
        self._start_ms = self._fleet.clock.now_ms()
        self._start_wall_ms = self._fleet.clock.wall_ms()
        troubles = [
            asyncio.ensure_future(self._trouble(item))
            for item in self._pattern.troubles
        ]
        await asyncio.gather(*map(self._send, self._pattern.streams))
        while self._tasks:
            await asyncio.gather(*self._tasks)
        await cancel_all(troubles)
        await self._fleet.stop()
        return self._attempts

    def _elapsed_ms(self) -> float:
        return self._fleet.clock.now_ms() - self._start_ms

    async def _send(self, stream: CallerStream) -> None:
        clock = self._fleet.clock
        capacity_per_s = search_capacity_per_s(self._fleet.deployment, stream.group)
        while (elapsed_ms := self._elapsed_ms()) < self._pattern.duration_ms:
            rate_per_s = capacity_per_s * stream.load_ratio
            rate_per_s *= _factor_at(stream, elapsed_ms)
            if rate_per_s <= 0.0:
                await clock.sleep_ms(RATE_CHECK_MS)
                continue
            await clock.sleep_ms(self._random.expovariate(rate_per_s) * 1000.0)
            task = asyncio.get_running_loop().create_task(self._call(stream))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _choose_instance(self, stream: CallerStream) -> VirtualInstance:
        """Return a random instance, more often one in the zone of a burst."""
        instances = [
            item for item in self._fleet.instances if item.name not in self._restarting
        ]
        elapsed_ms = self._elapsed_ms()
        for step in stream.steps:
            if step.zone is None or not _is_active(step, elapsed_ms):
                continue
            if self._random.random() < 1.0 - 1.0 / max(1.0, step.factor):
                in_zone = [item for item in instances if item.zone == step.zone]
                return self._random.choice(in_zone or instances)
        return self._random.choice(instances)

    async def _call(self, stream: CallerStream) -> None:
        """Send one request and repeat it as its caller would."""
        clock = self._fleet.clock
        delay_ms = self._fleet.deployment.caller_delay_ms
        first_ms = self._elapsed_ms()
        fingerprint = f"f{self._n_requests}"
        is_return = False
        for number in range(stream.n_retries + 1):
            instance = self._choose_instance(stream)
            sent_ms = self._elapsed_ms()
            await clock.sleep_ms(delay_ms)
            left_ms = stream.deadline_ms - (self._elapsed_ms() - first_ms)
            if left_ms <= 0.0:
                return
            request = self._make_request(stream, left_ms, fingerprint)
            outcome = await instance.query.serve(request)
            await clock.sleep_ms(delay_ms)
            attempt = self._record(
                stream, instance, outcome, first_ms, sent_ms, number, is_return
            )
            if not attempt.was_rejected:
                return
            left_ms = stream.deadline_ms - (self._elapsed_ms() - first_ms)
            wait_ms = 0.0
            if stream.honours_retry_after and attempt.retry_after_ms is not None:
                wait_ms = min(attempt.retry_after_ms, WAIT_RATIO_MAX * left_ms)
            is_return = attempt.is_booked and wait_ms == attempt.retry_after_ms
            await clock.sleep_ms(max(0.0, wait_ms))

    def _make_request(
        self, stream: CallerStream, left_ms: float, fingerprint: str
    ) -> Request:
        self._n_requests += 1
        now_ms = self._fleet.clock.now_ms()
        shared = {
            "request_id": f"q{self._n_requests}",
            "class_name": stream.class_name,
            "group": stream.group,
            "arrived_ms": now_ms,
            "deadline_ms": now_ms + left_ms,
            "fingerprint": fingerprint,
        }
        if stream.kind == "lookup":
            return LookupRequest(**shared, key=f"{self._random.randrange(100):02d}")
        return SearchRequest(**shared, query="possession", n_hits_max=10)

    def _record(
        self,
        stream: CallerStream,
        instance: VirtualInstance,
        outcome: Answer | Refusal,
        first_ms: float,
        sent_ms: float,
        number: int,
        is_return: bool,
    ) -> Attempt:
        account = outcome.account
        was_rejected = isinstance(outcome, Refusal) and outcome.run_state is RunState.NO
        retry_after_ms, drain_ms, is_booked = _advice(outcome)
        admitted_ms = account.admitted_wall_ms
        attempt = Attempt(
            class_name=stream.class_name,
            instance=instance.name,
            sent_ms=sent_ms,
            number=number,
            is_return=is_return,
            latency_ms=self._elapsed_ms() - first_ms,
            is_answer=isinstance(outcome, Answer),
            was_rejected=was_rejected,
            retry_after_ms=retry_after_ms,
            drain_ms=drain_ms,
            is_booked=is_booked,
            arrived_ms=account.arrived_wall_ms - self._start_wall_ms,
            admitted_ms=None
            if admitted_ms is None
            else admitted_ms - self._start_wall_ms,
            n_calls=account.fan_out.n_calls,
            n_extra_calls=account.fan_out.n_hedges + account.fan_out.n_retries,
        )
        self._attempts.append(attempt)
        return attempt

    async def _trouble(self, trouble: Trouble) -> None:
        await self._fleet.clock.sleep_ms(trouble.at_ms)
        if trouble.kind == "restart":
            await self._restart_instances(trouble)
            return
        replicas = self._replicas_of(trouble)
        for replica in replicas:
            _change(replica, trouble, is_begin=True)
        await self._fleet.clock.sleep_ms(trouble.for_ms)
        for replica in replicas:
            _change(replica, trouble, is_begin=False)

    async def _restart_instances(self, trouble: Trouble) -> None:
        """Take instances out of the balancer, one after the other."""
        n_instances = round(trouble.ratio * len(self._fleet.instances))
        for instance in self._fleet.instances[:n_instances]:
            self._restarting = {instance.name}
            await self._fleet.clock.sleep_ms(
                min(RESTART_MS, trouble.for_ms / n_instances)
            )
        self._restarting = set()

    def _replicas_of(self, trouble: Trouble) -> list[ReplicaModel]:
        names = sorted(
            replica.name
            for group, partition_map in self._fleet.upstreams.published_maps.items()
            if trouble.group in (None, group)
            for number, shard in enumerate(partition_map.shards)
            if trouble.shard in (None, number)
            for replica in shard.replicas
        )
        n_affected = max(1, round(trouble.ratio * len(names)))
        random = Random(f"{self._seed}/{trouble.at_ms}")
        chosen = random.sample(names, n_affected)
        return [self._fleet.upstreams.replicas[name] for name in chosen]


def _is_active(step: Step, elapsed_ms: float) -> bool:
    return step.at_ms <= elapsed_ms < step.at_ms + step.for_ms


def _factor_at(stream: CallerStream, elapsed_ms: float) -> float:
    factor = 1.0
    for step in stream.steps:
        if _is_active(step, elapsed_ms):
            factor *= step.factor
    if stream.wave is not None:
        phase = 2.0 * pi * elapsed_ms / stream.wave.period_ms
        factor *= 1.0 + stream.wave.swing_ratio * sin(phase)
    return factor


def _advice(outcome: Answer | Refusal) -> tuple[float | None, float | None, bool]:
    """Return the time to wait, the drain time in it, and whether it is booked.

    Revisions before the booking of returns state only the time to wait.
    """
    advice = getattr(outcome, "advice", None)
    if advice is None:
        retry_after_ms = getattr(outcome, "retry_after_ms", None)
        return retry_after_ms, retry_after_ms, False
    return advice.retry_after_ms, advice.drain_ms, advice.is_booked


def _change(replica: ReplicaModel, trouble: Trouble, is_begin: bool) -> None:
    if trouble.kind == "slow":
        replica.slow_factor = trouble.factor if is_begin else 1.0
    else:
        replica.is_alive = not is_begin
