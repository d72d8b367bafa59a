"""Exchange of use between instances, and this instance's part of the slots."""

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
# Longer silence than this makes an instance count with the average demand.
FRESH_MS = 5_000.0
FORGET_MS = 30_000.0
# Entries of one digest. Each takes about 66 bytes on the wire, so a digest
# carries at most 1.9 KB of use, whatever the size of the fleet. At 9 instances
# with three classes in one group, 27 entries tell everything.
N_USES_MAX = 28


class FleetUsageExchange:
    """News about the service that each class received on each instance.

    Own use goes first into a digest, then the latest news of others, which is
    how news reaches instances that do not exchange digests directly.

    At 1,900 instances single entries would take 125 KB for each class and
    group, and only 28 of them fit. There one entry per zone takes their place:
    a zone is an instance of that name, whose cost is the sum over its members
    and whose incarnation changes with them, so 11 zones and three classes take
    33 entries per group. ``_relayed`` is the place to pass on those sums.
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
        # The start time tells a restarted instance from its predecessor.
        self._incarnation = int(clock.wall_ms())
        self._started_ms = clock.now_ms()
        self._histories: dict[tuple[str, str | None], DemandHistory] = {}

    def add_to(self, digest: PeerDigest) -> PeerDigest:
        """Return the digest with the own use and the latest news of others."""
        own = self._own_uses()
        room = max(0, N_USES_MAX - len(own))
        uses = (*own[:N_USES_MAX], *islice(self._relayed(), room))
        return replace(digest, uses=digest.uses + uses)

    def _own_uses(self) -> list[ClassUse]:
        now_ms = self._clock.now_ms()
        # Elapsed time as sequence dates the news for whoever hears it relayed.
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

    def _relayed(self) -> list[ClassUse]:
        return [ClassUse(**asdict(report)) for report in self._ledger.newest_reports()]

    def receive(self, digest: PeerDigest) -> None:
        """Count the service that a peer reports and was not counted before."""
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
        """Set this instance's part of each group from the demand known."""
        now_ms = self._clock.now_ms()
        members = frozenset(member.name for member in self._read_members())
        self._ledger.forget(members, now_ms - FORGET_MS)
        for group, admission in self._admissions.items():
            costs = admission.offered.by_class(now_ms)
            n_instances = 1 + len(members)
            quota_ratio = self._demand_fraction(
                group, None, sum(costs.values()), n_instances
            )
            class_demand_ratios = tuple(
                (name, self._demand_fraction(group, name, cost, n_instances))
                for name, cost in costs.items()
            )
            admission.set_quota(quota_ratio, class_demand_ratios)
            for name, cost in costs.items():
                others_cost = self._others_cost(group, name, n_instances)
                admission.on_fleet_demand(name, cost + others_cost)

    def _others_cost(self, group: str, class_name: str, n_instances: int) -> float:
        """Return the demand at the others, taking silent ones for average."""
        since_ms = self._clock.now_ms() - FRESH_MS
        demand = self._ledger.demand_by_instance(group, since_ms, class_name)
        known_cost = sum(item.cost for item in demand.values())
        return known_cost * (n_instances - 1) / len(demand) if demand else 0.0

    def _demand_fraction(
        self, group: str, class_name: str | None, own_cost: float, n_instances: int
    ) -> float:
        now_ms = self._clock.now_ms()
        history = self._histories.setdefault((group, class_name), DemandHistory())
        history.add(self._incarnation + now_ms - self._started_ms, own_cost)
        since_ms = now_ms - FRESH_MS
        demand = self._ledger.demand_by_instance(group, since_ms, class_name)
        return demand_fraction(history, demand.values(), n_instances)

    async def run(self) -> None:
        """Keep parts and limits up to date until cancelled."""
        while True:
            self.update_quotas()
            self._admissions.adapt()
            await self._clock.sleep_ms(UPDATE_INTERVAL_MS)
