"""Choice of the leader that an instance follows instead of the store."""

from collections.abc import Collection
from dataclasses import dataclass, field
from hashlib import blake2b

from chestnuthall.core.configuration._follower import (
    BURST_DELAY_MS,
    safe_watch_timeout_ms,
)

# In a smaller zone the more frequent watches of a leader cost more than the
# watches of its followers would.
N_INSTANCES_MIN = 5
# Number of leaders that an instance tries in order.
N_LEADERS_MAX = 3
# How long a failed leader is skipped, or the store after a failed call to it.
DEPRIORITISE_MS = 3_000.0
# The same for a leader that answered but is not ready; it may watch the store soon.
DEPRIORITISE_NOT_READY_MS = 500.0
# Delay per position before the next leader is tried. It gives that leader time to
# switch to the store after its own leader has failed.
STAGGER_MS = 20.0
N_STAGGERED_MAX = 8
# Time-out of a leader's watches, as a fraction of the time within which a change
# must come into force.
WATCH_TIMEOUT_RATIO = 0.28
# Maximum age of a leader's last confirmation, as a fraction of the same time. It
# covers a watch and the delay after a burst of changes.
AGE_RATIO_MAX = 0.46
# Time-out of a follower's watch of its leader, and the time that the leader may take
# to respond in addition, also as fractions of it. Together they are the time after
# which an unresponsive leader is detected.
LEADER_WATCH_TIMEOUT_MAX_MS = 1_000.0
LEADER_WATCH_TIMEOUT_RATIO = 0.2
LEADER_MARGIN_MAX_MS = 400.0
LEADER_MARGIN_RATIO = 0.1
# Changes that must come into force sooner leave no time to detect an unresponsive
# leader, so each instance watches the store itself.
IN_FORCE_MIN_MS = 2_000.0
# Delay of the watch that follows a burst of changes, as a fraction of the same time.
BURST_DELAY_RATIO_MAX = 0.25


@dataclass(frozen=True, slots=True)
class FeedTiming:
    """Length of a leader's watches and maximum age of its confirmations.

    A change must come into force within ``in_force_ms``. A follower that receives a
    change from its leader, or finds that its leader is out of date, has the rest of
    that time to apply the change or to read the store.

    The store counts as stable ``store_settle_ms`` after an outage.

    Examples
    --------
    >>> timing = FeedTiming(3_000.0)
    >>> timing.leader_watch_timeout_ms, timing.leader_margin_ms
    (600.0, 300.0)
    >>> FeedTiming(1_500.0).allows_leaders
    False
    """

    in_force_ms: float
    store_settle_ms: float = 4_000.0

    @property
    def allows_leaders(self) -> bool:
        """Whether an unresponsive leader is detected in time."""
        return self.in_force_ms >= IN_FORCE_MIN_MS

    @property
    def leader_watch_timeout_ms(self) -> float:
        """Time-out of a follower's watch of its leader."""
        return min(
            LEADER_WATCH_TIMEOUT_MAX_MS, LEADER_WATCH_TIMEOUT_RATIO * self.in_force_ms
        )

    @property
    def leader_margin_ms(self) -> float:
        """Time that a leader may take to respond in addition to that time-out."""
        return min(LEADER_MARGIN_MAX_MS, LEADER_MARGIN_RATIO * self.in_force_ms)

    @property
    def burst_delay_ms(self) -> float:
        """Delay of the watch that follows a burst of changes."""
        return min(BURST_DELAY_MS, BURST_DELAY_RATIO_MAX * self.in_force_ms)

    @property
    def watch_timeout_ms(self) -> float:
        """Time-out of a leader's watches."""
        return min(
            WATCH_TIMEOUT_RATIO * self.in_force_ms,
            safe_watch_timeout_ms(self.store_settle_ms),
        )

    @property
    def age_max_ms(self) -> float:
        """Maximum age of the last confirmation of a leader that is followed."""
        return AGE_RATIO_MAX * self.in_force_ms


def _order_key(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8).digest()


@dataclass(slots=True)
class LeaderSelector:
    """Orders the instances of a zone, so that each follows earlier ones only.

    All instances with the same view of the zone agree on the order without
    communication. The first one follows none, and each other one follows the first
    that is not skipped. Only data from the store is forwarded, so that no instance
    follows itself through others.

    Examples
    --------
    >>> names = ["a", "b", "c", "d", "e"]
    >>> selectors = [LeaderSelector(name) for name in names]
    >>> sorted(selector.leader(names, 0.0) or "" for selector in selectors)
    ['', 'e', 'e', 'e', 'e']
    """

    own_name: str
    position: int = 0
    # Whether the zone is large enough for instances to follow one another.
    is_zone_large_enough: bool = False
    _deprioritised_until_ms: dict[str, float] = field(default_factory=dict)
    _store_deprioritised_until_ms: float = float("-inf")

    def leader(self, names: Collection[str], now_ms: float) -> str | None:
        """Return the name of the instance to follow now, or None for the store."""
        all_names = {*names, self.own_name}
        if len(all_names) < N_INSTANCES_MIN:
            self.is_zone_large_enough = False
            return None
        ordered = sorted(all_names, key=_order_key)
        self.position = ordered.index(self.own_name)
        self.is_zone_large_enough = True
        n_candidates = min(self.position, N_LEADERS_MAX)
        if self.is_store_deprioritised(now_ms):
            # An instance that cannot reach the store may follow a later one that can.
            n_candidates = N_LEADERS_MAX
        for name in ordered[:n_candidates]:
            is_other = name != self.own_name
            if is_other and now_ms >= self._deprioritised_until_ms.get(name, 0.0):
                return name
        return None

    def deprioritise(
        self, name: str, now_ms: float, is_responsive: bool = False
    ) -> None:
        """Skip a leader for a while, for less time if it has answered."""
        duration_ms = DEPRIORITISE_NOT_READY_MS if is_responsive else DEPRIORITISE_MS
        self._deprioritised_until_ms[name] = now_ms + duration_ms

    def deprioritise_store(self, now_ms: float) -> None:
        """Prefer any leader to the store for a while after a failed store call."""
        self._store_deprioritised_until_ms = now_ms + DEPRIORITISE_MS

    def prioritise_store(self) -> None:
        """Read the store again, as it has answered a call."""
        self._store_deprioritised_until_ms = float("-inf")

    def is_store_deprioritised(self, now_ms: float) -> bool:
        """Return whether a call to the store failed recently."""
        return now_ms < self._store_deprioritised_until_ms

    @property
    def stagger_ms(self) -> float:
        """Time to wait before the next leader is tried."""
        return STAGGER_MS * min(self.position, N_STAGGERED_MAX)
