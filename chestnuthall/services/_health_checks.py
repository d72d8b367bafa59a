"""Runs the health checks of replicas, divided over the instances."""

import asyncio
from random import Random

from chestnuthall.core.drains import DrainSignal
from chestnuthall.core.model import Replica
from chestnuthall.core.results import CONNECTION_REFUSED, Failure
from chestnuthall.core.routing import HashRing
from chestnuthall.ports import Clock, ReplicaHealth
from chestnuthall.services._directory import Directory
from chestnuthall.services._drain_news import DrainExchange
from chestnuthall.services._membership import Membership

# With 13,000 replicas and 1,900 instances, each instance checks 7 replicas, which is
# 1.4 checks per second.
CHECK_INTERVAL_MS = 5_000.0
DRAINED_CHECK_INTERVAL_MS = 1_000.0
HEALTH_TIMEOUT_MS = 500.0
# Number of look-ups in the hash ring between two yields to the event loop.
N_LOOKUPS_PER_YIELD = 500
# Each drained replica is checked by two instances, so that the end of its drain is
# detected even if one of them fails.
N_CHECKERS_OF_DRAINED = 2


class HealthChecks:
    """Checks the replicas that the hash ring assigns to this instance."""

    def __init__(
        self,
        health: ReplicaHealth,
        directory: Directory,
        drains: DrainExchange,
        membership: Membership,
        clock: Clock,
        random: Random,
    ) -> None:
        self._health = health
        self._directory = directory
        self._drains = drains
        self._membership = membership
        self._clock = clock
        self._random = random

    async def run(self) -> None:
        """Check replicas until cancelled."""
        await asyncio.gather(self._run_all(), self._run_drained())

    async def _run_all(self) -> None:
        while True:
            own_replicas = await self._select_own(tuple(self._directory.replicas()), 1)
            for group, replica in own_replicas:
                # The checks are distributed evenly over the interval.
                await self._clock.sleep_ms(CHECK_INTERVAL_MS / len(own_replicas))
                await self._check(group, replica)
            if not own_replicas:
                await self._clock.sleep_ms(CHECK_INTERVAL_MS)

    async def _run_drained(self) -> None:
        while True:
            jitter = self._random.uniform(0.9, 1.1)
            await self._clock.sleep_ms(DRAINED_CHECK_INTERVAL_MS * jitter)
            self._drains.reapply()
            names = {notice.replica_name for notice in self._drains.active_notices()}
            if names:
                await self._check_drained(names)

    async def _check_drained(self, names: set[str]) -> None:
        drained = tuple(
            item for item in self._directory.replicas() if item[1].name in names
        )
        own_replicas = await self._select_own(drained, N_CHECKERS_OF_DRAINED)
        await asyncio.gather(
            *(self._check(group, item) for group, item in own_replicas)
        )

    async def _select_own(
        self, replicas: tuple[tuple[str, Replica], ...], n_checkers: int
    ) -> list[tuple[str, Replica]]:
        """Return the replicas that this instance has to check."""
        own_name = self._membership.identity.name
        peers = (member.name for member in self._membership.members())
        ring = HashRing([own_name, *peers])
        own_replicas = []
        for index, (group, replica) in enumerate(replicas):
            if own_name in ring.owners(replica.name, n_checkers):
                own_replicas.append((group, replica))
            if index % N_LOOKUPS_PER_YIELD == N_LOOKUPS_PER_YIELD - 1:
                await self._clock.sleep_ms(0.0)
        return own_replicas

    async def _check(self, group: str, replica: Replica) -> None:
        started_ms = self._clock.now_ms()
        result = await self._health.check_health(group, replica, HEALTH_TIMEOUT_MS)
        if self._drains.is_listed_leaving(replica.name):
            self._drains.on_signal(replica.name, DrainSignal.LIST)
        elif isinstance(result, Failure):
            if result.kind is CONNECTION_REFUSED:
                self._drains.on_signal(replica.name, DrainSignal.REFUSED)
        elif result:
            self._drains.on_signal(replica.name, DrainSignal.HEALTH)
        else:
            self._drains.on_recovered(replica.name, DrainSignal.HEALTH, started_ms)
