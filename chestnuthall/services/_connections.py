"""Keeps the connections to upstreams within this instance's part of their caps."""

from collections.abc import Callable

from chestnuthall.core.routing import ConnectionShare
from chestnuthall.ports import Clock, ShardCaller
from chestnuthall.services._configuration import ConfigurationKeeper

OBSERVE_INTERVAL_MS = 500.0


class ConnectionBudgets:
    """Divides each upstream's cap over the instances as they come and go."""

    def __init__(
        self,
        caller: ShardCaller,
        clock: Clock,
        configuration: ConfigurationKeeper,
        n_instances: Callable[[], int],
    ) -> None:
        self._caller = caller
        self._clock = clock
        self._configuration = configuration
        self._n_instances = n_instances
        self._share = ConnectionShare(clock.now_ms())
        configuration.on_change(lambda _: self.divide())

    def divide(self) -> None:
        """Set the budgets for the instances known now."""
        self._share.observe(self._n_instances(), self._clock.now_ms())
        in_force = self._configuration.in_force
        if in_force is None:
            return
        for group in in_force.document.groups:
            budget = self._share.budget(group.n_connections_max)
            self._caller.set_connection_budget(group.name, budget)

    async def run(self) -> None:
        """Follow the number of instances until cancelled."""
        while True:
            self.divide()
            await self._clock.sleep_ms(OBSERVE_INTERVAL_MS)
