"""Limits the connections to upstreams to this instance's budget."""

from collections.abc import Callable

from chestnuthall.core.routing import N_INSTANCES_ASSUMED, ConnectionBudget
from chestnuthall.ports import Clock, ShardCaller
from chestnuthall.services._configuration import ConfigurationManager

OBSERVE_INTERVAL_MS = 500.0


class ConnectionBudgets:
    """Divides the connection cap of each upstream over the current instances.

    ``n_instances`` returns None while the number is unknown, and the initial number
    is at least ``n_instances_assumed``. ``n_instances_in_zone`` returns the number of
    instances in the zone of this one, or None if the budget does not depend on the
    zone.
    """

    def __init__(
        self,
        caller: ShardCaller,
        clock: Clock,
        configuration: ConfigurationManager,
        n_instances: Callable[[], int | None],
        n_instances_assumed: int = N_INSTANCES_ASSUMED,
        n_instances_in_zone: Callable[[], int | None] = lambda: None,
    ) -> None:
        self._n_instances_in_zone = n_instances_in_zone
        self._n_instances_assumed = n_instances_assumed
        self._caller = caller
        self._clock = clock
        self._configuration = configuration
        self._n_instances = n_instances
        self._budget: ConnectionBudget | None = None
        configuration.add_listener(lambda _: self.update())

    def update(self) -> None:
        """Set the budgets for the current number of instances."""
        n_instances = self._n_instances()
        in_force = self._configuration.in_force
        if n_instances is None or in_force is None:
            return
        budget = self._observe(n_instances)
        n_instances_in_zone = self._n_instances_in_zone()
        for group in in_force.document.groups:
            n_connections = budget.n_connections(group.n_connections_max)
            connected_ratio = budget.connected_ratio(group.n_connections_max)
            n_connections_in_zone = None
            if n_instances_in_zone is not None:
                n_connections_in_zone = budget.n_connections_in_zone(
                    group.n_connections_max, n_instances_in_zone
                )
            self._caller.set_connection_budget(
                group.name, n_connections, connected_ratio, n_connections_in_zone
            )

    def _observe(self, n_instances: int) -> ConnectionBudget:
        now_ms = self._clock.now_ms()
        if self._budget is None:
            self._budget = ConnectionBudget(
                now_ms, max(n_instances, self._n_instances_assumed)
            )
        self._budget.observe(n_instances, now_ms)
        return self._budget

    async def run(self) -> None:
        """Update the budgets periodically until cancelled."""
        while True:
            self.update()
            await self._clock.sleep_ms(OBSERVE_INTERVAL_MS)
