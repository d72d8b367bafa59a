"""Which instance of a zone another one follows instead of the store."""

from collections.abc import Collection
from dataclasses import dataclass, field
from hashlib import blake2b

# With fewer instances in a zone, the more frequent watches of a leader cost more
# than the watches that it saves.
N_INSTANCES_MIN = 5
# Leaders that an instance asks in turn.
N_LEADERS_MAX = 3
# How long a leader that failed is passed over, or the store by one that leads.
AVOID_MS = 3_000.0
# The same for one that answers but has no news; it may turn to the store next.
AVOID_WITHOUT_NEWS_MS = 500.0
# Leaves the next leader time to turn to the store itself after its own has failed.
STAGGER_MS = 20.0
N_STAGGERED_MAX = 8
# A leader asks the store so often, as a part of the time in which news has to arrive.
WATCH_RATIO = 0.28
# Age at which its news is too old to be followed, likewise. It covers a watch and
# the pause after a burst of changes.
AGE_RATIO_MAX = 0.46


@dataclass(frozen=True, slots=True)
class FeedTiming:
    """How often a leader asks the store, and how old its news may be.

    A follower that learns of a change from its leader, or that its leader has no
    news, has the rest of ``in_force_ms`` to act on it or to read the store.
    """

    in_force_ms: float

    @property
    def watch_timeout_ms(self) -> float:
        """Length of a leader's watches."""
        return WATCH_RATIO * self.in_force_ms

    @property
    def age_max_ms(self) -> float:
        """Age of the last confirmation from which on a leader is not followed."""
        return AGE_RATIO_MAX * self.in_force_ms


def _rank(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8).digest()


@dataclass(slots=True)
class LeaderSelector:
    """Orders the instances of a zone, so that each follows earlier ones only.

    All instances with the same view agree without a message. The first one follows
    none, and another one follows the first that is not passed over. Only what comes
    from the store is handed on, so that none follows itself over others.

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
        """Return the instance to follow now; None is the store."""
        everyone = {*names, self.own_name}
        if len(everyone) < N_INSTANCES_MIN:
            self.is_zone_large_enough = False
            return None
        ordered = sorted(everyone, key=_rank)
        self.position = ordered.index(self.own_name)
        self.is_zone_large_enough = True
        n_asked = min(self.position, N_LEADERS_MAX)
        if now_ms < self._store_deprioritised_until_ms:
            # One that the store does not serve follows a later one that it serves.
            n_asked = N_LEADERS_MAX
        for name in ordered[:n_asked]:
            is_other = name != self.own_name
            if is_other and now_ms >= self._deprioritised_until_ms.get(name, 0.0):
                return name
        return None

    def deprioritise(
        self, name: str, now_ms: float, is_responsive: bool = False
    ) -> None:
        """Pass over an instance that gave no news for a while."""
        duration_ms = AVOID_WITHOUT_NEWS_MS if is_responsive else AVOID_MS
        self._deprioritised_until_ms[name] = now_ms + duration_ms

    def deprioritise_store(self, now_ms: float) -> None:
        """Prefer any leader to the store for a while, which did not answer."""
        self._store_deprioritised_until_ms = now_ms + AVOID_MS

    @property
    def stagger_ms(self) -> float:
        """Return how long to wait before the next leader is asked."""
        return STAGGER_MS * min(self.position, N_STAGGERED_MAX)
