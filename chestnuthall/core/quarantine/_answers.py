"""Recent answers to requests, which prove that they do not crash replicas."""

from collections import OrderedDict

# How long an answer counts as proof. Data and software of the replicas change.
PROOF_MS = 10_000.0
# Answers remembered, one for each request and shard; of more, the oldest are forgotten.
N_ANSWERS_MAX = 8_192


class RecentAnswers:
    """Times of the last answers to requests, by fingerprint and shard.

    Examples
    --------
    >>> answers = RecentAnswers()
    >>> answers.record("f", "s0", 0.0)
    >>> answers.is_proven("f", "s0", 5_000.0), answers.is_proven("f", "s1", 5_000.0)
    (True, False)
    >>> answers.is_proven("f", "s0", 15_000.0)
    False
    """

    def __init__(self) -> None:
        self._answered_ms: OrderedDict[tuple[str, str], float] = OrderedDict()

    def record(self, fingerprint: str, shard_id: str, now_ms: float) -> None:
        """Note that a replica of a shard has answered a request."""
        key = fingerprint, shard_id
        self._answered_ms[key] = now_ms
        self._answered_ms.move_to_end(key)
        if len(self._answered_ms) > N_ANSWERS_MAX:
            self._answered_ms.popitem(last=False)

    def is_proven(self, fingerprint: str, shard_id: str, now_ms: float) -> bool:
        """Return whether a replica of a shard has answered a request recently."""
        answered_ms = self._answered_ms.get((fingerprint, shard_id), float("-inf"))
        return now_ms - answered_ms <= PROOF_MS
