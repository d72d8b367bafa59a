"""Guards against an in-memory store that behaves unlike the HTTP adapter.

Each case runs against both; faults are set in the emulator that serves them.
"""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from chestnuthall.adapters.http import HttpRequest
from chestnuthall.adapters.objectapi import HttpObjectStore
from chestnuthall.core.results import Failure
from chestnuthall.ports import ObjectListing, WatchBatch
from chestnuthall.standins.objectapi import (
    LostAnswer,
    MemoryObjectStore,
    ObjectApiServer,
    ObjectService,
    Outage,
    StoreFaults,
)
from chestnuthall.standins.virtual_time import run_virtual

KIND = "things"
TIMEOUT_MS = 250.0


@asynccontextmanager
async def memory_store():
    service = ObjectService()
    yield MemoryObjectStore(service), service.set_faults, service.table


@asynccontextmanager
async def http_store():
    server = ObjectApiServer()
    port = await server.start("127.0.0.1", 0)
    store = HttpObjectStore(f"127.0.0.1:{port}")
    try:
        yield store, server.set_faults, server.table
    finally:
        store.close()
        await server.close()


RUNNERS = {memory_store: run_virtual, http_store: asyncio.run}


MEGABYTE = 1024 * 1024
VALUES = {"LARGEST": "x" * MEGABYTE, "LARGER": "x" * (MEGABYTE + 1)}
VERBS = {
    "create": lambda s, name, v: s.create(KIND, name, VALUES.get(v, v), TIMEOUT_MS),
    "update": lambda s, v, version: s.update(KIND, "a", v, int(version), TIMEOUT_MS),
    "delete": lambda s, version: s.delete(KIND, "a", int(version), TIMEOUT_MS),
    "get": lambda s, name: s.get(KIND, name, TIMEOUT_MS),
    "list": lambda s, kind: s.list_kind(kind, TIMEOUT_MS),
    "watch": lambda s, after: s.watch(KIND, int(after), 30.0),
    "make": lambda s, kind: s.create(kind, "a", "1", TIMEOUT_MS),
    "sleep": lambda s, duration_ms: asyncio.sleep(float(duration_ms) / 1000.0),
}


def summary(result):
    """Return a short text that describes the result of one call."""
    if result is None:
        return "done"
    if isinstance(result, Failure):
        return result.kind.name
    if isinstance(result, WatchBatch):
        names = [f"{item.name}@{item.version}" for item in result.changed]
        return f"{result.version}: {' '.join([*names, *result.deleted_names])}"
    if isinstance(result, ObjectListing):
        return " ".join(f"{item.name}@{item.version}" for item in result)
    return f"{result.name}@{result.version}={result.value[:20]}"


