"""Assignment of shards to instances, and of replicas to the instances that check them.

Both depend on names only, so that all instances with the same view of the fleet
agree without exchanging messages, and few keys move when an instance leaves.
"""

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from hashlib import blake2b

_MASK = (1 << 64) - 1


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def _mix(value: int) -> int:
    """Return a uniformly distributed 64-bit hash (the splitmix64 finaliser)."""
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9 & _MASK
    value = (value ^ (value >> 27)) * 0x94D049BB133111EB & _MASK
    return value ^ (value >> 31)


def assign_shards(
    shard_ids: Sequence[str], instance_names: Iterable[str]
) -> dict[str, tuple[str, ...]]:
    """Return the shards of each instance by rendezvous hashing.

    Each shard goes to the instance with the highest hash of both names. When
    an instance leaves, only its own shards move.

    Examples
    --------
    >>> assigned = assign_shards(["s1", "s2", "s3"], ["a", "b"])
    >>> sorted(assigned["a"] + assigned["b"])
    ['s1', 's2', 's3']
    """
    hashes = {name: _hash(name) for name in sorted(instance_names)}
    assigned: dict[str, list[str]] = {name: [] for name in hashes}
    if not hashes:
        return {}
    for shard_id in shard_ids:
        shard_hash = _hash(shard_id)
        owner = max(hashes, key=lambda name: _mix(shard_hash ^ hashes[name]))
        assigned[owner].append(shard_id)
    return {name: tuple(shards) for name, shards in assigned.items()}


class HashRing:
    """Consistent hashing of keys to owners; a look-up is logarithmic in the names.

    Rendezvous hashing would need 24.7 million hashes to divide 13,000 replicas
    over 1,900 instances. The ring balances less well, but well enough for health
    checks.
    """

    def __init__(self, names: Iterable[str]) -> None:
        self._points = sorted((_hash(name), name) for name in set(names))
        self._hashes = [point for point, _ in self._points]

    def owners(self, key: str, n: int) -> tuple[str, ...]:
        """Return up to ``n`` distinct names for a key, in order of preference."""
        n_points = len(self._points)
        first = bisect_left(self._hashes, _hash(key))
        return tuple(
            self._points[(first + index) % n_points][1]
            for index in range(min(n, n_points))
        )
