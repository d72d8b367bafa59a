"""Open-loop load generator in virtual time, with one sample per request."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from benchmarks._fleet import VirtualFleet, VirtualInstance
from chestnuthall.core.model import (
    Account,
    Answer,
    LookupRequest,
    Request,
    SearchRequest,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Stream:
    """Poisson arrivals of one caller class and request kind, for one group.

    ``rate_per_s`` maps the time since the start, in milliseconds, to the
    arrival rate.
    """

    class_name: str
    group: str
    rate_per_s: Callable[[float], float]
    deadline_ms: float = 1000.0
    kind: str = "search"


@dataclass(frozen=True, slots=True)
class Sample:
    """Outcome of one request.

    ``arrived_ms`` counts from the start of the run. ``latency_ms`` includes the
    network delay between caller and instance, in both directions.
    """

    class_name: str
    kind: str
    group: str
    instance: str
    arrived_ms: float
    latency_ms: float
    code: int
    coverage_ratio: float
    is_answer: bool
    n_calls: int
    n_extra_calls: int
    account: Account


class LoadGenerator:
    """Sends the arrivals of several streams to the instances of a fleet.

    ``weights`` sets the relative frequency with which each instance is chosen.
    """

    def __init__(
        self, fleet: VirtualFleet, seed: int, weights: Sequence[float] | None = None
    ) -> None:
        self._fleet = fleet
        self._random = Random(f"{seed}/load")
        self._weights = list(weights or [1.0] * len(fleet.instances))
        self._n_requests = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.samples: list[Sample] = []

    async def run(self, streams: Sequence[Stream], duration_ms: float) -> list[Sample]:
        """Send all arrivals, wait for every outcome and return the samples."""
        start_ms = self._fleet.clock.now_ms()
        await asyncio.gather(
            *(self._send(stream, start_ms, duration_ms) for stream in streams)
        )
        while self._tasks:
            await asyncio.gather(*self._tasks)
        return self.samples

    async def _send(self, stream: Stream, start_ms: float, duration_ms: float) -> None:
        clock = self._fleet.clock
        while True:
            elapsed_ms = clock.now_ms() - start_ms
            if elapsed_ms >= duration_ms:
                return
            rate_per_s = stream.rate_per_s(elapsed_ms)
            if rate_per_s <= 0.0:
                await clock.sleep_ms(10.0)
                continue
            await clock.sleep_ms(self._random.expovariate(rate_per_s) * 1000.0)
            self._start_request(stream, start_ms)

    def _start_request(self, stream: Stream, start_ms: float) -> None:
        instance = self._random.choices(self._fleet.instances, self._weights)[0]
        self._n_requests += 1
        task = asyncio.get_running_loop().create_task(
            self._request(stream, instance, self._n_requests, start_ms)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(
        self, stream: Stream, instance: VirtualInstance, number: int, start_ms: float
    ) -> None:
        clock = self._fleet.clock
        delay_ms = self._fleet.deployment.caller_delay_ms
        sent_ms = clock.now_ms()
        await clock.sleep_ms(delay_ms)
        request = self._make_request(stream, number, clock.now_ms())
        outcome = await instance.query.serve(request)
        await clock.sleep_ms(delay_ms)
        account = outcome.account
        is_answer = isinstance(outcome, Answer)
        self.samples.append(
            Sample(
                class_name=stream.class_name,
                kind=stream.kind,
                group=stream.group,
                instance=instance.name,
                arrived_ms=sent_ms - start_ms,
                latency_ms=clock.now_ms() - sent_ms,
                code=account.result_code,
                coverage_ratio=outcome.coverage.ratio if is_answer else 0.0,
                is_answer=is_answer,
                n_calls=account.fan_out.n_calls,
                n_extra_calls=account.fan_out.n_hedges + account.fan_out.n_retries,
                account=account,
            )
        )

    def _make_request(self, stream: Stream, number: int, now_ms: float) -> Request:
        shared = {
            "request_id": f"q{number}",
            "class_name": stream.class_name,
            "group": stream.group,
            "arrived_ms": now_ms,
            "deadline_ms": now_ms + stream.deadline_ms,
            "fingerprint": f"f{number}",
        }
        if stream.kind == "lookup":
            return LookupRequest(**shared, key=f"{self._random.randrange(100):02d}")
        return SearchRequest(**shared, query="possession", n_hits_max=10)


def quantile_ms(latencies_ms: Sequence[float], quantile: float) -> float:
    """Return a quantile of the latencies, or 0 if there are none."""
    ordered = sorted(latencies_ms)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
