"""Equal quotas of the upstreams' slots, without usage reports of peers."""

from collections.abc import Callable

from chestnuthall.ports import Clock
from chestnuthall.services._admission import Admissions

UPDATE_INTERVAL_MS = 500.0
# Quota as a multiple of the equal one. A load balancer that hashes callers sends
# some instances a multiple of the mean demand, which a larger quota accommodates.
QUOTA_FACTOR = 3.0
# Slots of a group that every instance may use. In a large fleet the equal quota is
# about one slot, and requests would wait here while slots at the replicas are free;
# the adaptive limit still lowers the number if the replicas are busy.
N_SLOTS_MIN = 4.0


class EqualQuotas:
    """Sets this instance's quota of each group's slots from the number of instances.

    The ratio of its demand to that of the fleet is unknown, because instances do not
    exchange their demand here. The bound prevents one instance from occupying all
    slots while the others serve too.
    """

    def __init__(
        self, clock: Clock, admissions: Admissions, n_instances: Callable[[], int]
    ) -> None:
        self._clock = clock
        self._admissions = admissions
        self._n_instances = n_instances

    async def run(self) -> None:
        """Update the quotas until cancelled."""
        while True:
            n_instances = self._n_instances()
            for _, admission in self._admissions.items():
                least_ratio = N_SLOTS_MIN / max(1.0, admission.slots_cost)
                quota_ratio = min(1.0, max(QUOTA_FACTOR / n_instances, least_ratio))
                admission.set_quota(quota_ratio, (), n_instances * quota_ratio)
            await self._clock.sleep_ms(UPDATE_INTERVAL_MS)
