"""Open-loop load generator for the instances of a local fleet."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from chestnuthall.adapters.clock import LoopClock
from chestnuthall.standins.fleet import JsonClient, Reply
from chestnuthall.standins.load._checker import AnswerChecker

ClientChooser = Callable[[], tuple[str, JsonClient]]


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """The requests to send; rates are in requests per second."""

    search_group: str
    mutation_group: str
    lookup_keys: tuple[str, ...]
    search_rate_per_s: float = 60.0
    lookup_rate_per_s: float = 20.0
    mutation_rate_per_s: float = 10.0
    class_name: str = "planner"
    n_hits_max: int = 5
    timeout_s: float = 6.0


@dataclass(slots=True)
class LoadReport:
    """Results of the requests.

    ``run_states_by_key`` maps an idempotency key to the run states that its replies
    report. ``n_unanswered_by_instance`` counts the requests without a reply by
    instance.
    """

    n_by_result: Counter[str] = field(default_factory=Counter)
    violations: Counter[str] = field(default_factory=Counter)
    n_unanswered_by_instance: Counter[str] = field(default_factory=Counter)
    run_states_by_key: dict[str, list[str]] = field(default_factory=dict)
    latencies_ms: list[float] = field(default_factory=list)
    violation_examples: list[str] = field(default_factory=list)

    @property
    def n_requests(self) -> int:
        """Number of requests that were answered or failed without a reply."""
        return sum(self.n_by_result.values())


class LoadDriver:
    """Sends searches, lookups and mutations, and checks every answer.

    Each mutation is sent twice with the same key, to independently chosen
    instances. This emulates a caller that does not know whether its first request
    arrived.
    """

    def __init__(
        self,
        plan: LoadPlan,
        checker: AnswerChecker,
        choose_client: ClientChooser,
        seed: int,
    ) -> None:
        self._plan = plan
        self._checker = checker
        self._choose_client = choose_client
        self._random = Random(f"{seed}/load")
        self._seed = seed
        self._n_sent = 0
        self._stopped = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self.report = LoadReport()

    async def run(self) -> LoadReport:
        """Send requests until stopped, then wait for the outstanding replies."""
        plan = self._plan
        await asyncio.gather(
            self._send_at_rate(plan.search_rate_per_s, self._search),
            self._send_at_rate(plan.lookup_rate_per_s, self._lookup),
            self._send_at_rate(plan.mutation_rate_per_s, self._mutate),
        )
        while self._tasks:
            await asyncio.gather(*self._tasks)
        return self.report

    def stop(self) -> None:
        """Stop sending requests."""
        self._stopped.set()

    async def _send_at_rate(
        self, rate_per_s: float, send: Callable[[str], Any]
    ) -> None:
        while rate_per_s > 0.0:
            try:
                async with asyncio.timeout(self._random.expovariate(rate_per_s)):
                    await self._stopped.wait()
                return
            except TimeoutError:
                self._n_sent += 1
                self._spawn(send(f"load-{self._seed}-{self._n_sent}"))

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _post(self, target: str, body: dict[str, Any]) -> Reply:
        name, client = self._choose_client()
        started_s = time.perf_counter()
        reply = await client.send("POST", target, body, self._plan.timeout_s)
        self.report.latencies_ms.append((time.perf_counter() - started_s) * 1000.0)
        self.report.n_by_result[str(reply.body.get("result", reply.status))] += 1
        if reply.status == 0:
            self.report.n_unanswered_by_instance[name] += 1
        return reply

    def _record_violations(
        self, request_id: str, violations: list[Any], reply: Reply
    ) -> None:
        for violation in violations:
            self.report.violations[violation.value] += 1
            if len(self.report.violation_examples) < 5:
                self.report.violation_examples.append(f"{request_id}: {reply.body}")

    def _common_fields(self, request_id: str, group: str) -> dict[str, Any]:
        return {
            "request_id": request_id,
            "class": self._plan.class_name,
            "group": group,
        }

    async def _search(self, request_id: str) -> None:
        plan = self._plan
        body = {
            **self._common_fields(request_id, plan.search_group),
            "query": request_id,
            "n_hits_max": plan.n_hits_max,
        }
        reply = await self._post("/v1/search", body)
        if reply.status == 200:
            violations = self._checker.check_search(
                request_id, plan.n_hits_max, reply.body
            )
            self._record_violations(request_id, violations, reply)

    async def _lookup(self, request_id: str) -> None:
        key = self._random.choice(self._plan.lookup_keys)
        body = {**self._common_fields(request_id, self._plan.search_group), "key": key}
        reply = await self._post("/v1/lookup", body)
        if reply.status == 200:
            self._record_violations(
                request_id, self._checker.check_lookup(key, reply.body), reply
            )

    async def _mutate(self, request_id: str) -> None:
        body = {
            **self._common_fields(request_id, self._plan.mutation_group),
            "key": "line-7",
            "payload": request_id,
            "idempotency_key": f"key-{request_id}",
            "issued_at_ms": LoopClock().wall_ms(),
        }
        replies = await asyncio.gather(
            self._post("/v1/mutate", body), self._post_after_delay("/v1/mutate", body)
        )
        self.report.run_states_by_key[f"key-{request_id}"] = [
            "yes" if reply.status == 200 else str(reply.body.get("run", "unknown"))
            for reply in replies
        ]

    async def _post_after_delay(self, target: str, body: dict[str, Any]) -> Reply:
        await asyncio.sleep(self._random.choice((0.0, 0.01, 0.5)))
        return await self._post(target, body)
