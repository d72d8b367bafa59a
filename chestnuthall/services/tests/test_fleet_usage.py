"""Guards the exchange of usage between instances, and admission across revisions."""

import asyncio

import pytest

from chestnuthall.core.model import (
    CallerClass,
    EnvironmentDocument,
    SearchRequest,
    UpstreamGroup,
)
from chestnuthall.ports import MemberUpdate, PeerDigest
from chestnuthall.services import Admissions, Admitted, FleetUsageExchange
from chestnuthall.services._fleet_usage import N_USES_MAX
from chestnuthall.standins.virtual_time import run_virtual


class VirtualClock:
    """The time of the event loop, with an offset for the wall time."""

    def __init__(self, wall_ms=1_000_000.0):
        self._wall_ms = wall_ms

    def now_ms(self):
        return asyncio.get_running_loop().time() * 1000.0

    def wall_ms(self):
        return self._wall_ms + self.now_ms()

    async def sleep_ms(self, duration_ms):
        await asyncio.sleep(duration_ms / 1000.0)


def make_document(n_slots=3):
    caller_class = CallerClass(
        name="clerk",
        share=1.0,
        urgency=0,
        coverage_floor_ratio=0.0,
        deadline_ms=1000.0,
    )
    group = UpstreamGroup(
        name="g", n_slots=n_slots, n_connections_max=9, connect_cost_ms=1.0
    )
    return EnvironmentDocument(classes=(caller_class,), groups=(group,))


def request(number, now_ms=0.0):
    return SearchRequest(
        request_id=f"q{number}",
        class_name="clerk",
        group="g",
        arrived_ms=now_ms,
        deadline_ms=now_ms + 1000.0,
        fingerprint="f",
        query="",
        n_hits_max=1,
    )


class Node:
    """One instance with the admission of one group."""

    def __init__(self, name, peers=("a", "b")):
        self.clock = VirtualClock()
        self.admissions = Admissions(self.clock)
        document = make_document()
        self.admission = self.admissions.of(document, document.groups[0], 40.0)
        members = tuple(MemberUpdate(x, x, "z", "alive", 0) for x in peers if x != name)
        self.exchange = FleetUsageExchange(
            name, self.clock, self.admissions, lambda: members
        )
        self.name = name

    def make_digest(self):
        digest = PeerDigest(
            sender=self.name,
            sender_address=self.name,
            incarnation=1,
            configuration_revision=1,
            configuration_digest="",
        )
        return self.exchange.add_to(digest)

    async def serve(self, n_queries, cost=10.0):
        for number in range(n_queries):
            admitted = await self.admission.acquire(
                request(number, self.clock.now_ms()), cost
            )
            assert isinstance(admitted, Admitted)
            await self.clock.sleep_ms(20.0)
            self.admission.release(admitted)

    def service(self):
        return self.admission._queue.queues["clerk"].normalised_service


async def receive_report_by_two_paths():
    a, b, c = (Node(name, ("a", "b", "c")) for name in "abc")
    await a.serve(1)
    for digest in (a.make_digest(), b.make_digest(), a.make_digest()):
        b.exchange.receive(digest)
        c.exchange.receive(digest)
    await a.serve(2)
    b.exchange.receive(a.make_digest())
    before = c.service()
    for digest in (b.make_digest(), a.make_digest(), b.make_digest()):
        c.exchange.receive(digest)
    return c.service() - before


async def receive_own_report():
    a, b = Node("a"), Node("b")
    await a.serve(1)
    before = a.service()
    for n_queries in (0, 2):
        await a.serve(n_queries)
        b.exchange.receive(a.make_digest())
        a.exchange.receive(b.make_digest())
    return a.service() - before


async def divide_skewed_demand():
    a, b = Node("a"), Node("b")
    await a.serve(30)
    await b.serve(1)
    for _ in range(2):
        a.exchange.update_quotas()
        b.exchange.update_quotas()
        a.exchange.receive(b.make_digest())
        b.exchange.receive(a.make_digest())
    a.exchange.update_quotas()
    b.exchange.update_quotas()
    return a.admission.limit_cost + b.admission.limit_cost


async def divide_without_reports():
    a = Node("a", ("a", "b", "c", "d"))
    a.exchange.update_quotas()
    return a.admission.limit_cost


async def reconfigure_with_queries():
    a = Node("a", ("a",))
    ticket = await a.admission.acquire(request(1), 100.0)
    waiter = asyncio.create_task(a.admission.acquire(request(2), 40.0))
    await asyncio.sleep(0)
    document = make_document(n_slots=9)
    a.admissions.reconfigure(document)
    admission = a.admissions.of(document, document.groups[0], 40.0)
    assert admission.n_running == 1
    assert not waiter.done()
    admission.release(ticket)
    return float(isinstance(await waiter, Admitted))


CASES = {
    "report_received_by_two_paths_counts_once": (receive_report_by_two_paths, 20.0),
    "own_report_relayed_by_a_peer_is_ignored": (receive_own_report, 20.0),
    "quotas_of_two_instances_sum_to_one_group": (divide_skewed_demand, 40.0),
    "slots_are_divided_equally_without_reports": (divide_without_reports, 10.0),
    "revision_keeps_queued_and_running_queries": (reconfigure_with_queries, 1.0),
}


@pytest.mark.parametrize(("case", "expected"), CASES.values(), ids=CASES.keys())
def test_exchange(case, expected):
    """Guards against usage counted twice or lost, and slots assigned twice."""
    assert run_virtual(case()) == pytest.approx(expected, rel=0.01)


def test_digest_size_is_limited():
    """Guards against digests whose size grows with the fleet."""

    async def fill_digest():
        names = [f"i{number}" for number in range(200)]
        hub = Node("hub", names)
        for name in names:
            node = Node(name, names)
            await node.serve(1)
            hub.exchange.receive(node.make_digest())
        return hub.make_digest()

    assert len(run_virtual(fill_digest()).uses) == N_USES_MAX
