"""Tests registrations that another writer left among those of the replicas.

Guards against an entry that ends the process, or that keeps it from following the
others.
"""

import asyncio
import json

import pytest

from chestnuthall.core.results import Failure
from chestnuthall.platform._registrations import read_registration
from chestnuthall.platform.tests.standins import forward_route, open_deployment
from chestnuthall.ports import StoredObject

VALID = {
    "Service": "t",
    "Address": "127.0.0.1:9",
    "Zone": "a",
    "Version": "v1",
    "MaxConcurrency": 3,
    "State": "ready",
    "WarmupLeftMs": 0,
    "Sequence": 1,
    "born": 1,
}


def entry(name, raw):
    """Return a registration with the raw JSON text of one field."""
    return json.dumps(VALID | {name: "@"}).encode().replace(b'"@"', raw)


# (case, bytes of the entry as the store sends them)
ENTRIES = [
    ("deep list", b"[" * 5_000 + b"]" * 5_000),
    ("deep object", b'{"a":' * 100_000 + b"1" + b"}" * 100_000),
    ("deep field", entry("Zone", b"[" * 2_000 + b"]" * 2_000)),
    ("deep within the limit of the parser", entry("Zone", b"[" * 150 + b"]" * 150)),
    ("many digits", entry("MaxConcurrency", b"9" * 5_000)),
    ("large integer", entry("MaxConcurrency", b"9" * 400)),
    ("large float", entry("MaxConcurrency", b"1e999")),
    ("large start", entry("born", b"9" * 5_000)),
    ("negative start", entry("born", b"-9")),
    ("endless warm-up", entry("WarmupLeftMs", b"1e999")),
    ("no number", entry("WarmupLeftMs", b"NaN")),
    ("port out of range", entry("Address", b'"127.0.0.1:99999"')),
    ("port zero", entry("Address", b'"127.0.0.1:0"')),
    ("no address", entry("Address", b'"999.0.0.1:80"')),
    ("half an address", entry("Address", b'"1.2:80"')),
    ("half a surrogate pair", entry("Service", rb'"\ud800"')),
    ("invalid UTF-8", entry("Service", b'"\xff\xfe"')),
    ("other types", entry("State", b"[1]")),
    ("nothing", b"null"),
]


@pytest.mark.parametrize("is_listed", [True, False], ids=["listed", "changed"])
@pytest.mark.parametrize(
    "raw", [case[1] for case in ENTRIES], ids=[case[0] for case in ENTRIES]
)
def test_foreign_entry_names_no_replica_and_hides_no_other(raw, is_listed):
    """The replicas must stay in use, and later changes must be followed."""

    async def scenario():
        async with open_deployment() as deployment:
            store = deployment.store
            store.raw_specs["@foreign"] = raw
            first = await deployment.add_replica("t0", "t", b"body")
            if is_listed:
                store.put("servers", "i-foreign", "@foreign")
            deployment.configure(1, [forward_route("t")])
            await deployment.start()
            if not is_listed:
                store.put("servers", "i-foreign", "@foreign")
                await asyncio.sleep(0.1)
            statuses = [(await deployment.send("/fetch/x")).status for _ in range(3)]
            second = await deployment.add_replica("t1", "t", b"body")
            store.put("servers", "t0", first.entry(State="draining", Sequence=2))
            await deployment.wait_until(lambda: deployment.instance.is_ready())
            await deployment.wait_until(
                lambda: deployment.instance.directory.n_replicas == 2
            )
            await asyncio.sleep(0.3)
            statuses += [(await deployment.send("/fetch/x")).status for _ in range(3)]
            names = {
                item.replica.name
                for item in deployment.instance.directory.registrations()
            }
            return statuses, names, len(second.received)

    statuses, names, n_at_second = asyncio.run(scenario())
    assert statuses == [200] * 6
    assert names == {"t0", "t1"}
    assert n_at_second == 3


@pytest.mark.parametrize("name", ["t\r\nx: y", "t\0", "\ud800", "t\x7f"])
def test_name_that_cannot_be_sent_names_no_replica(name):
    """Each request for which such a replica was chosen ended with an error."""
    stored = StoredObject("servers", name, 1, json.dumps(VALID))
    assert isinstance(read_registration(stored), Failure)
