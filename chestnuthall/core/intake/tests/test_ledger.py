"""Tests what clients may hold together.

Guards against limits of single connections that add up to more than the memory.
"""

import pytest

from chestnuthall.core.intake import ConnectionState, MemoryLedger, plan_intake

RECEIVING, RUNNING, SENDING = ConnectionState
# (case, holdings, connection to drop at a limit of 100 bytes)
HOLDINGS = [
    ("within the limit", [("a", RECEIVING, 60), ("b", SENDING, 40)], None),
    ("largest message", [("a", RECEIVING, 60), ("b", RECEIVING, 50)], "a"),
    ("largest unread response", [("a", SENDING, 60), ("b", RECEIVING, 50)], "a"),
    ("running request is kept", [("a", RUNNING, 90), ("b", RECEIVING, 20)], "b"),
    ("only running requests", [("a", RUNNING, 90), ("b", RUNNING, 20)], None),
    ("earliest of equal ones", [("a", SENDING, 60), ("b", SENDING, 60)], "a"),
    ("replaced holding", [("a", RECEIVING, 90), ("a", RECEIVING, 10)], None),
]


@pytest.mark.parametrize(
    ("holdings", "dropped"), [x[1:] for x in HOLDINGS], ids=[x[0] for x in HOLDINGS]
)
def test_largest_holder_without_a_running_request_is_dropped(holdings, dropped):
    ledger = MemoryLedger(100)
    for holder, state, n_bytes in holdings:
        ledger.set(holder, state, n_bytes)
    assert ledger.excess() == dropped


# (case, bytes of running requests, bytes of another one, whether it may run)
REQUESTS = [
    ("nothing runs", [], 1_000, True),
    ("room", [20], 30, True),
    ("no room", [20], 31, False),
    ("no room for a small one", [50], 1, False),
]


@pytest.mark.parametrize(
    ("running", "n_bytes", "may_run"),
    [x[1:] for x in REQUESTS],
    ids=[x[0] for x in REQUESTS],
)
def test_requests_run_in_half_of_the_memory(running, n_bytes, may_run):
    ledger = MemoryLedger(100)
    for index, n_running_bytes in enumerate(running):
        ledger.set(index, RUNNING, n_running_bytes)
    assert ledger.may_run("new", n_bytes) == may_run
    for index in range(len(running)):
        ledger.remove(index)
    assert ledger.n_bytes == 0
    assert ledger.may_run("new", n_bytes)


MB = 1024 * 1024


@pytest.mark.parametrize("memory_mb", [32, 96, 128, 160, 200, 300, 552, 4_096])
@pytest.mark.parametrize("n_descriptors", [256, 600, 1_024, 4_100, 8_192])
def test_plan_leaves_memory_and_descriptors_to_the_process(memory_mb, n_descriptors):
    plan = plan_intake(memory_mb * MB, n_descriptors)
    n_bytes = plan.n_client_bytes_max + plan.n_response_bytes_max
    assert n_bytes <= 0.75 * max(16 * MB, (memory_mb - 64) * MB)
    assert plan.n_connections_max >= 1
    n_sockets = 2 * plan.n_connections_max + 2 * plan.n_service_connections_max
    assert n_sockets <= max(0.67 * (n_descriptors - 200), 34)


# The machines of the deployments: memory in MB, descriptors.
MACHINES = [(160, 4_100), (200, 4_100), (300, 4_100), (552, 8_192)]


@pytest.mark.parametrize(("memory_mb", "n_descriptors"), MACHINES)
def test_clients_inside_the_limits_do_not_meet_them(memory_mb, n_descriptors):
    """Callers of a whole site at one instance, and one peer for each other one."""
    plan = plan_intake(memory_mb * MB, n_descriptors)
    assert plan.n_connections_max >= 1_000
    n_search_bytes = 20 * 1024
    assert plan.n_client_bytes_max / 2 >= 1_000 * n_search_bytes