LOST_ANSWER = StoreFaults(n_lost_write_answers=1)
FAULTS = {
    "none": StoreFaults(),
    "refused": StoreFaults(outage=Outage.REFUSED),
    "refused-for-100": StoreFaults(outage=Outage.REFUSED, outage_ms=100.0),
    "hanging": StoreFaults(outage=Outage.HANGING),
    "503": StoreFaults(outage=Outage.ERROR_503),
    "slow": StoreFaults(delay_ms=40.0),
    "too-slow": StoreFaults(delay_ms=450.0),
    "withheld": LOST_ANSWER,
    "cut": replace(LOST_ANSWER, lost_answer=LostAnswer.CONNECTION_CLOSED),
    "500": replace(LOST_ANSWER, lost_answer=LostAnswer.ERROR_500),
    "late": StoreFaults(n_late_writes=1, late_write_ms=700.0),
    "stale": StoreFaults(stale_read_ms=500.0),
    "lagging-list": StoreFaults(list_lag_ms=500.0),
    "rate": StoreFaults(n_calls_per_s_max=2),
}
# Steps, separated by semicolons: a verb with its arguments, then " -> " and the
# expected result if it is checked. "fault" sets one of FAULTS, and "trim" removes
# the history of changes.
CASES = {
    "create-once": "create a 1 -> a@1=1; create a 2 -> OBJECT_CONFLICT; get a -> a@1=1",
    "update": "create a 1; update 2 1 -> a@2=2; update 3 1 -> OBJECT_CONFLICT",
    "update-missing": "update 2 1 -> OBJECT_CONFLICT; get a -> OBJECT_NOT_FOUND",
    "delete": "create a 1; delete 9 -> OBJECT_CONFLICT; delete 1 -> done;"
    " list things -> ",
    "recreated-has-new-version": "create a 1; delete 1 -> done; create a 1 -> a@3=1",
    "too-large": "create a LARGER -> INVALID_REQUEST; get a -> OBJECT_NOT_FOUND",
    "largest": "create a LARGEST -> a@1=xxxxxxxxxxxxxxxxxxxx",
    "names-are-quoted": "create a/b?c%d 1 -> a/b?c%d@1=1; get a/b?c%d -> a/b?c%d@1=1",
    "list": "create a 1; create b 2 -> b@2=2; list things -> a@1 b@2",
    "watch": "create a 1; watch 0 -> 1: a@1; watch 1 -> 1: ; delete 1; watch 1 -> 2: a",
    "watch-last-state-only": "create a 1; update 2 1 -> a@2=2; watch 0 -> 2: a@2",
    "history-trimmed": "create a 1; trim; watch 0 -> HISTORY_TRIMMED; watch 1 -> 1: ",
    "refused": "fault refused; create a 1 -> STORE_UNAVAILABLE;"
    " get a -> STORE_UNAVAILABLE; watch 0 -> STORE_UNAVAILABLE",
    "hanging": "fault hanging; create a 1 -> STORE_WRITE_UNKNOWN;"
    " get a -> STORE_UNAVAILABLE; list things -> STORE_UNAVAILABLE",
    "503": "fault 503; create a 1 -> STORE_WRITE_UNKNOWN;"
    " get a -> STORE_UNAVAILABLE; watch 0 -> STORE_UNAVAILABLE",
    "outage-without-effect": "fault 503; create a 1 -> STORE_WRITE_UNKNOWN;"
    " fault none; create a 1 -> a@1=1",
    "outage-ends": "fault refused-for-100; get a -> STORE_UNAVAILABLE; sleep 200;"
    " create a 1 -> a@1=1",
    "slow": "fault slow; create a 1 -> a@1=1",
    "slower-than-timeout": "fault too-slow; create a 1 -> STORE_WRITE_UNKNOWN;"
    " get a -> STORE_UNAVAILABLE",
    "answer-withheld": "fault withheld; create a 1 -> STORE_WRITE_UNKNOWN;"
    " get a -> a@1=1",
    "closed-without-answer": "fault cut; create a 1 -> STORE_WRITE_UNKNOWN;"
    " get a -> a@1=1",
    "answer-500": "fault 500; create a 1 -> STORE_WRITE_UNKNOWN; get a -> a@1=1",
    "lost-update": "create a 1; fault withheld; update 2 1 -> STORE_WRITE_UNKNOWN;"
    " update 2 1 -> OBJECT_CONFLICT; get a -> a@2=2",
    "late-write-is-applied": "fault late; create a 1 -> STORE_WRITE_UNKNOWN;"
    " get a -> OBJECT_NOT_FOUND; sleep 550; get a -> a@1=1",
    "late-write-conflicts": "fault late; create a 1 -> STORE_WRITE_UNKNOWN;"
    " create a 2 -> a@1=2; sleep 550; get a -> a@1=2",
    "stale-read": "create a 1; sleep 600; update 2 1 -> a@2=2; fault stale;"
    " get a -> a@1=1; list things -> a@1; fault none; get a -> a@2=2",
    "rate-limit": "create a 1; fault rate; get a; create b 2 -> RATE_LIMITED;"
    " fault none; get b -> OBJECT_NOT_FOUND",
    "lagging-instance-list": "fault lagging-list; make instances; make things;"
    " list instances -> ; list things -> a@2; sleep 600; list instances -> a@1",
}


async def run_step(text, store, set_faults, table):
    """Run one step; return its result and the expected one if it is checked."""
    command, arrow, expected = text.partition(" -> ")
    verb, *arguments = command.split()
    if verb == "fault":
        set_faults(replace(FAULTS[arguments[0]]))
        await asyncio.sleep(0.05)
    elif verb == "trim":
        table.trim_history()
    else:
        result = await VERBS[verb](store, *arguments)
        return (summary(result), expected) if arrow else None
    return None


@pytest.mark.parametrize("open_store", [memory_store, http_store])
@pytest.mark.parametrize("text", CASES.values(), ids=CASES.keys())
def test_store_contract(open_store, text):
    """Both implementations of the port return the same results, also under faults."""

    async def scenario():
        async with open_store() as opened:
            return [await run_step(step, *opened) for step in text.split(";")]

    pairs = [pair for pair in RUNNERS[open_store](scenario()) if pair is not None]
    assert pairs
    assert [seen.strip() for seen, _ in pairs] == [want.strip() for _, want in pairs]


@pytest.mark.parametrize(
    ("body", "status"),
    [(b"[]", 400), (b'{"outage": "odd"}', 400), (b'{"outage": "503"}', 200)],
    ids=["not-an-object", "unknown-outage", "valid"],
)
def test_faults_over_http(body, status):
    """Invalid faults are rejected, so a test cannot run without its fault unnoticed."""

    async def scenario():
        server = ObjectApiServer()
        return await server.handle(HttpRequest("PUT", "/faults", {}, body))

    assert asyncio.run(scenario()).status == status
