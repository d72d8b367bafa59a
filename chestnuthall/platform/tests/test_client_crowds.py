"""Tests of a process that crowds of misbehaving clients meet, on real sockets.

Nothing depends on the speed of the machine.
"""

import asyncio

import pytest

from chestnuthall.platform.tests.crowds.deployment import CrowdedDeployment
from chestnuthall.platform.tests.crowds.members import N_BODY_BYTES_MAX

MANY_HEADERS = b"".join(b"a%d:b\r\n" % index for index in range(1_900))
SMALL_CHUNKS = b"2\r\nxy\r\n" * (N_BODY_BYTES_MAX // 2) + b"0\r\n\r\n"
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
