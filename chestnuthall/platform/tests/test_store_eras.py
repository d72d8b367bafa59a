"""Tests the client of the platform's store across the store's returns from copies.

Guards against revisions that are compared although the store gave them out twice:
changes made after its return were taken for old ones, or never arrived.
"""

import asyncio
import json

import pytest

from chestnuthall.adapters.http import HttpResponse, HttpServer
from chestnuthall.adapters.objectapi import HttpObjectStore
from chestnuthall.core.results import (
    HISTORY_TRIMMED,
    OBJECT_CONFLICT,
    STORE_UNAVAILABLE,
    STORE_WRITE_UNKNOWN,
    Failure,
)
from chestnuthall.core.versions import make_version
from chestnuthall.platform._instance import DIALECT
from chestnuthall.platform.tests.standins import (
    LOOPBACK,
    forward_route,
    open_deployment,
)
from chestnuthall.ports import WatchBatch

KIND = "k"
TIMEOUT_MS = 1_000.0


def stored(name="a", revision=7):
    return {"meta": {"Name": name, "Revision": revision}, "spec": {}}


LIST = {"items": [stored()], "More": False, "At": 9}
FIRST_PAGE = {"items": [stored()], "More": True, "At": 9}
LAST_PAGE = {"items": [stored("b", 8)], "More": False, "At": 10}
EVENTS = {"events": [{"Object": stored(revision=10), "Deleted": False}], "At": 10}
NO_EVENTS = {"events": [], "At": 9}


class Script:
    """A store that answers each call with the next era and body of a list."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.targets = []

    async def handle(self, request):
        self.targets.append(request.target)
        era, body = self.answers.pop(0)
        if body is None:
            await asyncio.sleep(30.0)
        headers = {} if era is None else {b"store-era": str(era).encode()}
        return HttpResponse(200, headers, json.dumps(body).encode())


async def call_in_turn(answers, calls):
    """Return the results of calls, and the targets that the store was asked for."""
    script = Script(answers)
    server = HttpServer(script.handle)
    port = await server.start(LOOPBACK, 0)
    eras = []
    store = HttpObjectStore(f"{LOOPBACK}:{port}", DIALECT, on_new_era=eras.append)
    try:
        return [await call(store) for call in calls], script.targets, eras
    finally:
        store.close()
        await server.close()


def list_objects(store):
    return store.list_kind(KIND, TIMEOUT_MS)


def watch_from(era, revision):
    return lambda store: store.watch(KIND, make_version(era, revision), TIMEOUT_MS)


def update_of(era, revision):
    return lambda store: store.update(
        KIND, "a", "{}", make_version(era, revision), TIMEOUT_MS
    )


def delete_of(era, revision):
    return lambda store: store.delete(
        KIND, "a", make_version(era, revision), TIMEOUT_MS
    )


# (case, answers as (era, body), calls, version or kind of failure of the last result)
CALLS = [
    ("list", [(1, LIST)], [list_objects], make_version(1, 9)),
    ("list after a return", [(1, LIST), (2, LIST)], [list_objects] * 2, (2, 9)),
    ("eras are skipped", [(1, LIST), (5, LIST)], [list_objects] * 2, (5, 9)),
    ("no era stated", [(None, LIST)], [list_objects], (0, 9)),
    ("era left out", [(3, LIST), (None, LIST)], [list_objects] * 2, (3, 9)),
    ("unreadable era", [(3, LIST), ("-4", LIST)], [list_objects] * 2, (3, 9)),
    ("endless era", [(3, LIST), ("9" * 5_000, LIST)], [list_objects] * 2, (3, 9)),
    (
        "late answer of an earlier era",
        [(2, LIST), (1, LIST)],
        [list_objects] * 2,
        STORE_UNAVAILABLE,
    ),
    (
        "pages of two eras",
        [(1, FIRST_PAGE), (2, LAST_PAGE), (2, LIST)],
        [list_objects],
        (2, 9),
    ),
    ("watch", [(1, EVENTS)], [watch_from(1, 9)], (1, 10)),
    ("watch that a return ends", [(2, EVENTS)], [watch_from(1, 9)], HISTORY_TRIMMED),
    (
        "watch from an earlier era",
        [(2, LIST)],
        [list_objects, watch_from(1, 9)],
        HISTORY_TRIMMED,
    ),
    (
        "watch from an era that a peer has seen",
        [(1, LIST), (2, EVENTS)],
        [list_objects, watch_from(2, 9)],
        (2, 10),
    ),
    ("update", [(1, stored(revision=8))], [update_of(1, 7)], (1, 8)),
    (
        "update of an object of an earlier era",
        [(2, LIST)],
        [list_objects, update_of(1, 7)],
        OBJECT_CONFLICT,
    ),
    (
        "update that meets a return",
        [(1, LIST), (2, stored(revision=8))],
        [list_objects, update_of(1, 7)],
        STORE_WRITE_UNKNOWN,
    ),
    (
        "deletion of an object of an earlier era",
        [(2, LIST)],
        [list_objects, delete_of(1, 7)],
        OBJECT_CONFLICT,
    ),
]


@pytest.mark.parametrize(
    ("answers", "calls", "expected"),
    [case[1:] for case in CALLS],
    ids=[case[0] for case in CALLS],
)
def test_versions_are_ordered_by_era(answers, calls, expected):
    """A revision says nothing about one of another era."""
    results, targets, _ = asyncio.run(call_in_turn(answers, calls))
    if isinstance(results[-1], Failure):
        assert results[-1].kind is expected
    else:
        version = make_version(*expected) if isinstance(expected, tuple) else expected
        assert results[-1].version == version
    assert len(targets) == len(answers)


def test_waiting_watch_ends_with_the_era():
    """The restored store would not report changes under revisions used before."""

    async def scenario():
        answers = [(1, LIST), (1, None), (2, LIST)]

        async def watch_and_list(store):
            watch = asyncio.ensure_future(
                store.watch(KIND, make_version(1, 9), 20_000.0)
            )
            await asyncio.sleep(0.05)
            listed = await store.list_kind(KIND, TIMEOUT_MS)
            async with asyncio.timeout(1.0):
                return listed.version, (await watch).kind

        results, _, eras = await call_in_turn(answers, [list_objects, watch_and_list])
        return results[-1], eras

    ended = ((make_version(2, 9), HISTORY_TRIMMED), [2])
    assert asyncio.run(scenario()) == ended


def test_changes_of_a_watch_have_the_versions_of_their_era():
    """A follower compares them with what it has listed."""
    results, _, _ = asyncio.run(call_in_turn([(3, EVENTS)], [watch_from(3, 9)]))
    (batch,) = results
    assert isinstance(batch, WatchBatch)
    assert [item.version for item in batch.changed] == [make_version(3, 10)]


def test_instance_that_starts_after_a_return_serves_the_configuration_of_its_peers():
    """The store has an older configuration until the operator writes again."""

    async def scenario():
        async with open_deployment() as deployment:
            for service in ("t", "u"):
                await deployment.add_replica(f"{service}0", service, service.encode())
            deployment.configure(5, [forward_route("t")])
            deployment.configure(7, [forward_route("u")])
            peer = await deployment.add_peer("entry-2", "a")
            deployment.configure(5, [forward_route("t")])
            await deployment.start(seeds=(peer.settings.peer_address,))
            response = await deployment.send("/fetch/x")
            return response.body, peer.configuration.revision

    assert asyncio.run(scenario()) == (b"u", 7)
