"""HTTP interface of the upstream emulator."""

import asyncio
import json
import os
from dataclasses import asdict, replace

from chestnuthall.adapters.http import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    ServerLimits,
)
from chestnuthall.standins.upstream._answer_faults import (
    apply_answer_faults,
    consume_fault,
    filter_output,
)
from chestnuthall.standins.upstream._behaviour import UpstreamBehaviour
from chestnuthall.standins.upstream._index import IndexSnapshot, make_record
from chestnuthall.standins.upstream._reports import LaggingReports

# Longer than the deadline of any call, so the answer is never sent.
LOST_ANSWER_DELAY_S = 3_600.0


class UpstreamServer:
    """Emulates one replica: slots with a queue, snapshots, draining and faults."""

    def __init__(
        self,
        name: str,
        zone: str,
        behaviour: UpstreamBehaviour,
        limits: ServerLimits | None = None,
    ) -> None:
        self.name = name
        self.zone = zone
        self.behaviour = behaviour
        self.snapshots: dict[int, IndexSnapshot] = {}
        self.partition_map_text = ""
        self.mutations: list[str] = []
        self.n_calls = 0
        self.n_cancelled = 0
        self._n_running = 0
        self._n_queued = 0
        self._slot_freed = asyncio.Condition()
        self._running: dict[str, asyncio.Task[HttpResponse]] = {}
        self._started_s = 0.0
        self._reports = LaggingReports()
        self._server = HttpServer(
            self.handle, limits=limits, output_filter=filter_output
        )

    async def start(self, host: str, port: int) -> int:
        """Listen; return the port."""
        self._started_s = asyncio.get_running_loop().time()
        return await self._server.start(host, port)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._server.close()

    def add_snapshot(self, snapshot: IndexSnapshot) -> None:
        """Serve one more snapshot."""
        self.snapshots[snapshot.snapshot_id] = snapshot

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serve one request."""
        path = request.path
        if path.startswith("/v1/shard/"):
            return await self._serve_call(request)
        if path == "/v1/cancel":
            return self._serve_cancel(request)
        if path == "/v1/partition-map":
            return HttpResponse(200, {}, self.partition_map_text.encode())
        if path in ("/v1/health", "/v1/load"):
            return self._respond_json(200, self._report(path))
        return self._serve_control(request)

    def _report(self, path: str) -> dict[str, int]:
        now_ms = asyncio.get_running_loop().time() * 1000.0
        behaviour = self.behaviour
        self._reports.record(
            now_ms,
            {
                "draining": int(behaviour.is_draining),
                "running": self._n_running,
                "queued": self._n_queued,
            },
        )
        state = self._reports.lagging_state(now_ms, behaviour.health_lag_ms)
        if path == "/v1/health":
            return {"draining": state["draining"]}
        return {"running": state["running"], "queued": state["queued"]}

    def _serve_control(self, request: HttpRequest) -> HttpResponse:
        if request.path == "/behaviour":
            if request.method == "PUT":
                changes = json.loads(request.body)
                self.behaviour = replace(self.behaviour, **changes)
            return self._respond_json(200, asdict(self.behaviour))
        if request.path == "/snapshots" and request.method == "PUT":
            return self._set_snapshots(json.loads(request.body))
        if request.path == "/record":
            body = {
                "mutations": self.mutations,
                "n_calls": self.n_calls,
                "n_cancelled": self.n_cancelled,
                "n_connections": self._server.n_connections,
                "n_connections_peak": self._server.n_connections_peak,
            }
            return self._respond_json(200, body)
        return self._respond_json(404, {"error": "unknown path"})

    def _set_snapshots(self, body: dict[str, object]) -> HttpResponse:
        """Replace all snapshots, and the partition map if one is given."""
        listed = body["snapshots"]
        assert isinstance(listed, list)
        self.snapshots = {
            item["snapshot_id"]: IndexSnapshot(
                item["group"],
                item["snapshot_id"],
                item["shard_id"],
                tuple(item["keys"]),
            )
            for item in listed
        }
        self.partition_map_text = str(body.get("partition_map", ""))
        return self._respond_json(200, {"snapshots": sorted(self.snapshots)})

    def _respond_json(self, status: int, body: object) -> HttpResponse:
        headers = {b"content-type": b"application/json"}
        return HttpResponse(status, headers, json.dumps(body).encode())

    def _serve_cancel(self, request: HttpRequest) -> HttpResponse:
        call_id = request.headers.get(b"x-call-id", b"").decode()
        task = self._running.get(call_id)
        if task is not None:
            self.n_cancelled += 1
            task.cancel()
        return self._respond_json(200, {"cancelled": task is not None})

    async def _serve_call(self, request: HttpRequest) -> HttpResponse:
        call_id = request.headers.get(b"x-call-id", b"").decode()
        headers = self._echo_headers(request)
        refusal = self._refuse_early(request, headers)
        if refusal is not None:
            return refusal
        deadline_s = float(request.headers.get(b"x-deadline-ms", b"10000")) / 1000.0
        task = asyncio.ensure_future(self._run_in_slot(request, headers))
        self._running[call_id] = task
        try:
            async with asyncio.timeout(deadline_s):
                return await asyncio.shield(task)
        except TimeoutError:
            task.cancel()
            return HttpResponse(504, headers)
        except asyncio.CancelledError:
            if task.cancelled():
                return HttpResponse(499, headers)
            raise
        finally:
            self._running.pop(call_id, None)

    def _echo_headers(self, request: HttpRequest) -> dict[bytes, bytes]:
        snapshot_ids = b" ".join(b"%d" % item for item in sorted(self.snapshots))
        headers = {
            b"content-type": b"application/json",
            b"x-call-id": request.headers.get(b"x-call-id", b""),
            b"x-shard-id": request.headers.get(b"x-shard-id", b""),
            b"x-snapshot-id": request.headers.get(b"x-snapshot-id", b""),
            b"x-held-snapshots": snapshot_ids,
        }
        if self.behaviour.is_draining:
            headers[b"x-draining"] = b"1"
        return headers

    def _refuse_early(
        self, request: HttpRequest, headers: dict[bytes, bytes]
    ) -> HttpResponse | None:
        snapshot_id = int(request.headers.get(b"x-snapshot-id", b"0"))
        snapshot = self.snapshots.get(snapshot_id)
        shard_id = request.headers.get(b"x-shard-id", b"").decode()
        if snapshot is None or snapshot.shard_id != shard_id:
            return HttpResponse(409, headers)
        is_full = self._n_queued >= self.behaviour.n_queued_max
        if self.behaviour.is_shedding or is_full:
            return HttpResponse(503, {**headers, b"x-not-started": b"1"})
        return None

    async def _run_in_slot(
        self, request: HttpRequest, headers: dict[bytes, bytes]
    ) -> HttpResponse:
        self._n_queued += 1
        try:
            async with self._slot_freed:
                await self._slot_freed.wait_for(
                    lambda: self._n_running < self.behaviour.n_slots
                )
                self._n_running += 1
        finally:
            self._n_queued -= 1
        try:
            return await self._run(request, headers)
        finally:
            self._n_running -= 1
            async with self._slot_freed:
                self._slot_freed.notify()

    async def _run(
        self, request: HttpRequest, headers: dict[bytes, bytes]
    ) -> HttpResponse:
        self.n_calls += 1
        body = json.loads(request.body)
        if self.behaviour.crash_text and self.behaviour.crash_text in str(body):
            os._exit(3)
        if request.path == "/v1/shard/mutate":
            self.mutations.append(body["idempotency_key"])
        await asyncio.sleep(self._service_ms() / 1000.0)
        snapshot = self.snapshots[int(headers[b"x-snapshot-id"])]
        result = {
            "hits": _find_hits(request.path, snapshot, body),
            "n_documents_searched": len(snapshot.keys),
        }
        if consume_fault(self.behaviour, "n_lost_answers"):
            await asyncio.sleep(LOST_ANSWER_DELAY_S)
        response = HttpResponse(200, headers, json.dumps(result).encode())
        return apply_answer_faults(self.behaviour, response)

    def _service_ms(self) -> float:
        behaviour = self.behaviour
        age_ms = (asyncio.get_running_loop().time() - self._started_s) * 1000.0
        is_cold = age_ms < behaviour.cold_start_ms
        factor = behaviour.cold_factor if is_cold else 1.0
        return behaviour.service_ms * behaviour.slow_factor * factor


def _find_hits(
    path: str, snapshot: IndexSnapshot, body: dict[str, str]
) -> list[tuple[str, float, str]]:
    if path == "/v1/shard/search":
        return snapshot.search(body["query"], int(body["n_hits_max"]))
    if path == "/v1/shard/lookup":
        return snapshot.lookup(body["key"])
    record = make_record(snapshot.group, snapshot.snapshot_id, body["key"])
    return [(body["key"], 1.0, record)]
