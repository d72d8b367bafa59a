"""Tests the translation of the platform's store, registrations and configurations.

Guards against invalid objects that are used or hide valid ones, and against writes
that are reported as not done although they may have taken effect.
"""

import json

import pytest

from chestnuthall.adapters.http import HttpResponse
from chestnuthall.core.results import Failure
from chestnuthall.platform._configuration import read_configuration
from chestnuthall.platform._dialect import SINGLETON_NAME, PlatformDialect
from chestnuthall.platform._instance import DIALECT
from chestnuthall.platform._registrations import read_registration
from chestnuthall.ports import StoredObject
from chestnuthall.services._configuration import ENVIRONMENT_KIND

KIND = "registrations"


def response(status, body=None):
    return HttpResponse(status, {}, b"" if body is None else json.dumps(body).encode())


def stored_object(name, revision=5, spec="x"):
    meta = {"Name": name, "Revision": revision, "Created": 1, "Finalizers": []}
    return {"meta": meta, "spec": spec, "status": None}


# (case, method of the dialect, arguments, HTTP method, target, body)
REQUESTS = [
    ("list", "list_kind", (KIND, ""), "GET", "/v1/objects/servers", None),
    (
        "next page",
        "list_kind",
        (KIND, "i-7"),
        "GET",
        "/v1/objects/servers?after=i-7",
        None,
    ),
    (
        "list that may be stale",
        "list_kind",
        ("instance-entries", ""),
        "GET",
        "/v1/objects/chestnuthall-instances?AllowStale=1",
        None,
    ),
    (
        "singleton",
        "get",
        (ENVIRONMENT_KIND, SINGLETON_NAME),
        "GET",
        "/v1/objects/config",
        None,
    ),
    ("object", "get", ("k", "a/b"), "GET", "/v1/objects/k/a%2Fb", None),
    (
        "watch",
        "watch",
        (KIND, 530, 4_000.0),
        "GET",
        "/v1/objects/servers?Watch=530&WaitMs=4000",
        None,
    ),
    (
        "create",
        "create",
        ("k", "n", "{}"),
        "POST",
        "/v1/objects/k",
        {"meta": {"Name": "n"}, "spec": {}},
    ),
    (
        "update",
        "update",
        ("k", "n", "1", 7),
        "PUT",
        "/v1/objects/k/n",
        {"meta": {"Name": "n", "Revision": 7}, "spec": 1},
    ),
    (
        "delete",
        "delete",
        ("k", "n", 7),
        "DELETE",
        "/v1/objects/k/n?Revision=7",
        None,
    ),
]


@pytest.mark.parametrize(
    ("method_name", "arguments", "method", "target", "body"),
    [case[1:] for case in REQUESTS],
    ids=[case[0] for case in REQUESTS],
)
def test_encoded_requests(method_name, arguments, method, target, body):
    request = getattr(DIALECT, method_name)(*arguments)
    assert (request.method, request.target) == (method, target)
    assert (json.loads(request.body) if request.body else None) == body


def test_list_skips_invalid_entries_and_states_the_next_page():
    items = [stored_object("a"), {"meta": 3}, "junk", stored_object("b")]
    page = DIALECT.decode_list(
        KIND, response(200, {"items": items, "More": True, "At": 9})
    )
    assert [item.name for item in page.objects] == ["a", "b"]
    assert (page.next_cursor, page.version) == ("b", 9)
    assert page.objects[0].seen_version == 9


def test_watch_keeps_the_last_event_of_each_object():
    events = [
        {"Object": stored_object("a", 6), "Deleted": False},
        {"Object": stored_object("b", 7), "Deleted": False},
        {"Object": stored_object("a", 8), "Deleted": True},
        {"Object": stored_object("b", 9, "y"), "Deleted": False},
        {"Object": None},
    ]
    batch = DIALECT.decode_watch(KIND, response(200, {"events": events, "At": 9}))
    assert [(item.name, item.version) for item in batch.changed] == [("b", 9)]
    assert (batch.deleted_names, batch.version) == (("a",), 9)


# (case, method of the dialect, status, body, kind of failure)
FAILURES = [
    ("history trimmed", "decode_watch", 410, None, "HISTORY_TRIMMED"),
    ("unavailable", "decode_watch", 503, None, "STORE_UNAVAILABLE"),
    ("too many calls", "decode_list", 429, None, "RATE_LIMITED"),
    ("not a list", "decode_list", 200, {"x": 1}, "STORE_UNAVAILABLE"),
    ("create of an existing object", "decode_write", 409, None, "OBJECT_CONFLICT"),
    ("refused write", "decode_write", 503, None, "STORE_UNAVAILABLE"),
    ("write with an invalid response", "decode_write", 200, {}, "STORE_WRITE_UNKNOWN"),
]


@pytest.mark.parametrize(
    ("method", "status", "body", "kind"),
    [case[1:] for case in FAILURES],
    ids=[case[0] for case in FAILURES],
)
def test_decoded_failures(method, status, body, kind):
    """A write that may have taken effect must not be reported as not done."""
    result = getattr(DIALECT, method)(KIND, response(status, body))
    assert result.kind.name == kind


