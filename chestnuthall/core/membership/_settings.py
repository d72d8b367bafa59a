"""Constants of failure detection and of the spread of news."""

from dataclasses import dataclass
from math import log2


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """Durations in milliseconds.

    The probe interval grows with the logarithm of the fleet beyond
    ``n_instances_at_base_interval``, which keeps the traffic of an instance
    at 1,900 instances under 2 KB/s.
    """

    tick_ms: float = 100.0
    # A gap between events above this is a pause of this process. It is below
    # the probe timeout, so no probe can time out in an unnoticed pause.
    pause_ms: float = 400.0
    probe_interval_ms: float = 1_000.0
    n_instances_at_base_interval: int = 64
    probe_timeout_ms: float = 500.0
    indirect_timeout_ms: float = 1_000.0
    n_helpers: int = 2
    # The suspected instance has to hear of the suspicion and its answer has
    # to come back, each in about log2(n) intervals of spread.
    suspicion_min_ms: float = 3_000.0
    suspicion_interval_factor: float = 1.0
    # No contact with any peer for so long means that this instance is cut off.
    isolation_ms: float = 4_000.0
    n_join_failures_max: int = 3
    # Longer than a whole round of probes at 1,900 instances (57 minutes), after
    # which no instance holds older news of the dead one.
    dead_kept_ms: float = 7_200_000.0
    # Every so many probes, one goes to an instance that did not answer, so
    # that two parts of a fleet find each other again.
    n_probes_between_unreachable: int = 5
    n_updates_max: int = 4
    transmit_factor: float = 2.0
    # A process younger than this takes news about a later incarnation of its
    # name for that of its predecessor under a clock that ran ahead.
    restart_window_ms: float = 30_000.0

    def interval_ms(self, n_instances: int) -> float:
        """Return the time between two probes of one instance."""
        growth = log2(max(2, n_instances)) / log2(self.n_instances_at_base_interval)
        return self.probe_interval_ms * max(1.0, growth)

    def suspicion_ms(self, n_instances: int) -> float:
        """Return how long a suspected instance has to answer."""
        spread_ms = self.interval_ms(n_instances) * log2(max(2, n_instances))
        return max(self.suspicion_min_ms, self.suspicion_interval_factor * spread_ms)

    def n_transmissions(self, n_instances: int) -> int:
        """Return how often one piece of news is passed on by one instance."""
        return max(3, round(self.transmit_factor * log2(n_instances + 1)))
