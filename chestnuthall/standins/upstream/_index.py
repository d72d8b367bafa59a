"""Generated records of one shard in one snapshot."""

from dataclasses import dataclass
from hashlib import blake2b


def make_record(group: str, snapshot_id: int, key: str) -> str:
    """Return the record of a key, which contains the snapshot id.

    Tests compare answers with this text to detect answers that combine hits of
    different snapshots.
    """
    return f"{group}/{key}@{snapshot_id}"


def compute_score(query: str, key: str) -> float:
    """Return a score between 0 and 1 that depends on query and key only."""
    digest = blake2b(f"{query}\0{key}".encode(), digest_size=4).digest()
    return int.from_bytes(digest) / 2**32


@dataclass(frozen=True, slots=True)
class IndexSnapshot:
    """The keys of one shard in one snapshot."""

    group: str
    snapshot_id: int
    shard_id: str
    keys: tuple[str, ...]

    def search(self, query: str, n_hits_max: int) -> list[tuple[str, float, str]]:
        """Return the best hits, best first."""
        scored = sorted(
            ((compute_score(query, key), key) for key in self.keys),
            key=lambda item: (-item[0], item[1]),
        )
        return [
            (key, score, make_record(self.group, self.snapshot_id, key))
            for score, key in scored[:n_hits_max]
        ]

    def lookup(self, key: str) -> list[tuple[str, float, str]]:
        """Return the record of a key as a hit if the shard contains the key."""
        if key not in self.keys:
            return []
        return [(key, 1.0, make_record(self.group, self.snapshot_id, key))]
