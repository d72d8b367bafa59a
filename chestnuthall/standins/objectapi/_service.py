"""The emulator's behaviour, independent of the transport."""

import asyncio
from collections import deque
from contextlib import suppress
from dataclasses import asdict, dataclass
from enum import Enum
from functools import singledispatchmethod
from typing import TypeAlias

from chestnuthall.standins.objectapi._faults import LostAnswer, Outage, StoreFaults
from chestnuthall.standins.objectapi._objects import (
    N_VALUE_BYTES_MAX,
    Entry,
    HistoryTrimmed,
    ObjectTable,
    UnknownObject,
    VersionConflict,
)

WATCH_TIMEOUT_MAX_MS = 60_000.0
# Longer than the timeout of any client, so a withheld answer is never received.
WITHHOLD_DURATION_S = 3_600.0
INSTANCE_KIND = "instances"


@dataclass(frozen=True, slots=True)
class GetCall:
    """Read one object."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class ListCall:
    """Read all objects of a kind."""

    kind: str


@dataclass(frozen=True, slots=True)
class PutCall:
    """Write one object; see ``ObjectTable.put`` for the expected version."""

    kind: str
    name: str
    value: str
    expected_version: int | None


@dataclass(frozen=True, slots=True)
class DeleteCall:
    """Delete one object."""

    kind: str
    name: str
    expected_version: int | None


@dataclass(frozen=True, slots=True)
class WatchCall:
    """Wait for changes of a kind."""

    kind: str
    after: int
    timeout_ms: float


Call: TypeAlias = GetCall | ListCall | PutCall | DeleteCall | WatchCall


@dataclass(frozen=True, slots=True)
class Reply:
    """Status and body of an answer; the body is sent as JSON."""

    status: int
    body: dict[str, object]


class ConnectionDrop(Enum):
    """How a connection is closed without an answer."""

    REFUSED = "refused"
    CONNECTION_CLOSED = "cut"


class ObjectService:
    """Serves an object table, subject to the active faults."""

    def __init__(self) -> None:
        self.table = ObjectTable()
        self.faults = StoreFaults()
        self.n_calls: dict[str, int] = {}
        self._outage_ends_s = 0.0
        self._n_hanging_outages = 0
        self._served_s: deque[float] = deque()
        self._late_writes: set[asyncio.Task[None]] = set()

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the faults; an outage starts now."""
        self.faults = faults
        self._n_hanging_outages += faults.outage is Outage.HANGING
        now_s = asyncio.get_running_loop().time()
        self._outage_ends_s = now_s + faults.outage_ms / 1000.0

    @property
    def outage(self) -> Outage:
        """The outage that is in progress."""
        is_over = asyncio.get_running_loop().time() >= self._outage_ends_s
        if self.faults.outage_ms > 0.0 and is_over:
            return Outage.NONE
        return self.faults.outage

    async def serve(self, call: Call) -> Reply | ConnectionDrop:
        """Serve one call, subject to the active faults."""
        failed = await self._fail_in_outage()
        if failed is not None:
            return failed
        self._count_call(call)
        n_hanging_outages = self._n_hanging_outages
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000.0)
        if self._exceeds_rate_limit():
            return Reply(429, {"error": "more calls than the rate limit allows"})
        reply = await self._answer(call)
        if self._n_hanging_outages != n_hanging_outages:
            # A call in progress when a hanging outage starts is never answered.
            await asyncio.sleep(WITHHOLD_DURATION_S)
        return await self._fail_in_outage() or reply

    async def _answer(self, call: Call) -> Reply | ConnectionDrop:
        try:
            return await self._run(call)
        except VersionConflict as error:
            return Reply(412, {"error": str(error)})
        except UnknownObject as error:
            return Reply(404, {"error": str(error)})
        except HistoryTrimmed as error:
            return Reply(410, {"error": str(error)})
        except ValueError as error:
            return Reply(400, {"error": str(error)})

    async def _fail_in_outage(self) -> Reply | ConnectionDrop | None:
        outage = self.outage
        if outage is Outage.HANGING:
            await asyncio.sleep(WITHHOLD_DURATION_S)
        if outage is Outage.REFUSED:
            return ConnectionDrop.REFUSED
        if outage is Outage.ERROR_503:
            return Reply(503, {"error": "the store is unavailable"})
        return None

    def _count_call(self, call: Call) -> None:
        name = f"{type(call).__name__.removesuffix('Call').lower()} {call.kind}"
        self.n_calls[name] = self.n_calls.get(name, 0) + 1

    def _exceeds_rate_limit(self) -> bool:
        """Return whether a call exceeds the limit of calls in the last second."""
        n_max = self.faults.n_calls_per_s_max
        now_s = asyncio.get_running_loop().time()
        served = self._served_s
        while served and served[0] <= now_s - 1.0:
            served.popleft()
        if n_max and len(served) >= n_max:
            return True
        served.append(now_s)
        return False

    @singledispatchmethod
    async def _run(self, call: Call) -> Reply | ConnectionDrop:
        raise TypeError(f"unsupported call type: {type(call).__name__}")

    @_run.register
    async def _(self, call: GetCall) -> Reply | ConnectionDrop:
        lag_s = self.faults.stale_read_ms / 1000.0
        return Reply(200, asdict(self.table.get(call.kind, call.name, lag_s)))

    @_run.register
    async def _(self, call: ListCall) -> Reply | ConnectionDrop:
        lag_ms = self.faults.stale_read_ms
        if call.kind == INSTANCE_KIND:
            lag_ms = max(lag_ms, self.faults.list_lag_ms)
        entries = self.table.list_kind(call.kind, lag_ms / 1000.0)
        objects = [asdict(item) for item in entries]
        return Reply(200, {"version": self.table.version, "objects": objects})

    @_run.register
    async def _(self, call: PutCall) -> Reply | ConnectionDrop:
        if len(call.value.encode()) > N_VALUE_BYTES_MAX:
            return Reply(413, {"error": "the value is larger than 1 MiB"})
        return await self._write(call)

    @_run.register
    async def _(self, call: DeleteCall) -> Reply | ConnectionDrop:
        return await self._write(call)

    @_run.register
    async def _(self, call: WatchCall) -> Reply | ConnectionDrop:
        timeout_s = min(call.timeout_ms, WATCH_TIMEOUT_MAX_MS) / 1000.0
        changes = await self.table.wait_for_changes(call.kind, call.after, timeout_s)
        body = {
            "version": max((item.version for item in changes), default=call.after),
            "changed": [asdict(item.entry) for item in changes if item.entry],
            "deleted_names": [item.name for item in changes if item.entry is None],
        }
        return Reply(200, body)

    async def _write(self, call: PutCall | DeleteCall) -> Reply | ConnectionDrop:
        if self.faults.n_late_writes > 0:
            self.faults.n_late_writes -= 1
            task = asyncio.get_running_loop().create_task(self._apply_late(call))
            self._late_writes.add(task)
            task.add_done_callback(self._late_writes.discard)
            await asyncio.sleep(WITHHOLD_DURATION_S)
        entry = self._apply(call)
        if self.faults.n_lost_write_answers > 0:
            self.faults.n_lost_write_answers -= 1
            return await self._lose_answer()
        return Reply(200, asdict(entry))

    async def _apply_late(self, call: PutCall | DeleteCall) -> None:
        await asyncio.sleep(self.faults.late_write_ms / 1000.0)
        # The client gets no answer to a late write, so a conflict is not reported.
        with suppress(VersionConflict, UnknownObject):
            self._apply(call)

    def _apply(self, call: PutCall | DeleteCall) -> Entry:
        if isinstance(call, DeleteCall):
            return self.table.delete(call.kind, call.name, call.expected_version)
        return self.table.put(call.kind, call.name, call.value, call.expected_version)

    async def _lose_answer(self) -> Reply | ConnectionDrop:
        if self.faults.lost_answer is LostAnswer.ERROR_500:
            return Reply(500, {"error": "internal error"})
        if self.faults.lost_answer is LostAnswer.CONNECTION_CLOSED:
            return ConnectionDrop.CONNECTION_CLOSED
        await asyncio.sleep(WITHHOLD_DURATION_S)
        return ConnectionDrop.CONNECTION_CLOSED
