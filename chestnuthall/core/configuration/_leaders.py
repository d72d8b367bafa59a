"""Choice of the leader that an instance follows instead of the store."""

from collections.abc import Collection
from dataclasses import dataclass, field
from hashlib import blake2b

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


@dataclass(frozen=True, slots=True)
class FeedTiming:
    """Length of a leader's watches and maximum age of its confirmations.

    A change must come into force within ``in_force_ms``. A follower that receives a
    change from its leader, or finds that its leader is out of date, has the rest of
    that time to apply the change or to read the store.
    """

    in_force_ms: float

    @property
    def watch_timeout_ms(self) -> float:
        """Time-out of a leader's watches."""
        return WATCH_TIMEOUT_RATIO * self.in_force_ms

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
        if now_ms < self._store_deprioritised_until_ms:
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

    @property
    def stagger_ms(self) -> float:
        """Time to wait before the next leader is tried."""
        return STAGGER_MS * min(self.position, N_STAGGERED_MAX)
