"""Settings of failure detection and of the dissemination of updates."""

from dataclasses import dataclass
from math import log2


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """Settings of the membership; durations are in milliseconds.

    The probe interval grows with the logarithm of the fleet beyond
    ``n_instances_at_base_interval``, which keeps the traffic of an instance
    at 1,900 instances under 2 KB/s.
    """

    tick_ms: float = 100.0
    # Shortest gap between events that counts as a pause of this process. It is
    # below the probe timeout, so no probe can time out in an undetected pause.
    pause_min_ms: float = 400.0
    probe_interval_ms: float = 1_000.0
    n_instances_at_base_interval: int = 64
    probe_timeout_ms: float = 500.0
    indirect_timeout_ms: float = 1_000.0
    n_helpers: int = 2
    # The suspicion has to reach the suspected instance and the refutation has to
    # come back. Each takes about log2(n) probe intervals.
    suspicion_min_ms: float = 3_000.0
    suspicion_interval_factor: float = 1.0
    # Time without contact with any peer after which this instance is isolated.
    isolation_ms: float = 4_000.0
    n_join_failures_max: int = 3
    # How long a dead instance is remembered. It exceeds a full round of probes at
    # 1,900 instances (57 minutes), after which no peer has an older record of it.
    dead_retention_ms: float = 7_200_000.0
    # One probe in this many goes to an unreachable instance, so that the two
    # sides of a network partition find each other again.
    n_probes_between_unreachable: int = 5
    n_updates_max: int = 4
    transmit_factor: float = 2.0
    # A process younger than this attributes an update with a later incarnation
    # of its name to its predecessor, whose clock may have run ahead.
    restart_window_ms: float = 30_000.0

    def interval_ms(self, n_instances: int) -> float:
        """Return the time between two probes that an instance sends."""
        growth = log2(max(2, n_instances)) / log2(self.n_instances_at_base_interval)
        return self.probe_interval_ms * max(1.0, growth)

    def suspicion_ms(self, n_instances: int) -> float:
        """Return how long a suspected instance has to refute the suspicion."""
        dissemination_ms = self.interval_ms(n_instances) * log2(max(2, n_instances))
        return max(
            self.suspicion_min_ms, self.suspicion_interval_factor * dissemination_ms
        )

    def n_transmissions(self, n_instances: int) -> int:
        """Return how often an instance sends the same update."""
        return max(3, round(self.transmit_factor * log2(n_instances + 1)))
