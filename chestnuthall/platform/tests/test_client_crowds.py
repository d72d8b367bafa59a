"""Tests of a process that crowds of misbehaving clients meet, on real sockets.

Guards against a process that ends for want of memory or descriptors, or that no longer
answers others. Nothing depends on the speed of the machine.
"""

import asyncio

import pytest

from chestnuthall.platform.tests.crowds import (
    MEMORY_MB,
    N_SOCKETS_MAX,
    CrowdedDeployment,
)
from chestnuthall.standins.crowds import (
    MB,
    N_BODY_BYTES_MAX,
    USUAL_HEADERS,
    Crowd,
    ahead,
    once,
    silent,
    unfinished_body,
    unfinished_chunks,
    unfinished_head,
)

N_SMALL_CROWD = 60
# Fewer than the sockets that the process may have, and more.
N_MEDIUM_CROWD = 360
N_LARGE_CROWD = 420
BODY = b"x" * (N_BODY_BYTES_MAX - 1024)
MANY_HEADERS = b"".join(b"a%d:b\r\n" % index for index in range(1_900))
SMALL_CHUNKS = b"2\r\nxy\r\n" * (N_BODY_BYTES_MAX // 2) + b"0\r\n\r\n"
# A search for some of the shards, as instances send it to each other.
PEER_SEARCH = USUAL_HEADERS + (
    b"x-chestnuthall-shards: u\r\nx-chestnuthall-revision: 1\r\n"
    b"x-chestnuthall-missing-max: 0\r\n"
)
PATHS = {
    "caller": b"/fetch/1",
    "ready": b"/v1/ready",
    "metrics": b"/metrics",
    "peer": b"/v1/feeds/config",
}
# (case, what each member sends to a path, number of members)
CROWDS_AT_EACH_LISTENER = [
    ("ahead without the usual headers", ahead, N_SMALL_CROWD),
    (
        "ahead with the usual headers",
        lambda path: ahead(path, headers=USUAL_HEADERS),
        N_SMALL_CROWD,
    ),
    (
        "ahead with bodies",
        lambda path: ahead(path, headers=USUAL_HEADERS, body=BODY),
        N_SMALL_CROWD,
    ),
    ("ahead at no route", lambda path: ahead(b"/none/1"), N_SMALL_CROWD),
    (
        "ahead with many headers",
        lambda path: ahead(path, headers=USUAL_HEADERS + MANY_HEADERS),
        N_SMALL_CROWD,
    ),
    ("unfinished heads", unfinished_head, N_MEDIUM_CROWD),
    ("unfinished bodies", unfinished_body, N_MEDIUM_CROWD),
    ("unfinished small chunks", unfinished_chunks, N_SMALL_CROWD),
    ("unfinished heads, past the limit", unfinished_head, N_LARGE_CROWD),
    ("unfinished bodies, past the limit", unfinished_body, N_LARGE_CROWD),
    ("silent", lambda path: silent(), N_LARGE_CROWD),
    ("ahead, past the limit", ahead, N_LARGE_CROWD),
]
# (case, listener, what each member sends, number of members)
OTHER_CROWDS = [
    (
        "no route, with the usual headers",
        "caller",
        ahead(b"/none/1", headers=USUAL_HEADERS),
        N_SMALL_CROWD,
    ),
    (
        "bodies of requests that run",
        "caller",
        once(b"/slow/1", body=BODY),
        N_MEDIUM_CROWD,
    ),
    (
        "bodies of searches that run",
        "caller",
        once(b"/hold/1", body=BODY),
        N_MEDIUM_CROWD,
    ),
    (
        "heads of requests that run",
        "caller",
        once(b"/slow/1", headers=USUAL_HEADERS + MANY_HEADERS),
        N_MEDIUM_CROWD,
    ),
    (
        "large answers",
        "caller",
        ahead(b"/large/1", headers=USUAL_HEADERS),
        N_SMALL_CROWD,
    ),
    (
        "one large answer each",
        "caller",
        once(b"/large/1"),
        N_MEDIUM_CROWD,
    ),
    (
        "bodies of searches for peers",
        "peer",
        once(b"/hold/1", headers=PEER_SEARCH, body=BODY),
        N_MEDIUM_CROWD,
    ),
    (
        "requests that run, past the limit",
        "caller",
        once(b"/slow/1"),
        N_LARGE_CROWD,
    ),
    (
        "bodies of requests that run, past the limit",
        "caller",
        once(b"/slow/1", body=BODY),
        N_LARGE_CROWD,
    ),
]
CROWDS = [
    (f"{listener}: {case}", listener, make_sending(path), n_members)
    for listener, path in PATHS.items()
    for case, make_sending, n_members in CROWDS_AT_EACH_LISTENER
] + [(f"{item[1]}: {item[0]}", *item[1:]) for item in OTHER_CROWDS]


@pytest.mark.processes
@pytest.mark.parametrize(
    ("listener", "sending", "n_members"),
    [case[1:] for case in CROWDS],
    ids=[case[0] for case in CROWDS],
)
def test_process_outlives_a_crowd_and_serves_others(
    tmp_path, listener, sending, n_members
):
    """A crowd within the limits of each connection ended the process."""

    async def scenario():
        deployment = CrowdedDeployment(tmp_path)
        crowd = None
        try:
            await deployment.start()
            process = deployment.process
            watch = process.watch
            crowd = Crowd(watch, process.ports[listener], sending, n_members)
            await crowd.act()
            print(crowd.describe())
            assert process.is_alive, process.log.read_text()[-2_000:]
            assert watch.n_bytes_peak <= MEMORY_MB * MB
            assert watch.n_sockets_peak <= N_SOCKETS_MAX
            await deployment.check_ordinary_clients(may_be_unready=True)
            await crowd.leave()
            await deployment.check_ordinary_clients()
            assert watch.n_bytes_peak <= MEMORY_MB * MB
            assert watch.n_sockets_peak <= N_SOCKETS_MAX
        finally:
            if crowd is not None:
                await crowd.leave()
            await deployment.close()

    asyncio.run(scenario())


# (case, method and path, further headers, body)
SINGLE_REQUESTS = [
    ("largest body", b"POST /fetch/1", b"", b"x" * N_BODY_BYTES_MAX),
    ("largest body of a search", b"POST /sweep/1", b"", b"x" * N_BODY_BYTES_MAX),
    ("many headers", b"GET /fetch/1", MANY_HEADERS, b""),
    ("many headers of a search", b"GET /sweep/1", MANY_HEADERS, b""),
    ("small chunks", b"POST /fetch/1", b"transfer-encoding: chunked\r\n", SMALL_CHUNKS),
    ("large answer", b"GET /large/1", b"", b""),
]


@pytest.mark.processes
def test_single_requests_inside_the_limits_are_served(tmp_path):
    """In calm, no limit on what clients hold together may refuse one of them.

    The metrics page answered 500 in a process that had blocked the import of OpenSSL.
    """

    async def scenario():
        deployment = CrowdedDeployment(tmp_path)
        statuses = {}
        try:
            await deployment.start()
            for case, line, headers, body in SINGLE_REQUESTS:
                statuses[case] = await deployment.ask_once(line, headers, body)
            await deployment.check_ordinary_clients()
        finally:
            await deployment.close()
        return statuses

    assert asyncio.run(scenario()) == {item[0]: 200 for item in SINGLE_REQUESTS}
