"""Keeps the connections to upstreams within this instance's part of their caps."""

from collections.abc import Callable

from chestnuthall.core.routing import N_INSTANCES_ASSUMED, ConnectionShare
from chestnuthall.ports import Clock, ShardCaller
from chestnuthall.services._configuration import ConfigurationKeeper

OBSERVE_INTERVAL_MS = 500.0


class ConnectionBudgets:
    """Divides each upstream's cap over the instances as they come and go.

    ``n_instances`` returns None until it is known, and at the start as many as
    ``n_assumed`` are assumed. ``n_near`` returns how many are in the zone of this
    one, or None where all zones share alike.
    """

    def __init__(
        self,
        caller: ShardCaller,
        clock: Clock,
        configuration: ConfigurationKeeper,
        n_instances: Callable[[], int | None],
        n_assumed: int = N_INSTANCES_ASSUMED,
        n_near: Callable[[], int | None] = lambda: None,
    ) -> None:
        self._n_near = n_near
        self._n_assumed = n_assumed
        self._caller = caller
        self._clock = clock
        self._configuration = configuration
        self._n_instances = n_instances
        self._share: ConnectionShare | None = None
        configuration.on_change(lambda _: self.divide())

    def divide(self) -> None:
        """Set the budgets for the instances known now."""
        n_instances = self._n_instances()
        in_force = self._configuration.in_force
        if n_instances is None or in_force is None:
            return
        share = self._observe(n_instances)
        n_near = self._n_near()
        for group in in_force.document.groups:
            budget = share.budget(group.n_connections_max)
            kept_ratio = share.kept_ratio(group.n_connections_max)
            near = None
            if n_near is not None:
                near = share.near_budget(group.n_connections_max, n_near)
            self._caller.set_connection_budget(group.name, budget, kept_ratio, near)

    def _observe(self, n_instances: int) -> ConnectionShare:
        now_ms = self._clock.now_ms()
        if self._share is None:
            self._share = ConnectionShare(now_ms, max(n_instances, self._n_assumed))
        self._share.observe(n_instances, now_ms)
        return self._share

    async def run(self) -> None:
        """Follow the number of instances until cancelled."""
        while True:
            self.divide()
            await self._clock.sleep_ms(OBSERVE_INTERVAL_MS)
