"""Suspicions and quarantines of requests, and the settings of their registry."""

from dataclasses import dataclass, field
from enum import Enum

from chestnuthall.core.model import Replica

# Separates the name of a replica from its incarnation in the name of a loss.
INCARNATION_MARK = "#"
# Suspicions and quarantines are dropped after this time, to bound their number.
RETENTION_MS = 86_400_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineSettings:
    """Limits on the replicas lost to a request, and durations in milliseconds."""

    n_replicas_lost_max: int = 2
    # Losses of any number of shards and zones that quarantine a request if it ends
    # without an answer of any replica and without a verdict.
    n_unanswered_losses_max: int = 3
    # Time from a quarantine to the first retest; each further one takes
    # ``retest_delay_factor`` times as long.
    # Probes that replicas leave unanswered without ending, after which the request is
    # quarantined: each one may have been cut off before the crash.
    n_unanswered_probes_max: int = 2
    quarantine_ms: float = 300_000.0
    retest_delay_factor: float = 10.0
    n_retests_max: int = 2
    # Limit of probes and retests that no replica has answered.
    n_unanswered_trials_max: int = 3
    n_fingerprints_max: int = 4096
    # How long a probe is reserved, during which other queries wait for its outcome.
    probe_reservation_ms: float = 2_000.0

    def retest_delay_ms(self, n_retests: int) -> float:
        """Return the time to the next retest after ``n_retests`` of them.

        Examples
        --------
        >>> settings = QuarantineSettings(quarantine_ms=10.0, retest_delay_factor=4.0)
        >>> [settings.retest_delay_ms(n_retests) for n_retests in range(3)]
        [10.0, 40.0, inf]
        """
        if n_retests >= self.n_retests_max:
            return float("inf")
        return self.quarantine_ms * self.retest_delay_factor**n_retests


class SuspicionState(Enum):
    """State of a fingerprint after a change."""

    SUSPECTED = "suspected"
    # The request that lost replicas ended without a verdict.
    UNRESOLVED = "unresolved"
    QUARANTINED = "quarantined"
    CLEARED = "cleared"
    LIFTED = "lifted"
    EXPIRED = "expired"


@dataclass(slots=True)
class Suspicion:
    """Replicas lost to a fingerprint, and the reservation of its probe.

    ``replica_names`` has one name while the request is only suspected, however
    many replicas its first wave lost, and at least two once it is quarantined;
    ``lost_names`` has all of them. Names are those of ``loss_name``.
    ``loss_zone_by_shard`` has the zone of the first loss of each shard. While
    ``retest_owner`` is the id of a request, that request may run in spite of the
    quarantine.
    """

    fingerprint: str
    expires_ms: float
    replica_names: set[str] = field(default_factory=set)
    lost_names: set[str] = field(default_factory=set)
    zones_with_losses: set[str] = field(default_factory=set)
    shards_with_losses: set[str] = field(default_factory=set)
    # Shards of which a replica has answered the request.
    answered_shard_ids: set[str] = field(default_factory=set)
    loss_zone_by_shard: dict[str, str] = field(default_factory=dict)
    is_quarantined: bool = False
    # Whether the suspicion is inferred from silence only.
    is_silent: bool = False
    is_local: bool = True
    probe_owner: str = ""
    probe_reserved_until_ms: float = float("-inf")
    n_retests: int = 0
    # Probes that instances of the fleet have claimed.
    n_probes: int = 0
    # Probes that were sent and not answered.
    n_unanswered_probes: int = 0
    retest_due_ms: float = float("inf")
    retest_owner: str = ""


def loss_name(replica: Replica) -> str:
    """Return the name of one incarnation of a replica.

    A replica that restarts under its name and is lost again is a second loss.

    Examples
    --------
    >>> loss_name(Replica("r1", "10.1.0.1:80", "a", incarnation=7))
    'r1#7'
    """
    if not replica.incarnation:
        return replica.name
    return f"{replica.name}{INCARNATION_MARK}{replica.incarnation}"
