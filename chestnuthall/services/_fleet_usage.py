"""Exchanges usage between instances and sets this instance's slot quotas."""

from collections.abc import Callable
from dataclasses import asdict, replace
from itertools import islice

from chestnuthall.core.admission import (
    DemandHistory,
    UsageLedger,
    UsageReport,
    demand_fraction,
)
from chestnuthall.ports import ClassUse, Clock, MemberUpdate, PeerDigest
from chestnuthall.services._admission import Admissions

UPDATE_INTERVAL_MS = 250.0
# An instance without a report for this long is counted with the average demand.
REPORT_MAX_AGE_MS = 5_000.0
RETENTION_MS = 30_000.0
# Maximum number of usage entries of a digest. An entry takes about 66 bytes on the
# wire, so a digest carries at most 1.9 KB of usage, whatever the size of the fleet.
# 9 instances with three classes in one group need 27 entries.
N_USES_MAX = 28


class FleetUsageExchange:
    """Exchanges the service that each class received on each instance.

    A digest contains the usage of this instance first, then the latest reports of
    other instances, so that reports also reach instances that do not exchange
    digests directly.

    Single entries do not scale to 1,900 instances: they would take 125 KB for each
    class and group, and only 28 of them fit. Such a fleet needs one entry per zone:
    an instance named after the zone, whose cost is the sum over its members and
    whose incarnation changes with them. 11 zones and three classes take 33 entries
    per group. ``_relayed_uses`` is the method that would send those sums.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        admissions: Admissions,
        read_members: Callable[[], tuple[MemberUpdate, ...]],
    ) -> None:
        self._name = name
        self._clock = clock
        self._admissions = admissions
        self._read_members = read_members
        self._ledger = UsageLedger()
        # The start time distinguishes a restarted instance from its predecessor.
        self._incarnation = int(clock.wall_ms())
        self._started_ms = clock.now_ms()
        self._histories: dict[tuple[str, str | None], DemandHistory] = {}

    def add_to(self, digest: PeerDigest) -> PeerDigest:
        """Return the digest with own usage and the latest reports of others added."""
        own = self._own_uses()
        n_free = max(0, N_USES_MAX - len(own))
        uses = (*own[:N_USES_MAX], *islice(self._relayed_uses(), n_free))
        return replace(digest, uses=digest.uses + uses)

    def _own_uses(self) -> list[ClassUse]:
        now_ms = self._clock.now_ms()
        # The sequence is the elapsed time, so that instances that receive a relayed
        # report can date it.
        sequence = int(now_ms - self._started_ms)
        return [
            ClassUse(
                instance=self._name,
                incarnation=self._incarnation,
                sequence=sequence,
                group=group,
                class_name=class_name,
                served_cost=served_cost,
                demand_cost=admission.offered.cost(class_name, now_ms),
            )
            for group, admission in self._admissions.items()
            for class_name, served_cost in admission.served_cost.items()
        ]

    def _relayed_uses(self) -> list[ClassUse]:
        return [ClassUse(**asdict(report)) for report in self._ledger.newest_reports()]

    def receive(self, digest: PeerDigest) -> None:
        """Count the service in a peer's digest that was not counted before."""
        now_ms = self._clock.now_ms()
        admissions = dict(self._admissions.items())
        for use in digest.uses:
            if use.instance == self._name:
                continue
            added_cost = self._ledger.record(UsageReport(**asdict(use)), now_ms)
            admission = admissions.get(use.group)
            if admission is not None and added_cost > 0.0:
                admission.on_fleet_use(use.class_name, added_cost)

    def update_quotas(self) -> None:
        """Set this instance's quota of each group from the known demand."""
        now_ms = self._clock.now_ms()
        members = frozenset(member.name for member in self._read_members())
        self._ledger.remove_stale(members, now_ms - RETENTION_MS)
        for group, admission in self._admissions.items():
            costs = admission.offered.by_class(now_ms)
            n_instances = 1 + len(members)
            quota_ratio = self._demand_ratio(
                group, None, sum(costs.values()), n_instances
            )
            class_demand_ratios = tuple(
                (name, self._demand_ratio(group, name, cost, n_instances))
                for name, cost in costs.items()
            )
            admission.set_quota(quota_ratio, class_demand_ratios)
            for name, cost in costs.items():
                other_instances_cost = self._other_instances_cost(
                    group, name, n_instances
                )
                admission.on_fleet_demand(name, cost + other_instances_cost)

    def _other_instances_cost(
        self, group: str, class_name: str, n_instances: int
    ) -> float:
        """Return the demand on the other instances.

        Instances without a recent report are counted with the average demand.
        """
        since_ms = self._clock.now_ms() - REPORT_MAX_AGE_MS
        demand = self._ledger.demand_by_instance(group, since_ms, class_name)
        known_cost = sum(item.cost for item in demand.values())
        return known_cost * (n_instances - 1) / len(demand) if demand else 0.0

    def _demand_ratio(
        self, group: str, class_name: str | None, own_cost: float, n_instances: int
    ) -> float:
        now_ms = self._clock.now_ms()
        history = self._histories.setdefault((group, class_name), DemandHistory())
        history.add(self._incarnation + now_ms - self._started_ms, own_cost)
        since_ms = now_ms - REPORT_MAX_AGE_MS
        demand = self._ledger.demand_by_instance(group, since_ms, class_name)
        return demand_fraction(history, demand.values(), n_instances)

    async def run(self) -> None:
        """Update quotas and limits until cancelled."""
        while True:
            self.update_quotas()
            self._admissions.adapt()
            await self._clock.sleep_ms(UPDATE_INTERVAL_MS)