def test_singleton_is_found_among_the_objects_of_its_kind():
    body = {
        "items": [stored_object("other"), stored_object("main", 3, {"v": 1})],
        "At": 12,
    }
    found = DIALECT.decode_object(ENVIRONMENT_KIND, SINGLETON_NAME, response(200, body))
    assert (found.name, found.value, found.seen_version) == (
        SINGLETON_NAME,
        '{"v": 1}',
        12,
    )
    missing = PlatformDialect(singleton_names={"k": "main"}).decode_object(
        "k", SINGLETON_NAME, response(200, {"items": [], "At": 12})
    )
    assert missing.kind.name == "OBJECT_NOT_FOUND"


VALID_ENTRY = {
    "Service": "s",
    "Address": "10.1.2.3:80",
    "Zone": "z",
    "MaxConcurrency": 3,
    "State": "ready",
    "WarmupLeftMs": 0,
    "Sequence": 4,
    "born": 17,
    "Unknown": {},
}
# (case, changes to a valid entry, location of the problem or None)
ENTRIES = [
    ("valid", {}, None),
    ("no start time", {"born": ...}, None),
    ("no service", {"Service": ...}, "Service"),
    ("service of another type", {"Service": 7}, "Service"),
    ("slots as text", {"MaxConcurrency": "3"}, "MaxConcurrency"),
    ("no slots", {"MaxConcurrency": 0}, "MaxConcurrency"),
    ("unknown state", {"State": "odd"}, "State"),
    ("host name for an address", {"Address": "host:80"}, "Address"),
    ("start time as text", {"born": "17"}, "born"),
]


@pytest.mark.parametrize(
    ("changes", "location"),
    [case[1:] for case in ENTRIES],
    ids=[case[0] for case in ENTRIES],
)
def test_registrations(changes, location):
    """An invalid entry must neither be used nor prevent the use of others."""
    entry = {k: v for k, v in {**VALID_ENTRY, **changes}.items() if v is not ...}
    found = read_registration(StoredObject(KIND, "i-1", 1, json.dumps(entry)))
    if location is None:
        assert found.replica.n_slots == 3
        assert found.replica.incarnation == entry.get("born", 0)
    else:
        assert isinstance(found, Failure)
        assert location in found.reason


def test_registration_that_is_not_json_is_refused():
    found = read_registration(StoredObject(KIND, "i-1", 1, "\x00junk"))
    assert isinstance(found, Failure)


DOCUMENT = {
    "Version": 7,
    "Routes": [
        {
            "Name": "sweep",
            "Hostname": "H.example",
            "PathPrefix": "/a/",
            "Kind": "idempotent",
            "TimeoutMs": 800,
            "TargetLatencyMs": 183,
            "Priority": 1,
            "Gather": ["s1", "s2"],
            "MaxAttempts": 2,
            "TopK": 50,
            "MinShardShare": 0.89,
        },
        {
            "Name": "hold",
            "Hostname": "h.example",
            "PathPrefix": "/b/",
            "Kind": "non_idempotent",
            "TimeoutMs": 4000,
            "TargetLatencyMs": 600,
            "Priority": 2,
            "TrafficSplit": [
                {"Service": "t1", "Weight": 3},
                {"Service": "t2", "Weight": 1},
            ],
            "MaxAttempts": 1,
        },
    ],
    "Services": [
        {"Name": name, "HealthPath": "/health", "MaxConns": 31}
        for name in ("s1", "s2", "t1", "t2")
    ],
    "Limits": {"MaxHeaderBytes": 16384},
}


def test_configuration_is_decoded_to_routes_classes_and_groups():
    configuration = read_configuration(json.dumps(DOCUMENT))
    document = configuration.document
    assert configuration.revision == 7
    sweep = document.routes.match("h.example", "/a/x")
    hold = document.routes.match("h.example", "/b/x")
    assert sweep.merge.n_records_max == 50
    assert sweep.is_repeatable
    assert not hold.is_repeatable
    assert [(x.group, x.weight) for x in hold.targets] == [("t1", 3.0), ("t2", 1.0)]
    assert document.find_group(sweep.targets[0].group).shard_ids == ("s1", "s2")
    assert document.find_group("t1").shard_ids == ("t1",)
    caller_class = document.find_class(sweep.class_name)
    assert caller_class.coverage_floor_ratio == 0.89
    assert caller_class.soft_deadline_ms < 183 < caller_class.deadline_ms
    assert caller_class.urgency > document.find_class(hold.class_name).urgency


def test_same_shards_in_another_order_are_the_same_group():
    """A new group would start without latency and admission history."""
    other = json.loads(json.dumps(DOCUMENT))
    other["Routes"][0]["Gather"].reverse()
    groups = [
        read_configuration(json.dumps(item)).document.routes.routes[0].targets
        for item in (DOCUMENT, other)
    ]
    assert groups[0] == groups[1]


@pytest.mark.parametrize(
    "text", ["", "[]", "{}", '{"Version": "x"}', '{"Version": 1, "Routes": [{}]}']
)
def test_invalid_configuration_is_refused(text):
    assert isinstance(read_configuration(text), Failure)
