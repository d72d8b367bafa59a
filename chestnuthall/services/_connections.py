"""Limits the connections to upstreams to this instance's budget."""

from collections.abc import Callable

from chestnuthall.core.routing import N_INSTANCES_ASSUMED, ConnectionShare
from chestnuthall.ports import Clock, ShardCaller
from chestnuthall.services._configuration import ConfigurationKeeper

OBSERVE_INTERVAL_MS = 500.0


class ConnectionBudgets:
    """Divides the connection cap of each upstream over the current instances.

    ``n_instances`` returns None while the number is unknown, and the initial number
    is at least ``n_assumed``. ``n_near`` returns the number of instances in the zone
    of this one, or None if the budget does not depend on the zone.
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
        """Set the budgets for the current number of instances."""
        n_instances = self._n_instances()
        in_force = self._configuration.in_force
        if n_instances is None or in_force is None:
            return
        share = self._observe(n_instances)
        n_near = self._n_near()
        for group in in_force.document.groups:
            budget = share.budget(group.n_connections_max)
            kept_ratio = share.kept_ratio(group.n_connections_max)
            n_connections_in_zone = None
            if n_near is not None:
                n_connections_in_zone = share.near_budget(
                    group.n_connections_max, n_near
                )
            self._caller.set_connection_budget(
                group.name, budget, kept_ratio, n_connections_in_zone
            )

    def _observe(self, n_instances: int) -> ConnectionShare:
        now_ms = self._clock.now_ms()
        if self._share is None:
            self._share = ConnectionShare(now_ms, max(n_instances, self._n_assumed))
        self._share.observe(n_instances, now_ms)
        return self._share

    async def run(self) -> None:
        """Update the budgets periodically until cancelled."""
        while True:
            self.divide()
            await self._clock.sleep_ms(OBSERVE_INTERVAL_MS)
