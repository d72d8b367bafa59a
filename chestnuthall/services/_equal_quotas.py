"""Parts of the upstreams' slots without news of the other instances."""

from collections.abc import Callable

from chestnuthall.ports import Clock
from chestnuthall.services._admission import Admissions

INTERVAL_MS = 500.0
# A balancer that hashes callers gives some instances a multiple of the mean
# demand. A part of this many times the equal one leaves room for them.
EXCESS_FACTOR = 3.0


class EqualQuotas:
    """Gives this instance a bounded part of each group's slots.

    Without an exchange of demand the true part is unknown. The bound keeps one
    instance from filling all slots while the others serve too.
    """

    def __init__(
        self, clock: Clock, admissions: Admissions, n_instances: Callable[[], int]
    ) -> None:
        self._clock = clock
        self._admissions = admissions
        self._n_instances = n_instances

    async def run(self) -> None:
        """Set the parts until cancelled."""
        while True:
            quota_ratio = min(1.0, EXCESS_FACTOR / self._n_instances())
            for _, admission in self._admissions.items():
                admission.set_quota(quota_ratio, ())
            await self._clock.sleep_ms(INTERVAL_MS)
