"""Tests that an answer of the store decides only the call that it belongs to.

Guards against a condition that counts as met, such as the claim of a retest, because
the answer to another write was taken as that to this one.
"""

import asyncio

import pytest

from chestnuthall.adapters.http import HttpServer
from chestnuthall.adapters.objectapi import HttpObjectStore
from chestnuthall.core.results import STORE_UNAVAILABLE, STORE_WRITE_UNKNOWN
from chestnuthall.platform._instance import DIALECT
from chestnuthall.platform.tests.standins import LOOPBACK, json_response
from chestnuthall.ports import StoredObject
from chestnuthall.services._quarantine_records import QUARANTINE_KIND

TIMEOUT_MS = 1_000.0


def create(store):
    return store.create(QUARANTINE_KIND, "f", "{}", TIMEOUT_MS)


def update(store):
    return store.update(QUARANTINE_KIND, "f", "{}", 7, TIMEOUT_MS)


def get(store):
    return store.get(QUARANTINE_KIND, "f", TIMEOUT_MS)


# (case, call, name and revision in the answer, kind of failure or None)
ANSWERS = [
    ("created", create, "f", 8, None),
    ("created, another object", create, "g", 8, STORE_WRITE_UNKNOWN),
    ("updated", update, "f", 8, None),
    ("updated without a change", update, "f", 7, None),
    ("updated, another object", update, "g", 8, STORE_WRITE_UNKNOWN),
    ("updated, an earlier write", update, "f", 6, STORE_WRITE_UNKNOWN),
    ("read", get, "f", 3, None),
    ("read, another object", get, "g", 3, STORE_UNAVAILABLE),
]


@pytest.mark.parametrize(
    ("call", "name", "revision", "kind"),
    [case[1:] for case in ANSWERS],
    ids=[case[0] for case in ANSWERS],
)
def test_answer_about_another_object_is_no_result(call, name, revision, kind):
    """The result of a write must not be taken from another one."""

    async def respond(request):
        meta = {"Name": name, "Revision": revision}
        return json_response({"meta": meta, "spec": {}})

    async def scenario():
        server = HttpServer(respond)
        port = await server.start(LOOPBACK, 0)
        store = HttpObjectStore(f"{LOOPBACK}:{port}", DIALECT)
        result = await call(store)
        store.close()
        await server.close()
        return result

    result = asyncio.run(scenario())
    if kind is None:
        assert isinstance(result, StoredObject)
    else:
        assert result.kind is kind
