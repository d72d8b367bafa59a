"""Guards the quotas of instances that do not exchange their demand.

The tests fail if slow replicas get more calls in flight from the whole fleet than they
have slots, or if their slots stay idle.
"""

import asyncio

import pytest

from chestnuthall.services import Admissions, EqualQuotas
from chestnuthall.services.tests.test_fleet_usage import VirtualClock, make_document
from chestnuthall.standins.virtual_time import run_virtual

REPLICAS = [f"r{number}" for number in range(9)]
N_ADAPTATIONS = 30


def observe(admission, latency_ms, utilisation_ratio):
    """Adapt the limit to calls that all take equally long."""
    for _ in range(N_ADAPTATIONS):
        for name in REPLICAS:
            admission._limit.observe_answer(name, latency_ms)
        admission._limit.adapt(utilisation_ratio)
    admission._apply_limit()


# (case, instances, slots of the group)
FLEETS = [("one", 1, 90.0), ("few", 9, 90.0), ("many", 58, 432.0), ("small", 58, 20.0)]


@pytest.mark.parametrize(
    ("n_instances", "slots_cost"),
    [case[1:] for case in FLEETS],
    ids=[case[0] for case in FLEETS],
)
def test_fleet_uses_the_slots_of_slow_replicas(n_instances, slots_cost):
    """The quotas overlap, so a limit of each quota's slots would be several times."""

    async def scenario():
        clock = VirtualClock()
        admissions = Admissions(clock)
        document = make_document()
        admission = admissions.of(document, document.groups[0], slots_cost)
        quotas = EqualQuotas(clock, admissions, lambda: n_instances)
        task = asyncio.get_running_loop().create_task(quotas.run())
        await clock.sleep_ms(1.0)
        observe(admission, 20.0, 0.1)
        observe(admission, 400.0, 1.0)
        task.cancel()
        return admission.limit_cost

    fleet_cost = n_instances * run_virtual(scenario())
    # Instances below the least ratio of the limit use a little more.
    assert fleet_cost <= 1.01 * max(slots_cost, 0.3 * 4.0 * n_instances)
    assert fleet_cost >= 0.99 * slots_cost
